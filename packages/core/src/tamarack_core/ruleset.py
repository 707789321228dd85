"""Configuration of a site with routes by host and path prefix.

A `Ruleset` is one complete, immutable version of the configuration: a newer version replaces it as
a whole, so that a request never sees parts of two versions.
"""

from __future__ import annotations

import copy
from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """Semantics of a request with respect to retries."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: int


class Route(NamedTuple):
    """Rules for the requests of one host below one path prefix.

    Attributes
    ----------
    time_limit_ms
        Longest time in milliseconds that a caller waits, from the arrival of its request.
    aim_ms
        Latency target in milliseconds for an answer, or for the first event of a stream.
    max_attempts
        Maximum number of endpoints to which one request is sent.
    public
        Whether requests need no key.
    resumable
        Whether an interrupted stream may resume at another endpoint after the last event.
    regions
        Regions whose endpoints may run its requests; None for all.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    shares: tuple[ServiceShare, ...]
    time_limit_ms: float
    aim_ms: float
    max_attempts: int
    public: bool
    resumable: bool
    regions: frozenset[str] | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run may be retried at another endpoint."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def streams(self) -> bool:
        """Whether answers are event streams."""
        return self.kind is RequestKind.STREAM

    def service_for(self, draw: float) -> str:
        """Service for a request, by a random number in [0, 1) drawn for it."""
        total = sum(share.weight for share in self.shares)
        threshold = draw * total
        for share in self.shares:
            threshold -= share.weight
            if threshold < 0:
                return share.service
        return self.shares[-1].service


class EngineTraits(NamedTuple):
    """Configured properties of a service's model engines.

    Attributes
    ----------
    slots
        Requests that run concurrently.
    memory_tokens
        KV memory in tokens, shared by running requests and cached prefix blocks.
    tokens_per_event
        Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class WarmUp(NamedTuple):
    """Warm-up of a service's endpoints after their start.

    Attributes
    ----------
    duration_ms
        Longest duration in milliseconds.
    requests_per_s
        Requests in a second that an endpoint tolerates meanwhile.
    """

    duration_ms: float
    requests_per_s: float


class Service(NamedTuple):
    """A pool of interchangeable endpoints.

    Attributes
    ----------
    max_connections
        Connections that an endpoint accepts from all routers together.
    engine
        Properties of its model engines; None for a plain service.
    warm_up
        Warm-up of its endpoints; None if they have none.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None
    warm_up: WarmUp | None = None


class CallerBounds(NamedTuple):
    """Size limits and timeouts for callers.

    Attributes
    ----------
    header_bytes, body_bytes
        Maximum sizes in bytes.
    header_ms, idle_ms
        Timeouts in milliseconds for sending a request's head and for an idle connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


class Ruleset:
    """One version of routes, services, workspaces and limits.

    Parameters
    ----------
    tokens_per_s
        Throughput of all engines together, each prompt token counted once and each generated token
        twice; zero if it is not configured.
    needs_keys
        Whether requests on routes that are not public need a key.
    regions_by_workspace
        Regions whose endpoints may run a workspace's requests; workspaces without an entry may use
        all.
    """

    def __init__(
        self,
        version: int,
        routes: list[Route],
        services: list[Service],
        workspace_by_key: dict[str, str],
        *,
        bounds: CallerBounds | None = None,
        tokens_per_s: float = 0.0,
        needs_keys: bool = True,
        regions_by_workspace: Mapping[str, frozenset[str]] | None = None,
    ) -> None:
        self._version = version
        self._needs_keys = needs_keys
        self._services = {service.name: service for service in services}
        self._workspace_by_key = workspace_by_key
        self._regions_by_workspace = regions_by_workspace or {}
        self._bounds = bounds or CallerBounds()
        self._tokens_per_s = tokens_per_s
        self._engine_services = tuple(s.name for s in services if s.engine is not None)
        self._longest_resumable_ms = max(
            (route.time_limit_ms for route in routes if route.streams and route.resumable),
            default=0.0,
        )
        self._shortest_aims: dict[str, float] = {}
        for route in routes:
            for share in route.shares if route.streams else ():
                shortest = self._shortest_aims.get(share.service, float("inf"))
                self._shortest_aims[share.service] = min(shortest, route.aim_ms)
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def with_keys(self, workspace_by_key: dict[str, str]) -> Ruleset:
        """Copy of this version with the keys of a newer one of which only the keys are known."""
        changed = copy.copy(self)
        changed._workspace_by_key = workspace_by_key
        return changed

    @property
    def version(self) -> int:
        """Version number; it only increases."""
        return self._version

    @property
    def bounds(self) -> CallerBounds:
        """Limits for callers."""
        return self._bounds

    @property
    def tokens_per_s(self) -> float:
        """Tokens per second that workspaces share."""
        return self._tokens_per_s

    @property
    def longest_resumable_ms(self) -> float:
        """Longest time limit in milliseconds of routes whose streams may be resumed."""
        return self._longest_resumable_ms

    @property
    def engine_services(self) -> tuple[str, ...]:
        """Names of the services of model engines."""
        return self._engine_services

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self._needs_keys

    def route_for(self, host: str, path: str) -> Route | None:
        """Route with the longest prefix that matches `path`; None if there is none."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def regions_for(self, route: Route, workspace: str | None) -> frozenset[str] | None:
        """Regions whose endpoints may run a request; None for all, empty for none."""
        restrictions = [route.regions, self._regions_by_workspace.get(workspace or "")]
        given = [regions for regions in restrictions if regions is not None]
        return frozenset.intersection(*given) if given else None

    def regions_of_host(self, host: str) -> frozenset[str] | None:
        """Regions whose routers may receive requests for a host; None for all.

        Where workspaces are restricted, it is empty: whose requests will come is not known yet, so
        that only routers of the caller's own region may receive them.
        """
        if self._regions_by_workspace:
            return frozenset()
        given = [r.regions for r in self._by_host.get(host, ()) if r.regions is not None]
        return frozenset.intersection(*given) if given else None

    def shortest_aim_ms(self, service: str) -> float:
        """Shortest latency target of the streaming routes of a service; infinite without any."""
        return self._shortest_aims.get(service, float("inf"))

    @property
    def services(self) -> list[Service]:
        """All services."""
        return list(self._services.values())

    def service(self, name: str) -> Service | None:
        """Service of that name; None if there is none."""
        return self._services.get(name)

    def workspace_of(self, key: str) -> str | None:
        """Workspace of an API key; None if it is unknown."""
        return self._workspace_by_key.get(key)
