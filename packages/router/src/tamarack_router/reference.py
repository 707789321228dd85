"""Generates the reference page of settings, configuration entries and error codes."""

from __future__ import annotations

import inspect
from typing import get_type_hints

from tamarack_core.configuration_entries import ENTRY_TYPES
from tamarack_core.errors import ErrorCode, Refusal
from tamarack_router.settings import SETTINGS


def reference() -> str:
    """Return the page as Markdown."""
    return "\n".join([*_intro(), *_settings(), *_entries(), *_codes(), ""])


def _intro() -> list[str]:
    return [
        "# Reference",
        "",
        "Made by `python -m tamarack_router.reference`; a test holds it to the code.",
        "",
    ]


def _settings() -> list[str]:
    lines = ["## Settings of tamarackd", "", "| flag | variable | default | |", "|---|---|---|---|"]
    for setting in SETTINGS:
        flag = "by environment or file only" if setting.secret else f"`{setting.flag}`"
        default = "required" if setting.default is None else f"`{setting.default or ' '}`"
        lines.append(f"| {flag} | `{setting.variable}` | {default} | {setting.help} |")
    return [*lines, ""]


def _entries() -> list[str]:
    lines = ["## Configuration entries", ""]
    for kind, entry_type in ENTRY_TYPES.items():
        lines += [f"### {kind}", "", inspect.getdoc(entry_type) or "", ""]
        lines += ["| field | type | |", "|---|---|---|"]
        required = entry_type.__required_keys__  # type: ignore[attr-defined]
        for field, hint in get_type_hints(entry_type).items():
            name = getattr(hint, "__name__", str(hint)) if not hasattr(hint, "__args__") else hint
            needed = "required" if field in required else ""
            lines.append(f"| `{field}` | `{name}` | {needed} |")
        lines.append("")
    return lines


def _codes() -> list[str]:
    lines = ["## Error codes", "", "| code | HTTP status |", "|---|---|"]
    for code in ErrorCode:
        lines.append(f"| `{code}` | {Refusal(code, '').status} |")
    return lines


if __name__ == "__main__":
    print(reference(), end="")
