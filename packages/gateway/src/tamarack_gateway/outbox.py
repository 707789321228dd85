"""What this router has to tell the others of its own requests."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from tamarack_core.endpoint_book import EndpointLife
from tamarack_core.prompt import PromptPart


class Placed(NamedTuple):
    """Work sent to one endpoint since the last message.

    Attributes
    ----------
    reading_ms
        Predicted time in milliseconds that the endpoint reads prompts for it.
    parts
        Keys and sizes of shared prompt parts that it now keeps.
    life
        Life of the endpoint that this tells of; see `Endpoint.life`.
    """

    endpoint: str
    reading_ms: float
    parts: list[tuple[str, int]]
    life: int | None = None

    @property
    def key(self) -> EndpointLife:
        """The life of the endpoint that this tells of."""
        return EndpointLife(self.endpoint, self.life)


class Tokens(NamedTuple):
    """Tokens that a workspace asked for and was served at one service since the last message."""

    workspace: str
    asked: int
    served: int


class Seen(NamedTuple):
    """An engine's queue in milliseconds and its pace, as a first event in one life showed them."""

    endpoint: str
    wait_ms: float
    pace: float
    life: int | None = None

    @property
    def key(self) -> EndpointLife:
        """The life of the endpoint that this tells of."""
        return EndpointLife(self.endpoint, self.life)


class Placements(NamedTuple):
    """What a router did since its last message; sent soon after each placement.

    `tokens` has an entry for each service.
    """

    placed: list[Placed]
    tokens: dict[str, list[Tokens]]
    seen: list[Seen] = []


class PlacementSum:
    """Adds up placements, one entry for each engine, and for each workspace at each service.

    A relay passes on the sum of what its failure domain told in an interval. With each report
    passed on as it was, every router of a large fleet would take in all reports of all others.
    """

    def __init__(self) -> None:
        self._reading: dict[EndpointLife, float] = {}
        self._parts: dict[EndpointLife, dict[str, int]] = {}
        self._tokens: dict[str, dict[str, tuple[float, float]]] = {}
        self._seen: dict[EndpointLife, Seen] = {}

    def __bool__(self) -> bool:
        return bool(self._reading or self._tokens or self._seen)

    def add(self, told: Placements) -> None:
        """Add what was told before; of several first events at one engine the last one stays."""
        for placed in told.placed:
            self.add_work(placed.key, placed.reading_ms, placed.parts)
        for service, rows in told.tokens.items():
            for workspace, asked, served in rows:
                self.add_tokens(service, workspace, asked, served)
        for seen in told.seen:
            self.add_seen(seen)

    def add_work(
        self, key: EndpointLife, reading_ms: float, parts: Iterable[tuple[str, int]]
    ) -> None:
        """Add work sent to an engine, and parts that it keeps now."""
        self._reading[key] = self._reading.get(key, 0.0) + reading_ms
        self._parts.setdefault(key, {}).update(parts)

    def add_tokens(self, service: str, workspace: str, asked: float, served: float) -> None:
        """Add tokens that a workspace asked a service for and was served."""
        rows = self._tokens.setdefault(service, {})
        asked_before, served_before = rows.get(workspace, (0.0, 0.0))
        rows[workspace] = (asked_before + asked, served_before + served)

    def add_seen(self, seen: Seen) -> None:
        """Add what a first event showed; of several the last one stays."""
        self._seen[seen.key] = seen

    def take(self) -> Placements | None:
        """All that was added since the last call; None if nothing was."""
        if not self:
            return None
        placed = [
            Placed(key.name, round(reading_ms, 1), list(self._parts.get(key, {}).items()), key.life)
            for key, reading_ms in self._reading.items()
        ]
        tokens = {
            service: [
                Tokens(name, int(asked), int(served)) for name, (asked, served) in rows.items()
            ]
            for service, rows in self._tokens.items()
        }
        seen = list(self._seen.values())
        self._reading, self._parts, self._seen, self._tokens = {}, {}, {}, {}
        return Placements(placed, tokens, seen)


class Outbox:
    """Collects what happened since the last message to the other routers."""

    def __init__(self) -> None:
        self._sum = PlacementSum()
        self._news = asyncio.Event()

    async def wait(self) -> None:
        """Wait until there is something to tell."""
        await self._news.wait()
        self._news.clear()

    def placed(
        self, endpoint: str, reading_ms: float, parts: list[PromptPart], life: int | None = None
    ) -> None:
        """Take in a request that was sent to an engine."""
        self._news.set()
        key = EndpointLife(endpoint, life)
        self._sum.add_work(key, reading_ms, ((part.key, part.tokens) for part in parts))

    def asked(self, service: str, workspace: str, tokens: float) -> None:
        """Take in tokens that a service was asked for."""
        self._news.set()
        self._sum.add_tokens(service, workspace, tokens, 0.0)

    def served(self, service: str, workspace: str, tokens: float) -> None:
        """Take in tokens of a request that was sent to an engine of a service."""
        self._sum.add_tokens(service, workspace, 0.0, tokens)

    def seen(self, key: EndpointLife, wait_ms: float, pace: float) -> None:
        """Take in what a first event showed; of several the last one is told."""
        self._sum.add_seen(Seen(key.name, round(wait_ms, 1), round(pace, 2), key.life))

    def take(self) -> Placements | None:
        """All that happened since the last call; None if nothing did."""
        return self._sum.take()
