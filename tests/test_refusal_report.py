"""Reports of requests that an overloaded router refused."""

from __future__ import annotations

import json
import os

from tamarack_core.clock import ManualClock
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.refusal_report import REPORT_INTERVAL_MS, ConnectionCounts, RefusalReport


class Clock(ManualClock):
    """A manual clock with a processor time that the test sets."""

    used_ms = 0.0

    @property
    def processor_ms(self) -> float:
        return self.used_ms


def test_a_report_tells_what_was_refused_admitted_and_spent() -> None:
    reader, writer = os.pipe()
    clock = Clock()
    log = DecisionLog("r", clock, output=writer)
    counts = ConnectionCounts(accepted=5)
    report = RefusalReport(clock, log, lambda: counts)
    report.refuse("large", "/draft/")
    report.refuse("large", "/draft/", retry=True)
    report.refuse(None, "/page/")
    report.admit("/draft/", tokens=900.0)
    report.load("/draft/").events += 17
    report.poll(limit=32)
    assert not log.waiting
    clock.advance(REPORT_INTERVAL_MS)
    clock.used_ms = 480.0
    counts = ConnectionCounts(accepted=12, closed_after_answer=4, reading_ms=130.4)
    report.poll(limit=32)
    log.flush()
    line = json.loads(os.read(reader, 4_096))
    assert line["message"] == "router: requests refused for overload"
    assert (line["refused"], line["admitted"], line["limit"]) == (3, 1, 32)
    assert line["largest"] == {"large": 2, "": 1}
    assert line["routes"] == {
        "/draft/": {"refused": 2, "retries": 1, "admitted": 1, "tokens": 900, "events": 17},
        "/page/": {"refused": 1, "retries": 0, "admitted": 0, "tokens": 0, "events": 0},
    }
    assert (line["accepted"], line["closed_after_answer"], line["reading_ms"]) == (7, 4, 130)
    assert (line["processor_ms"], line["took_ms"]) == (480, REPORT_INTERVAL_MS)
    assert report.refused == 3
    os.close(reader)
    os.close(writer)


def test_nothing_is_reported_without_refusals() -> None:
    clock = Clock()
    reader, writer = os.pipe()
    log = DecisionLog("r", clock, output=writer)
    report = RefusalReport(clock, log, ConnectionCounts)
    report.admit()
    clock.advance(REPORT_INTERVAL_MS)
    report.poll()
    assert not log.waiting
    os.close(reader)
    os.close(writer)
