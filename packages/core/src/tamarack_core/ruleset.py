"""What is in force at a site whose requests are told apart by host and path.

A `Ruleset` is one version of the configuration, complete and never changed: a newer version
replaces it whole, so that one request never sees parts of two versions.
"""

from __future__ import annotations

import copy
from enum import StrEnum
from typing import NamedTuple


class RequestKind(StrEnum):
    """What may be repeated of a request."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


class ServiceShare(NamedTuple):
    """A service and the part of a route's requests that it gets."""

    service: str
    weight: int


class Route(NamedTuple):
    """Requests of one host below one path prefix.

    Attributes
    ----------
    time_limit_ms
        The longest time in milliseconds that a caller is kept waiting, from its arrival.
    aim_ms
        Milliseconds within which an answer (of a stream: its first event) has its full worth.
    max_attempts
        Endpoints to which one request may be sent at the most.
    public
        Whether a request needs no key.
    resumable
        Whether a broken stream may go on at another endpoint after the last event.
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

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent to another endpoint."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT

    @property
    def streams(self) -> bool:
        """Whether answers are series of events."""
        return self.kind is RequestKind.STREAM

    def service_for(self, draw: float) -> str:
        """Service for a request, by a number from 0 up to 1 drawn for it."""
        total = sum(share.weight for share in self.shares)
        mark = draw * total
        for share in self.shares:
            mark -= share.weight
            if mark < 0:
                return share.service
        return self.shares[-1].service


class EngineTraits(NamedTuple):
    """What the configuration tells of a service's model engines.

    Attributes
    ----------
    slots
        Requests that run at once.
    memory_tokens
        Tokens that running requests and kept prompt parts share.
    tokens_per_event
        Tokens that one event of a stream holds.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Service(NamedTuple):
    """A pool of endpoints that do the same work.

    Attributes
    ----------
    max_connections
        Connections that an endpoint takes from all routers together.
    engine
        Traits of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None


class CallerBounds(NamedTuple):
    """What a caller may send and how slowly.

    Attributes
    ----------
    header_bytes, body_bytes
        Sizes in bytes.
    header_ms, idle_ms
        Milliseconds to send a request's head, and that a kept connection may be idle.
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
        What all engines together carry, each prompt token counted once and each generated token
        twice; zero where it is not told.
    needs_keys
        Whether requests on routes that are not public need a key.
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
    ) -> None:
        self._version = version
        self._needs_keys = needs_keys
        self._services = {service.name: service for service in services}
        self._workspace_by_key = workspace_by_key
        self._bounds = bounds or CallerBounds()
        self._tokens_per_s = tokens_per_s
        self._engine_services = tuple(s.name for s in services if s.engine is not None)
        self._shortest_aims: dict[str, float] = {}
        for route in routes:
            for share in route.shares if route.streams else ():
                shortest = self._shortest_aims.get(share.service, float("inf"))
                self._shortest_aims[share.service] = min(shortest, route.aim_ms)
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(routes, key=lambda route: -len(route.prefix)):
            self._by_host.setdefault(route.host, []).append(route)

    def with_keys(self, workspace_by_key: dict[str, str]) -> Ruleset:
        """The same version with other keys, where only these are known of a newer one."""
        changed = copy.copy(self)
        changed._workspace_by_key = workspace_by_key
        return changed

    @property
    def version(self) -> int:
        """Number of the version; versions only rise."""
        return self._version

    @property
    def bounds(self) -> CallerBounds:
        """What callers may send."""
        return self._bounds

    @property
    def tokens_per_s(self) -> float:
        """Tokens a second that workspaces share."""
        return self._tokens_per_s

    @property
    def engine_services(self) -> tuple[str, ...]:
        """Names of the services of model engines."""
        return self._engine_services

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not public need a key."""
        return self._needs_keys

    def route_for(self, host: str, path: str) -> Route | None:
        """Route with the longest prefix that begins `path`, None if no route does."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def shortest_aim_ms(self, service: str) -> float:
        """Shortest aim of the routes whose streams a service makes."""
        return self._shortest_aims.get(service, float("inf"))

    @property
    def services(self) -> list[Service]:
        """All services."""
        return list(self._services.values())

    def service(self, name: str) -> Service | None:
        """Service of that name."""
        return self._services.get(name)

    def workspace_of(self, key: str) -> str | None:
        """Workspace that holds `key`."""
        return self._workspace_by_key.get(key)
