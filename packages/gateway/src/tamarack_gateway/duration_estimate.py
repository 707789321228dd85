"""Predicts how long a request may take, and whether it ends before a stopping router exits."""

from __future__ import annotations

from tamarack_core.placement import Choice
from tamarack_core.prompt import Prompt
from tamarack_core.ruleset import Route
from tamarack_gateway.fleet_state import FleetState


class DurationEstimate:
    """Predicts the duration of one request's sends from those of earlier requests.

    Parameters
    ----------
    prompt
        Prompt of a generation; None for other requests.
    """

    def __init__(
        self, state: FleetState, route: Route, service: str, prompt: Prompt | None
    ) -> None:
        self._state = state
        self._route = route
        self._service = service
        self._prompt = prompt
        self._began_ms: float | None = None
        self._resumed_after: int | None = None

    def longest_ms(self, choice: Choice, left_ms: float, last_event: int | None) -> float:
        """Longest time that a send is expected to take from now on, or may take at most.

        Parameters
        ----------
        left_ms
            Time left until the request's deadline, at which it ends in any case.
        last_event
            Id of the last event of a stream that the caller has; only the rest is generated.
        """
        now_ms, plan = self._state.clock.now_ms, self._state.leaving
        if plan is not None and not plan.trusts_estimates(now_ms):
            return left_ms
        times = self._state.times(self._service)
        if not self._route.streams:
            return times.longest_answer_ms(left_ms, now_ms)
        expected = self._expected_tokens(last_event)
        if expected is None:
            return left_ms
        return times.longest_stream_ms(choice.first_token_ms, expected, left_ms, now_ms)

    def fits(self, choice: Choice, left_ms: float, last_event: int | None) -> bool:
        """Whether a send that begins now is expected to end before the router exits."""
        plan = self._state.leaving
        if plan is None:
            return True
        longest_ms = self.longest_ms(choice, left_ms, last_event)
        return plan.may_finish(longest_ms, self._state.clock.now_ms)

    def began(self, at_ms: float, resumed_after: int | None = None) -> None:
        """Record when a plain request was sent, or when the first event of a stream arrived.

        Parameters
        ----------
        resumed_after
            Id of the event after which this send resumed; None if it started from the beginning.
        """
        self._began_ms, self._resumed_after = at_ms, resumed_after

    def ended(self) -> None:
        """Record the duration of a complete answer that its caller has taken."""
        if self._began_ms is None:
            return
        now_ms, times = self._state.clock.now_ms, self._state.times(self._service)
        took_ms = now_ms - self._began_ms
        if not self._route.streams:
            times.answered(took_ms, now_ms)
        elif (expected := self._expected_tokens(self._resumed_after)) is not None:
            times.streamed(took_ms, expected, now_ms)

    def _expected_tokens(self, last_event: int | None) -> int | None:
        tokens_per_event = self._state.tokens_per_event(self._service)
        if self._prompt is None or tokens_per_event is None:
            return None
        return max(0, self._prompt.max_tokens_out - (last_event or 0) * tokens_per_event)
