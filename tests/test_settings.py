"""Settings, help texts and exit codes."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from tamarack_ctl.main import make_parser as make_ctl_parser
from tamarack_router.settings import Settings, make_parser, printable, read_settings

NEEDED = {
    "TAMARACK_ROUTER": "r1",
    "TAMARACK_FAILURE_DOMAIN": "a",
    "TAMARACK_PLATFORM": "http://127.0.0.1:1",
    "TAMARACK_ADMIN_TOKENS": "configure:0123456789abcdef",
}


@pytest.fixture(autouse=True)
def fixed_width(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("COLUMNS", "100")
    for name in ("TAMARACK_ADMIN", "TAMARACK_OPERATOR", "TAMARACK_CA"):
        monkeypatch.delenv(name, raising=False)


def test_help_of_the_router(snapshot: Any) -> None:
    assert make_parser().format_help() == snapshot


def test_help_of_the_command_line(snapshot: Any) -> None:
    assert make_ctl_parser().format_help() == snapshot


def test_all_faults_are_reported_at_once() -> None:
    environment = {
        "TAMARACK_ROUTER": "Bad Name",
        "TAMARACK_LISTEN": "localhost:80",
        "TAMARACK_THREADS": "0",
        "TAMARACK_TLS_CERTIFICATE": "/nowhere",
        "TAMARACK_ADMIN_TOKENS": "owner:0123456789abcdef",
        "TAMARACK_CURVE_PUBLIC": "x",
    }
    faults = read_settings({}, environment)
    assert isinstance(faults, list)
    assert {fault.setting for fault in faults} == {
        "--router",
        "--failure-domain",
        "--listen",
        "--platform",
        "--threads",
        "--tls-certificate",
        "--admin-tokens",
        "--curve-public",
    }


def test_a_flag_overrides_its_variable() -> None:
    settings = read_settings({"router": "r2"}, NEEDED)
    assert isinstance(settings, Settings) and settings.router == "r2"


def test_secrets_are_read_from_files_and_never_printed(tmp_path: Path) -> None:
    secret = tmp_path / "tokens"
    secret.write_text("read:aaaaaaaaaaaaaaaa,configure:bbbbbbbbbbbbbbbb\n")
    environment = {k: v for k, v in NEEDED.items() if k != "TAMARACK_ADMIN_TOKENS"}
    environment["TAMARACK_ADMIN_TOKENS_FILE"] = str(secret)
    settings = read_settings({}, environment)
    assert isinstance(settings, Settings)
    assert [token.role for token in settings.admin_tokens] == ["read", "configure"]
    assert "aaaaaaaaaaaaaaaa" not in "\n".join(printable(settings))


def test_a_router_with_invalid_settings_exits_with_code_two() -> None:
    environment = {k: v for k, v in os.environ.items() if not k.startswith("TAMARACK_")}
    done = subprocess.run(
        [sys.executable, "-m", "tamarack_router.main", "--threads", "many"],
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert done.returncode == 2
    assert "--threads must be an integer from 2 to 512" in done.stderr
    assert "--router is required" in done.stderr
