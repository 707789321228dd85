"""A request that the relay holds from admission until it is answered."""

from __future__ import annotations

from typing import Any

from tamarack_core.memory_budget import Holding
from tamarack_core.request_spec import RequestSpec
from tamarack_router.messages import EndpointCall
from tamarack_router.run import Run
from tamarack_router.stored_answer import StoredAnswer


class HeldRequest:
    """State of one request in the relay.

    Attributes
    ----------
    span, wait
        Trace spans of the whole request and of its wait for a slot.
    holding
        Part of the router's budget that holds the request and its answer.
    held_since_ms
        Router clock time at which the relay got the request, in milliseconds.
    run
        The run in progress; None while the request waits.
    claimed_again
        Whether its key was claimed a second time; a third claim is not made.
    """

    def __init__(
        self,
        spec: RequestSpec,
        call: EndpointCall,
        answer: StoredAnswer,
        span: Any,
        holding: Holding,
        held_since_ms: float,
    ) -> None:
        self.held_since_ms = held_since_ms
        self.holding = holding
        self.spec = spec
        self.call = call
        self.answer = answer
        self.span = span
        self.run: Run | None = None
        self.claim_retried = False
        self.wait: Any = None

    def end_wait(self) -> None:
        """End the wait span, if it has not ended."""
        if self.wait is not None:
            self.wait.end()
            self.wait = None
