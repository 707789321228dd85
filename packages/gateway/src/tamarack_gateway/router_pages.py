"""Pages served by the router itself: readiness, addresses for callers, metrics and status."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import msgspec

from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import Request
from tamarack_gateway.loop_monitor import LoopStatus
from tamarack_gateway.quarantine_status import quarantine_status
from tamarack_gateway.router_status import router_status
from tamarack_gateway.site import DirectoryDialect, Place

QUARANTINE = b"/quarantine"
RELEASE = b"/quarantine/release/"


class RouterPages:
    """Answers the platform's readiness checks, callers' address queries, and operators.

    Parameters
    ----------
    me
        Returns this router's own entry in the list of routers.
    relays
        Returns whether it relays for its failure domain.
    loop
        Returns the load of its event loop.
    release
        Releases a request, given its fingerprint; returns whether the store has recorded it.
    """

    def __init__(
        self,
        state: FleetState,
        members: FleetMembers,
        metrics: GatewayMetrics,
        directory: DirectoryDialect,
        *,
        me: Callable[[], Member],
        relays: Callable[[], bool],
        loop: Callable[[], LoopStatus],
        release: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._state = state
        self._members = members
        self._metrics = metrics
        self._directory = directory
        self._me = me
        self._relays = relays
        self._loop = loop
        self._release = release

    async def answer_site(self, request: Request, caller: CallerConnection) -> None:
        """Answer a readiness check or a caller's query for addresses."""
        directory, state = self._directory, self._state
        if directory.is_readiness(request):
            caller.answer(200 if state.ready else 503, [])
            return
        place = directory.place(request)
        if place is None:
            caller.answer(404, [])
            return
        now_ms = state.clock.now_ms
        addresses = self._members.addresses(
            self._me(), place.failure_domain, now_ms, domains=self._domains_for(place)
        )
        if not addresses:
            caller.answer(503, [])
            return
        headers, body = directory.addresses(addresses, state.address_ttl_ms / 1000)
        caller.answer(200, headers, body)

    def _domains_for(self, place: Place) -> set[str] | None:
        """Failure domains whose routers may receive a caller's requests; None for all."""
        rules, region_of = self._state.rules, self._state.settings.regions
        regions = rules.regions_of_host(place.host.lower()) if rules is not None else None
        if regions is None:
            return None
        return {d for d, region in region_of.items() if region in regions or region == place.region}

    async def answer_operator(self, request: Request, caller: CallerConnection) -> None:
        """Answer a metrics reader or an operator."""
        path = request.target.partition(b"?")[0]
        if path == b"/metrics":
            content, kind = self._metrics.render()
            caller.answer(200, [(b"content-type", kind.encode())], content)
        elif path == b"/status":
            loop = self._loop()
            status = router_status(self._state, self._members, loop, relays=self._relays())
            json = [(b"content-type", b"application/json")]
            caller.answer(200, json, msgspec.json.encode(status))
        elif path == QUARANTINE:
            json = [(b"content-type", b"application/json")]
            caller.answer(200, json, msgspec.json.encode(quarantine_status(self._state)))
        elif path.startswith(RELEASE) and request.method == b"POST":
            await self._answer_release(path[len(RELEASE) :].decode("latin-1"), caller)
        else:
            caller.answer(404, [])

    async def _answer_release(self, fingerprint: str, caller: CallerConnection) -> None:
        if not self._state.quarantine.contains(fingerprint):
            caller.answer(404, [], b"no such request is quarantined\n")
        elif await self._release(fingerprint):
            caller.answer(200, [], b"released\n")
        else:
            # The row is still in the store, and would quarantine the request again when the next
            # router starts.
            caller.answer(503, [], b"the store did not take the release; try again\n")
