"""Configuration files: TOML or JSON with a table per kind and name."""

from __future__ import annotations

import difflib
import json
import tomllib
from pathlib import Path
from typing import Any, NamedTuple

KINDS = ("workspace", "service", "preset", "endpoint")
IN_FORCE = "in_force"
DELETE = "delete"


class FileError(Exception):
    """A file cannot be used; `faults` lists every reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("; ".join(faults))
        self.faults = faults


class RequestedChanges(NamedTuple):
    """The changes that a file requests."""

    puts: list[dict[str, Any]]
    deletes: list[dict[str, str]]
    preset: str | None


def read_file(path: str) -> RequestedChanges:
    """Read a file; `in_force` names the preset, `delete` lists `KIND/NAME`."""
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise FileError([f"{path} cannot be read: {error.strerror}"]) from error
    try:
        content = json.loads(text) if path.endswith(".json") else tomllib.loads(text)
    except ValueError as error:
        raise FileError(
            [f"{path} cannot be parsed as the format of its extension: {error}"]
        ) from error
    return _changes(content)


def _changes(content: dict[str, Any]) -> RequestedChanges:
    faults = []
    puts = []
    deletes = []
    for key, value in content.items():
        if key in KINDS and isinstance(value, dict):
            puts += [{"kind": key, "name": name, "body": body} for name, body in value.items()]
        elif key == DELETE and isinstance(value, list):
            for entry in value:
                kind, _, name = str(entry).partition("/")
                deletes.append({"kind": kind, "name": name})
        elif key != IN_FORCE:
            faults.append(f"{key}: expected one of {', '.join((*KINDS, DELETE, IN_FORCE))}")
    if faults:
        raise FileError(faults)
    return RequestedChanges(puts, deletes, content.get(IN_FORCE))


def difference(current: dict[str, dict[str, Any]], wanted: RequestedChanges) -> list[str]:
    """Lines that show what would change, as in a unified diff."""
    lines: list[str] = []
    for put in wanted.puts:
        before = current.get(put["kind"], {}).get(put["name"])
        lines += _diff(f"{put['kind']}/{put['name']}", before, put["body"])
    for name in wanted.deletes:
        before = current.get(name["kind"], {}).get(name["name"])
        lines += _diff(f"{name['kind']}/{name['name']}", before, None)
    return lines


def _diff(name: str, before: Any, after: Any) -> list[str]:
    old = [] if before is None else json.dumps(before, indent=2, sort_keys=True).splitlines()
    new = [] if after is None else json.dumps(after, indent=2, sort_keys=True).splitlines()
    return list(difflib.unified_diff(old, new, f"{name} now", f"{name} wanted", lineterm=""))
