"""What routers tell each other about endpoints that said in an answer that they leave."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.wire import message


class LeavingEndpoint(NamedTuple):
    """An incarnation of an endpoint, and milliseconds since it said that it leaves."""

    name: str
    life: int | None
    age_ms: float

    @property
    def key(self) -> EndpointIncarnation:
        """The incarnation."""
        return EndpointIncarnation(self.name, self.life)


@message(81)
class LeavingEndpoints(NamedTuple):
    """Endpoints of which the sender knows from their answers that they leave."""

    router: str
    endpoints: list[LeavingEndpoint]
