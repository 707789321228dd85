"""Timeouts for an endpoint's answer, after which the request is retried at another endpoint."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Protocol

from tamarack_core.placement import Choice
from tamarack_core.ruleset import Route
from tamarack_gateway.endpoint_connection import BrokenAnswerError
from tamarack_gateway.event_relay import EventRelay
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import AnswerHead

FIRST_EVENT_SLACK_MS = 1_500.0
"""A repeatable stream without an event this long after the predicted first event is retried at
another endpoint. Longer than the latency targets of most routes, shorter than callers' own
timeouts."""

EVENT_SILENCE_MS = 1_700.0
"""A repeatable stream that sends nothing for this long resumes at another endpoint. Callers give up
after two seconds at the earliest, and routes require pauses of at most half a second."""

PLAIN_TIMEOUT_FACTOR = 8.0
"""Multiple of the endpoint's usual latency after which an idempotent request without an answer is
retried at another endpoint; slow answers take up to five times the usual latency."""

PLAIN_TIMEOUT_MIN_MS = 250.0
"""Minimum of that timeout in milliseconds."""


RECHECK_MS = 250.0
"""Milliseconds until it is checked again whether a silent answer can be replaced by now."""


class Sending(Protocol):
    """A request while it is at an endpoint."""

    @property
    def sends(self) -> int:
        """Number of times the request was sent to an endpoint."""

    @property
    def left_ms(self) -> float:
        """Time left until the request's deadline."""

    def may_send_elsewhere(self) -> bool:
        """Whether another endpoint could take the request over now."""


class AnswerTimeouts:
    """Waits for the answers to one request, with a timeout where the request may be retried.

    An answer is given up only if another endpoint can take it over: without one, its endpoint may
    still complete it, and giving it up would only fail the request.
    """

    def __init__(self, state: FleetState, route: Route) -> None:
        self._state = state
        self._route = route

    async def head(
        self, head: Callable[[], Awaitable[AnswerHead]], choice: Choice, sending: Sending
    ) -> AnswerHead:
        """Wait for the head of an answer; raises `BrokenAnswerError` on timeout."""
        timeout_ms = self._head_timeout_ms(choice, sending.sends)
        if timeout_ms is None:
            return await head()
        while True:
            try:
                async with asyncio.timeout(timeout_ms / 1000):
                    return await head()
            except TimeoutError:
                if sending.left_ms <= 1.0:
                    raise
            if sending.may_send_elsewhere():
                raise BrokenAnswerError("silent for longer than predicted")
            timeout_ms = RECHECK_MS

    def _head_timeout_ms(self, choice: Choice, sends: int) -> float | None:
        if not self._route.repeatable or sends >= self._route.max_attempts:
            return None
        if self._route.streams:
            return choice.first_token_ms + FIRST_EVENT_SLACK_MS
        record = self._state.record(choice.endpoint.key)
        usual_ms = record.latency_ms if record is not None else 0.0
        return max(PLAIN_TIMEOUT_MIN_MS, PLAIN_TIMEOUT_FACTOR * usual_ms)

    async def whole(self, relay: EventRelay, choice: Choice, sending: Sending) -> None:
        """Wait for the end of a stream; raises `BrokenAnswerError` if its events time out."""
        if not self._route.repeatable or sending.sends >= self._route.max_attempts:
            return await relay.whole()
        first_ms = choice.first_token_ms + FIRST_EVENT_SLACK_MS
        while True:
            limit_ms = first_ms if relay.first_ms is None else EVENT_SILENCE_MS
            remaining_ms = limit_ms - relay.silent_ms
            if remaining_ms <= 0.0:
                if sending.may_send_elsewhere():
                    raise BrokenAnswerError("silent for too long")
                remaining_ms = RECHECK_MS
            try:
                # At most the timeout between events, which applies once the first event arrives.
                async with asyncio.timeout(min(remaining_ms, EVENT_SILENCE_MS) / 1000):
                    return await relay.whole()
            except TimeoutError:
                if sending.left_ms <= 1.0:
                    raise
