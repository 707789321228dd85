"""Collects what this router reports to the others about its own requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.prompt import PrefixBlock
from tamarack_core.stream_origins import BegunStreams, Origin, by_origin

BEGUN_GAP_MS = 100.0
"""Longest time in milliseconds for which a begun stream waits for a report that goes out anyway: a
report of its own wakes all routers. What has not been told is lost with this router."""


class Placed(NamedTuple):
    """Work sent to one endpoint since the last message.

    Attributes
    ----------
    reading_ms
        Predicted prefill time in milliseconds.
    parts
        Keys and sizes in tokens of shared prefix blocks that the endpoint now caches.
    life
        Incarnation of the endpoint; see `Endpoint.life`.
    """

    endpoint: str
    reading_ms: float
    parts: list[tuple[str, int]]
    life: int | None = None

    @property
    def key(self) -> EndpointIncarnation:
        """The endpoint's incarnation."""
        return EndpointIncarnation(self.endpoint, self.life)


class Tokens(NamedTuple):
    """Tokens that a workspace requested and was served at one service since the last message."""

    workspace: str
    asked: int
    served: int


class Seen(NamedTuple):
    """An engine's queueing time in milliseconds and speed factor, as observed in a first event."""

    endpoint: str
    wait_ms: float
    pace: float
    life: int | None = None

    @property
    def key(self) -> EndpointIncarnation:
        """The endpoint's incarnation."""
        return EndpointIncarnation(self.endpoint, self.life)


class Placements(NamedTuple):
    """Work of a router since its last message; sent soon after each placement.

    `tokens` has an entry for each service.
    """

    placed: list[Placed]
    tokens: dict[str, list[Tokens]]
    seen: list[Seen] = []


class PlacementSum:
    """Sums placements by engine, and tokens by service and workspace.

    A relay passes on the sum of its failure domain's reports in an interval. If it passed on each
    report, every router of a large fleet would process all reports of all others.
    """

    def __init__(self) -> None:
        self._prefill_ms: dict[EndpointIncarnation, float] = {}
        self._parts: dict[EndpointIncarnation, dict[str, int]] = {}
        self._tokens: dict[str, dict[str, tuple[float, float]]] = {}
        self._seen: dict[EndpointIncarnation, Seen] = {}

    def __bool__(self) -> bool:
        return bool(self._prefill_ms or self._tokens or self._seen)

    def add(self, placements: Placements) -> None:
        """Add placements; of several first events at one engine, the last one is kept."""
        for placed in placements.placed:
            self.add_work(placed.key, placed.reading_ms, placed.parts)
        for service, rows in placements.tokens.items():
            for workspace, asked, served in rows:
                self.add_tokens(service, workspace, asked, served)
        for seen in placements.seen:
            self.add_seen(seen)

    def add_work(
        self, key: EndpointIncarnation, reading_ms: float, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Add work sent to an engine, and prefix blocks that it now caches."""
        self._prefill_ms[key] = self._prefill_ms.get(key, 0.0) + reading_ms
        self._parts.setdefault(key, {}).update(parts)

    def add_tokens(self, service: str, workspace: str, asked: float, served: float) -> None:
        """Add tokens that a workspace requested of a service and was served."""
        rows = self._tokens.setdefault(service, {})
        asked_before, served_before = rows.get(workspace, (0.0, 0.0))
        rows[workspace] = (asked_before + asked, served_before + served)

    def add_seen(self, seen: Seen) -> None:
        """Add the observation of a first event; of several, the last one is kept."""
        self._seen[seen.key] = seen

    def take(self) -> Placements | None:
        """Return and reset the sum; None if nothing was added."""
        if not self:
            return None
        placed = [
            Placed(key.name, round(reading_ms, 1), list(self._parts.get(key, {}).items()), key.life)
            for key, reading_ms in self._prefill_ms.items()
        ]
        tokens = {
            service: [
                Tokens(name, int(asked), int(served)) for name, (asked, served) in rows.items()
            ]
            for service, rows in self._tokens.items()
        }
        seen = list(self._seen.values())
        self._prefill_ms, self._parts, self._seen, self._tokens = {}, {}, {}, {}
        return Placements(placed, tokens, seen)


class Outbox:
    """Collects placements and begun streams since the last message to the other routers."""

    def __init__(self) -> None:
        self._sum = PlacementSum()
        self._begun: dict[str, Origin] = {}
        self._begun_timer: asyncio.TimerHandle | None = None
        self._pending_event = asyncio.Event()

    async def wait(self) -> None:
        """Wait until there is something to report."""
        await self._pending_event.wait()
        self._pending_event.clear()

    def placed(
        self, endpoint: str, reading_ms: float, parts: list[PrefixBlock], life: int | None = None
    ) -> None:
        """Record a request that was sent to an engine."""
        self._pending_event.set()
        key = EndpointIncarnation(endpoint, life)
        self._sum.add_work(key, reading_ms, ((part.key, part.tokens) for part in parts))

    def asked(self, service: str, workspace: str, tokens: float) -> None:
        """Record tokens that were requested of a service."""
        self._pending_event.set()
        self._sum.add_tokens(service, workspace, tokens, 0.0)

    def served(self, service: str, workspace: str, tokens: float) -> None:
        """Record tokens of a request that was sent to an engine of a service."""
        self._sum.add_tokens(service, workspace, 0.0, tokens)

    def seen(self, key: EndpointIncarnation, wait_ms: float, pace: float) -> None:
        """Record the observation of a first event; of several, the last one is reported."""
        self._sum.add_seen(Seen(key.name, round(wait_ms, 1), round(pace, 2), key.life))

    def began(self, attempt: str, origin: Origin) -> None:
        """Record where a stream began that may be taken up at another router."""
        self._begun[attempt] = origin
        if self._begun_timer is None:
            loop = asyncio.get_running_loop()
            self._begun_timer = loop.call_later(BEGUN_GAP_MS / 1000, self._pending_event.set)

    def take(self) -> Placements | None:
        """Return and reset the placements; None if there were none."""
        return self._sum.take()

    def take_begun(self) -> list[BegunStreams]:
        """Return and reset the begun streams."""
        begun, self._begun = by_origin(self._begun), {}
        if self._begun_timer is not None:
            self._begun_timer.cancel()
            self._begun_timer = None
        return begun
