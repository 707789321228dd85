"""A stopping router of the own interface: every request that it has taken gets an answer."""

from __future__ import annotations

import socket
from typing import Any

import pytest

from tamarack_core.actions import StartRun
from tamarack_core.clock import ManualClock
from tamarack_core.leaving import plan_leaving
from tamarack_core.request_spec import RequestSpec
from tamarack_core.service_times import MIN_SAMPLES
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import EndHeld, EndpointCall, HoldRequest, PlanExit, SubmitRequest
from tamarack_router.relay import Relay
from tamarack_router.run import RunLimits
from tamarack_router.share_limiter import ShareLimiter
from tamarack_router.stored_answer import AnswerStore
from tamarack_router.tracing import Tracing

GRACE_MS = 8_000.0

PLAIN = EndpointCall("POST", "/x", [], b"x", "plain", False)


class Relaying:
    """A relay without its thread, and the callers of its requests."""

    def __init__(self) -> None:
        self.clock, self.control = ManualClock(), Mailbox()
        self._tracing = Tracing("r1", "off", "", 0.0)
        self.relay = Relay(
            self.clock,
            self.control,
            AnswerStore(10_000, 60_000),
            ShareLimiter(100, 1.0),
            self._tracing,
            RunLimits(1_000, 1_000),
        )
        self._number = 0

    def hold(self, deadline_ms: float) -> socket.socket:
        """Hold a request of a plain service; returns its caller's socket."""
        near, far = socket.socketpair()
        far.settimeout(5.0)
        self._number += 1
        spec = RequestSpec(f"r1~1~{self._number}", "w", "desk", deadline_ms=deadline_ms)
        span = self._tracing.start("request")
        assert self.relay._limiter.acquire("w")
        self.relay._on_hold(HoldRequest(near, spec, PLAIN, span))
        return far

    def stop(self) -> None:
        """Begin a stop."""
        plan = plan_leaving(self.clock.now_ms, grace_ms=GRACE_MS, address_ttl_ms=1_000.0)
        self.relay._on_plan_exit(PlanExit(plan))

    def submitted(self) -> list[Any]:
        """Requests that were passed on to be queued since the last call."""
        return [m for m in self.control.drain() if isinstance(m, SubmitRequest)]


@pytest.mark.parametrize("late_ms", [0.0, 7_000.0])
def test_a_request_that_may_outlast_a_stopping_router_is_refused_and_not_passed_on(
    late_ms: float,
) -> None:
    """Guards against requests taken late in the grace time and cut at its end."""
    relaying = Relaying()
    relaying.stop()
    relaying.clock.advance(late_ms)
    caller = relaying.hold(relaying.clock.now_ms + 10_000.0)
    answer = caller.recv(65_536)
    assert b" 503 " in answer.split(b"\r\n")[0] and b"not-run" in answer
    assert not relaying.submitted()
    brief = relaying.hold(relaying.clock.now_ms + 300.0)
    assert len(relaying.submitted()) == 1
    brief.close()


def test_a_stopping_router_takes_requests_that_are_expected_to_end() -> None:
    """Guards against a stop that refuses what it could serve while callers have its address."""
    relaying = Relaying()
    times = relaying.relay._times["desk"]
    for _ in range(MIN_SAMPLES):
        times.answered(200.0, relaying.clock.now_ms)
    relaying.stop()
    relaying.hold(relaying.clock.now_ms + 60_000.0)
    assert len(relaying.submitted()) == 1


def test_what_has_not_ended_at_the_last_exit_is_answered() -> None:
    """Guards against requests that end with the process, without a word on whether they ran."""
    relaying = Relaying()
    waiting = relaying.hold(60_000.0)
    with socket.create_server(("127.0.0.1", 0)) as endpoint:
        running = relaying.hold(60_000.0)
        address = f"127.0.0.1:{endpoint.getsockname()[1]}"
        relaying.relay._on_start(StartRun("r1~1~2", "e1", address, 0.0))
        relaying.relay._on_end_held(EndHeld())
    assert b"not-run" in waiting.recv(65_536)
    assert b"unknown" in running.recv(65_536)
    assert relaying.relay.held == 0
