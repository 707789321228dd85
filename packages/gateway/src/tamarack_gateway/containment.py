"""One request and the quarantine: how it is treated, and what its sends show."""

from __future__ import annotations

from collections.abc import Sequence
from functools import cached_property

from tamarack_core.end_evidence import Aboard
from tamarack_core.endpoint_book import Endpoint, EndpointLife
from tamarack_core.fingerprint import fingerprint
from tamarack_core.quarantine import FREE, Standing, Treatment
from tamarack_gateway.end_witness import EndWitness
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import Request
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.site import RequestFacts

EARLY_MS = 500.0
"""Time after its first event up to which a request counts as having only begun. Those that ended
the users' engines did so 50 to 110 ms after they had begun to run."""


class Containment:
    """Asks and tells the quarantine on behalf of one request.

    Parameters
    ----------
    workspace
        Workspace of the caller's key; None for a request without one.
    """

    def __init__(
        self,
        state: FleetState,
        witness: EndWitness,
        feed: QuarantineFeed,
        request: Request,
        facts: RequestFacts,
        workspace: str | None,
    ) -> None:
        self._state = state
        self._quarantine = state.quarantine
        self._witness = witness
        self._feed = feed
        self._request = request
        self._host = facts.host
        self._attempt = facts.attempt
        self._workspace = workspace
        self._standing = FREE
        self._apart_at: EndpointLife | None = None

    @cached_property
    def fingerprint(self) -> str:
        """What names the request across its repeats; made only where it is asked for."""
        request = self._request
        return fingerprint(
            self._workspace, self._host, request.method, request.target, request.body
        )

    def look(self) -> Standing:
        """How the request is treated now; asked again before each send and after each wait."""
        if self._standing.treatment is Treatment.TRIAL:
            # Given once in a long time: what it waits for meanwhile must not use it up.
            return self._standing
        self._standing = FREE
        if self._quarantine.watching:
            now_ms = self._state.clock.now_ms
            self._standing = self._quarantine.look(self.fingerprint, self._workspace or "", now_ms)
        return self._standing

    def among(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Endpoints that the request may go to, of some: a suspect has one."""
        if self._standing.treatment not in (Treatment.APART, Treatment.TRIAL) or not endpoints:
            return endpoints
        key = self._quarantine.place(self.fingerprint, [endpoint.key for endpoint in endpoints])
        return [endpoint for endpoint in endpoints if endpoint.key == key]

    def sent(self, endpoint: Endpoint) -> None:
        """Take in that the request is sent."""
        if self._standing.treatment in (Treatment.APART, Treatment.TRIAL):
            self._apart_at = endpoint.key
            self._quarantine.begun(self.fingerprint, endpoint.key)
        self._standing = FREE

    def ended(self) -> None:
        """Take in that a send has ended in whatever way; called once for each `sent`."""
        if self._apart_at is not None:
            self._quarantine.finished(self.fingerprint, self._apart_at)
            self._apart_at = None

    def answered(self) -> None:
        """Take in that an endpoint answered, with whatever status, and goes on."""
        if self._quarantine.watching:
            self._feed.answered(self.fingerprint)

    async def lost(self, endpoint: Endpoint, running_ms: float | None, sent_ms: float) -> bool:
        """Take in that an answer broke off, and tell whether its endpoint has ended.

        Parameters
        ----------
        running_ms
            Time since its first event; None before that.
        sent_ms
            When it was sent there.
        """
        early = running_ms is None or running_ms < EARLY_MS
        aboard = Aboard(self.fingerprint, self._workspace or "", early)
        ended = await self._witness.lost(endpoint, aboard, sent_ms)
        self._state.log.request(
            "connection lost",
            self._attempt,
            endpoint=endpoint.name,
            ended=ended,
            fingerprint=self.fingerprint,
            sent_ms_ago=round(self._state.clock.now_ms - sent_ms),
            running_ms=running_ms and round(running_ms),
        )
        return ended

    def refused(self, sends: int) -> None:
        """Log that the request is not sent, or not again."""
        self._state.log.request(
            "quarantined",
            self._attempt,
            reason="endpoints ended under it",
            fingerprint=self.fingerprint,
            sends=sends,
        )
