"""Applies the quarantine to one request, and reports to it how the request's sends ended."""

from __future__ import annotations

from collections.abc import Sequence
from functools import cached_property

from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation
from tamarack_core.fingerprint import fingerprint
from tamarack_core.quarantine import FREE, Handling, Treatment
from tamarack_core.request_traits import block_traits
from tamarack_core.termination_evidence import InterruptedRequest, InterruptedTraits
from tamarack_gateway.endpoint_connection import ConnectionLostError
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import AnswerHead, Request
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.site import RequestFacts
from tamarack_gateway.termination_detector import TerminationDetector

EARLY_MS = 500.0
"""A request whose first event is younger than this counts as having just begun to run. Requests
that crash engines do so 50 to 110 ms after they begin to run."""

MAX_LOGGED_BLOCKS = 8
"""Maximum number of prefix blocks in one log line."""


class RequestQuarantine:
    """Connects one request to the quarantine.

    Parameters
    ----------
    workspace
        Workspace of the caller's key; None for a request without a key.
    """

    def __init__(
        self,
        state: FleetState,
        detector: TerminationDetector,
        feed: QuarantineFeed,
        request: Request,
        facts: RequestFacts,
        workspace: str | None,
    ) -> None:
        self._state = state
        self._quarantine = state.quarantine
        self._detector = detector
        self._feed = feed
        self._request = request
        self._host = facts.host
        self._attempt = facts.attempt
        self._workspace = workspace
        self._block_names = facts.prompt.shared_names if facts.prompt is not None else ()
        self._handling = FREE
        self._isolated_for = ""
        self._isolated_at: EndpointIncarnation | None = None
        self._may_have_crashed = False

    @cached_property
    def fingerprint(self) -> str:
        """Identifies the request across retries; computed on first use."""
        request = self._request
        return fingerprint(
            self._workspace, self._host, request.method, request.target, request.body
        )

    @cached_property
    def blocks(self) -> tuple[str, ...]:
        """Traits of the shared prefix blocks of its prompt."""
        return block_traits(self._block_names)

    def current_handling(self) -> Handling:
        """Treatment of the request now; checked before each send and after each wait."""
        if self._handling.treatment is Treatment.TRIAL:
            # A trial is granted rarely: it stays granted while the request waits for other reasons.
            return self._handling
        self._handling = FREE
        if self._quarantine.watching:
            now_ms = self._state.clock.now_ms
            self._handling = self._quarantine.treatment_of(
                self.fingerprint, self._workspace or "", now_ms, self.blocks
            )
        return self._handling

    def allowed_endpoints(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Those of `endpoints` that the request may be sent to; a suspect is confined to one."""
        if self._handling.treatment not in (Treatment.ISOLATED, Treatment.TRIAL) or not endpoints:
            return endpoints
        key = self._quarantine.choose_endpoint(
            self._handling.suspects, [endpoint.key for endpoint in endpoints]
        )
        return [endpoint for endpoint in endpoints if endpoint.key == key]

    def sent(self, endpoint: Endpoint) -> None:
        """Record that the request is sent to an endpoint."""
        self._isolated_for = ""
        self._may_have_crashed = False
        if self._handling.treatment in (Treatment.ISOLATED, Treatment.TRIAL):
            self._isolated_for, self._isolated_at = self._handling.suspects, endpoint.key
            self._quarantine.begun(self._isolated_for, endpoint.key)
        self._handling = FREE

    def ended(self) -> None:
        """Record the end of a send, whatever its result; called once for each `sent`."""
        if self._isolated_at is not None:
            self._quarantine.finished(self._isolated_for, self._isolated_at)
            self._isolated_at = None

    def answered(self, *, generated: bool) -> None:
        """Record that an endpoint answered with any status and did not crash.

        Parameters
        ----------
        generated
            Whether the answer is a success: an endpoint may fail a request without using its
            prompt.
        """
        if self._quarantine.watching and not self._may_have_crashed:
            self._feed.answered(self.fingerprint, self.blocks if generated else ())

    async def lost(self, endpoint: Endpoint, running_ms: float | None, sent_ms: float) -> bool:
        """Record that an answer broke off; returns whether its endpoint has terminated.

        Parameters
        ----------
        running_ms
            Time since its first event; None before the first event.
        sent_ms
            Time at which the request was sent to the endpoint.
        """
        early = running_ms is None or running_ms < EARLY_MS
        traits = InterruptedTraits(self.blocks, self._isolated_for)
        self._feed.record_traits(self.fingerprint, traits)
        aboard = InterruptedRequest(self.fingerprint, self._workspace or "", early)
        ended = await self._detector.lost(endpoint, aboard, sent_ms)
        self._state.log.request(
            "connection lost",
            self._attempt,
            endpoint=endpoint.name,
            ended=ended,
            fingerprint=self.fingerprint,
            blocks=self._block_names[:MAX_LOGGED_BLOCKS],
            sent_ms_ago=round(self._state.clock.now_ms - sent_ms),
            running_ms=running_ms and round(running_ms),
        )
        return ended

    async def check_end(self, endpoint: Endpoint, head: AnswerHead) -> None:
        """Raise `ConnectionLostError` if an answer ended with its endpoint and not by itself.

        Only an answer without length or chunks leaves that open.
        """
        if not head.unframed:
            return
        self._may_have_crashed, certain = await self._detector.after_end(endpoint)
        if certain:
            raise ConnectionLostError("the endpoint terminated as the answer ended")

    def refused(self, sends: int) -> None:
        """Log that the quarantine rejects the request, before its first send or a retry."""
        self._state.log.request(
            "quarantined",
            self._attempt,
            reason="endpoints ended under it",
            fingerprint=self.fingerprint,
            entry=self._handling.suspects,
            sends=sends,
        )
