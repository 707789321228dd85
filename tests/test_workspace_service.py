"""What service workspaces received and by which decisions, as found from logs."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from tamarack_ctl.commands import COMMANDS, command
from tamarack_ctl.main import main


def _line(at_ms: int, message: str, workspace: str | None, **fields: object) -> str:
    return json.dumps(
        {"at_ms": at_ms, "router": "r", "message": message, "workspace": workspace, **fields}
    )


def test_service_from_free_engines_is_counted_apart(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    free = {"reason": "an engine is free", "send": 1}
    log = tmp_path / "log"
    log.write_text(
        "\n".join(
            (
                _line(1, "request: placed", "a", reason="in time", send=1, tokens=100, lead=1.0),
                _line(2, "request: placed", "a", tokens=300, lead=2.0, **free),
                _line(3, "request: placed", "a", tokens=100, lead=4.0, **free),
                _line(4, "request: placed", "a", reason="not decided on", send=2, tokens=100),
                _line(5, "request: refused", "b", reason="beyond its share", tokens=50),
                _line(6, "request: refused", "b", reason="overloaded"),
                _line(7, "request: refused", None, reason="overloaded"),
                _line(900, "request: placed", "b", reason="in time", send=1, tokens=9),
            )
        )
    )
    assert main(["--json", "service", str(log), "--until-ms", "800"]) == 0
    a, b = json.loads(capsys.readouterr().out)
    assert a == {
        "workspace": "a",
        "placed_tokens": 500,
        "free_tokens": 400,
        "free_lead": 2.5,
        "refused_tokens": 0,
        "overloaded": 0,
    }
    assert (b["refused_tokens"], b["overloaded"], b["placed_tokens"]) == (50, 1, 0)


def test_logs_without_workspaces_show_no_service(tmp_path: Path) -> None:
    log = tmp_path / "log"
    log.write_text("not a line of a router\n")
    assert main(["service", str(log)]) == 1


def test_a_command_cannot_reuse_the_name_of_another() -> None:
    """Guards against a new command that silently replaces another of the same name."""
    before = COMMANDS["shares"]
    with pytest.raises(ValueError, match="shares"):
        command("shares", "something else")(lambda context: before.run(context))
    assert COMMANDS["shares"] is before
