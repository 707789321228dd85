"""What a router holds in queues reaches its readers when it exits."""

from __future__ import annotations

import os
import threading

import pytest
from gateway_site import Fleet, play, until

from tamarack_core.clock import BootClock, ManualClock
from tamarack_core.termination_evidence import Evidence
from tamarack_gateway.decision_log import QUEUE_LINES, DecisionLog
from tamarack_standins.platform_worker import PlatformWorker

PADDING = "x" * 200


def fill(log: DecisionLog, lines: int) -> None:
    """Queue lines; those of one kind are limited."""
    for number in range(lines):
        log.request(f"kind {number // 200}", f"request-{number}", padding=PADDING)


def test_an_exiting_router_writes_all_queued_lines(capfd: pytest.CaptureFixture[str]) -> None:
    """Guards against requests whose last lines are lost, just where a router ends."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            fill(fleet.gateway.state.log, 1_000)

    play(scenario())
    written = capfd.readouterr().err
    assert sum("request-" in line for line in written.splitlines()) == 1_000
    assert written.count("router: stopped") == 1


def test_lines_are_written_to_a_reader_that_is_slower_than_the_exit() -> None:
    """Guards against lines that are dropped since the reader had not emptied the pipe yet."""
    reader, writer = os.pipe()
    log = DecisionLog("r", BootClock(), output=writer)
    fill(log, 1_000)
    received: list[bytes] = []

    def read() -> None:
        while data := os.read(reader, 1_000):
            received.append(data)

    thread = threading.Thread(target=read)
    thread.start()
    log.close()
    os.close(writer)
    thread.join()
    os.close(reader)
    assert b"".join(received).count(b"request-") == 1_000


def test_a_log_whose_reader_has_stopped_does_not_hold_up_the_exit() -> None:
    """Guards against a router that is killed while it waits for the reader of its log."""
    reader, writer = os.pipe()
    log = DecisionLog("r", ManualClock(), output=writer)
    fill(log, QUEUE_LINES)
    log.close()
    assert log.waiting
    os.close(reader)
    os.close(writer)


def test_evidence_of_a_crash_just_before_an_exit_is_told_to_other_routers() -> None:
    """Guards against a crash that counts for nothing since the router that saw it has ended."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            (other,) = fleet.others
            heard: list[Evidence] = []
            other._quarantine.receive = heard.append  # type: ignore[method-assign]
            fleet.gateway._quarantine._pending.cleared.append("f1")
            await fleet.gateway.__aexit__(None, None, None)
            await until(lambda: any("f1" in evidence.cleared for evidence in heard))

    play(scenario())
