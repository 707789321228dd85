"""What endpoints say about themselves in their answers, to this router or to another one."""

from __future__ import annotations

from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import (
    LEAVING_RETAINED_MS,
    Endpoint,
    EndpointIncarnation,
    EndpointRegistry,
)
from tamarack_core.rest_periods import RestPeriods
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.leaving_messages import LeavingEndpoint, LeavingEndpoints
from tamarack_gateway.site import AnswerFacts

MAX_TOLD = 512
"""Maximum number of endpoints in a message, some 20 kB: those that said so last."""


class EndpointNotices:
    """Records that endpoints leave, or request a rest period.

    An endpoint that leaves also says so in the store, which may be unavailable at that time. Only
    the router that it answers hears it, and tells the others.

    Parameters
    ----------
    router
        Name of this router.

    Attributes
    ----------
    publish
        Called with messages for the other routers.
    """

    def __init__(
        self, registry: EndpointRegistry, log: DecisionLog, clock: Clock, router: str
    ) -> None:
        self._registry = registry
        self._log = log
        self._clock = clock
        self._router = router
        self._said_ms: dict[EndpointIncarnation, float] = {}
        self.rests = RestPeriods(clock)
        self.publish: Callable[[LeavingEndpoints], None] = _ignore

    def record(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        """Record the notices in an answer of an endpoint."""
        now_ms = self._clock.now_ms
        if facts.leaving and self._registry.record_leaving(endpoint.key, now_ms):
            self._remember(endpoint.key, now_ms)
            self._log.change("endpoint says that it is leaving", endpoint=endpoint.name)
            self.publish(LeavingEndpoints(self._router, [LeavingEndpoint(*endpoint.key, 0.0)]))
        if facts.rest_ms is not None:
            self.rests.request(endpoint.key, facts.rest_ms)
            self._log.change(
                "endpoint requests a rest period", endpoint=endpoint.name, rest_ms=facts.rest_ms
            )

    def learn(self, message: LeavingEndpoints) -> None:
        """Apply what another router knows."""
        now_ms = self._clock.now_ms
        for endpoint in message.endpoints:
            if self._registry.record_leaving(endpoint.key, now_ms):
                self._remember(endpoint.key, now_ms - endpoint.age_ms)
                self._log.change(
                    "endpoint leaves, another router says",
                    endpoint=endpoint.name,
                    router=message.router,
                    age_ms=round(endpoint.age_ms),
                )

    def tell(self) -> None:
        """Tell the other routers what this one knows; some may have missed it."""
        now_ms, recent = self._clock.now_ms, self._recent
        newest = sorted(recent, key=lambda key: -recent[key])[:MAX_TOLD]
        if newest:
            known = [LeavingEndpoint(*key, now_ms - recent[key]) for key in newest]
            self.publish(LeavingEndpoints(self._router, known))

    @property
    def _recent(self) -> dict[EndpointIncarnation, float]:
        past_ms = self._clock.now_ms - LEAVING_RETAINED_MS
        return {key: said_ms for key, said_ms in self._said_ms.items() if said_ms > past_ms}

    def _remember(self, key: EndpointIncarnation, said_ms: float) -> None:
        self._said_ms = {**self._recent, key: said_ms}


def _ignore(message: LeavingEndpoints) -> None:
    """Default of `EndpointNotices.publish`: does nothing."""
