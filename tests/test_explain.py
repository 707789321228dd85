"""What happened to a request, found from logs alone; and logs that never block a router."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tamarack_core.clock import ManualClock
from tamarack_ctl.main import main
from tamarack_gateway.decision_log import LINES_PER_S, QUEUE_LINES, DecisionLog


def make_log(path: Path) -> tuple[DecisionLog, ManualClock, int]:
    clock = ManualClock(50_000.0)
    output = os.open(path, os.O_CREAT | os.O_WRONLY)
    return DecisionLog("router-1", clock, output=output), clock, output


def test_explain_shows_a_request_and_earlier_state_changes(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "log"
    log, clock, output = make_log(path)
    log.event("store lost", table="op", reason="no answer")
    clock.advance(4_000.0)
    log.request("refused", "abc", reason="keys are not confirmed")
    log.request("placed", "other", endpoint="e1")
    log.flush()
    os.close(output)
    assert main(["explain", "abc", str(path)]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert [line.split("  ")[-2] for line in shown] == ["router: store lost", "request: refused"]
    assert "keys are not confirmed" in shown[1]
    assert main(["explain", "missing", str(path)]) == 1


def test_a_stalled_log_reader_costs_lines_but_does_not_block() -> None:
    """Guards against a router that delays all its requests because a write to its log blocks.

    This happens when the reader of the log stops and the pipe is full.
    """
    reader, writer = os.pipe()
    clock = ManualClock(0.0)
    log = DecisionLog("router-1", clock, output=writer)
    for second in range(40):
        clock.advance(1_000.0)
        for number in range(LINES_PER_S):
            log.request("placed", f"{second}-{number}", endpoint="e1")
        log.flush()
    assert log.dropped["placed"] > 0
    written = os.read(reader, 1 << 20)
    assert written.startswith(b'{"at_ms"')
    os.close(reader)
    os.close(writer)


def test_many_lines_of_one_kind_do_not_drop_lines_of_others(tmp_path: Path) -> None:
    path = tmp_path / "log"
    log, clock, output = make_log(path)
    for number in range(LINES_PER_S + 50):
        log.request("placed", str(number))
    log.request("failed", "abc", reason="no answer in time")
    clock.advance(1_000.0)
    log.event("settings reloaded")
    for _ in range(QUEUE_LINES):
        log.flush()
    os.close(output)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert lines[-3]["message"] == "request: failed"
    assert lines[-2] == {**lines[-2], "message": "log: lines were dropped", "placed": 50}
