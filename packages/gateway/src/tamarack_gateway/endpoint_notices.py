"""What endpoints say about themselves in their answers."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import Endpoint, EndpointRegistry
from tamarack_core.rest_periods import RestPeriods
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.site import AnswerFacts


class EndpointNotices:
    """Records that endpoints leave, or request a rest period.

    An endpoint that leaves also says so in the store, which may be unavailable at that time.
    """

    def __init__(self, registry: EndpointRegistry, log: DecisionLog, clock: Clock) -> None:
        self._registry = registry
        self._log = log
        self._clock = clock
        self.rests = RestPeriods(clock)

    def record(self, endpoint: Endpoint, facts: AnswerFacts) -> None:
        """Record the notices in an answer of an endpoint."""
        now_ms = self._clock.now_ms
        if facts.leaving and self._registry.record_leaving(endpoint.key, now_ms):
            self._log.change("endpoint says that it is leaving", endpoint=endpoint.name)
        if facts.rest_ms is not None:
            self.rests.request(endpoint.key, facts.rest_ms)
            self._log.change(
                "endpoint requests a rest period", endpoint=endpoint.name, rest_ms=facts.rest_ms
            )
