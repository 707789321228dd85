"""What a router answers itself: readiness, addresses for callers, metrics and its status."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import Request
from tamarack_gateway.loop_watch import LoopStatus
from tamarack_gateway.router_status import router_status
from tamarack_gateway.site import DirectoryDialect


class OwnPages:
    """Answers the platform's checks, callers that ask where to connect, and operators.

    Parameters
    ----------
    me
        Tells how this router is.
    relays
        Tells whether it relays for its failure domain.
    loop
        Tells how busy its event loop is.
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
    ) -> None:
        self._state = state
        self._members = members
        self._metrics = metrics
        self._directory = directory
        self._me = me
        self._relays = relays
        self._loop = loop

    async def answer_site(self, request: Request, caller: CallerConnection) -> None:
        """Answer the platform or a caller that asks for addresses."""
        directory, state = self._directory, self._state
        if directory.is_readiness(request):
            caller.answer(200 if state.ready else 503, [])
            return
        place = directory.place(request)
        if place is None:
            caller.answer(404, [])
            return
        now_ms = state.clock.now_ms
        addresses = self._members.addresses(self._me(), place.failure_domain, now_ms)
        if not addresses:
            caller.answer(503, [])
            return
        headers, body = directory.addresses(addresses, state.address_ttl_ms / 1000)
        caller.answer(200, headers, body)

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
        else:
            caller.answer(404, [])
