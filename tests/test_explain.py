"""From a request's id to its cause, by logs alone; and logs that never hold a router up."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest

from tamarack_core.clock import HeldClock
from tamarack_ctl.main import main
from tamarack_gateway.decision_log import LINES_PER_S, QUEUE_LINES, DecisionLog


def make_log(path: Path) -> tuple[DecisionLog, HeldClock, int]:
    clock = HeldClock(50_000.0)
    output = os.open(path, os.O_CREAT | os.O_WRONLY)
    return DecisionLog("router-1", clock, output=output), clock, output


def test_the_story_of_a_request(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    path = tmp_path / "log"
    log, clock, output = make_log(path)
    log.event("store lost", table="op", reason="no answer")
    clock.advance(4_000.0)
    log.request("refused", "abc", reason="keys are not confirmed")
    log.request("placed", "other", endpoint="e1")
    log.flush()
    os.close(output)
    assert main(["explain", "abc", str(path)]) == 0
    told = capsys.readouterr().out.splitlines()
    assert [line.split("  ")[-2] for line in told] == ["router: store lost", "request: refused"]
    assert "keys are not confirmed" in told[1]
    assert main(["explain", "missing", str(path)]) == 1


def test_a_reader_that_stops_reading_costs_lines_and_no_time() -> None:
    """Symptom: all requests of a router wait.

    Sequence: whoever reads the log stops; the pipe is full. Cause: a write that blocks.
    """
    reader, writer = os.pipe()
    clock = HeldClock(0.0)
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


def test_much_of_one_kind_costs_no_other_its_lines(tmp_path: Path) -> None:
    path = tmp_path / "log"
    log, clock, output = make_log(path)
    for number in range(LINES_PER_S + 50):
        log.request("placed", str(number))
    log.request("failed", "abc", reason="no answer in time")
    clock.advance(1_000.0)
    log.event("settings were read anew")
    for _ in range(QUEUE_LINES):
        log.flush()
    os.close(output)
    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert lines[-3]["message"] == "request: failed"
    assert lines[-2] == {**lines[-2], "message": "log: lines were dropped", "placed": 50}
