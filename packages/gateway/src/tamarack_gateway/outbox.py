"""What this router has to tell the others of its own requests."""

from __future__ import annotations

import asyncio
import contextlib
from typing import NamedTuple

from tamarack_core.prompt import Prompt

PARTS_TOLD_TOKENS = 256
"""Prompt parts smaller than this are not told: reading them again costs a few milliseconds."""


class Placed(NamedTuple):
    """Work sent to one endpoint since the last message.

    Attributes
    ----------
    reading_ms
        Predicted time in milliseconds that the endpoint reads prompts for it.
    running
        Own requests that the endpoint works on.
    parts
        Keys and sizes of shared prompt parts that it now keeps.
    """

    endpoint: str
    reading_ms: float
    running: int
    parts: list[tuple[str, int]]


class Tokens(NamedTuple):
    """Tokens that a workspace asked for and was served since the last message."""

    workspace: str
    asked: float
    served: float


class Outbox:
    """Collects what happened since the last message to the other routers."""

    def __init__(self) -> None:
        self._reading: dict[str, float] = {}
        self._parts: dict[str, dict[str, int]] = {}
        self._asked: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._news = asyncio.Event()

    async def news(self, most_ms: float) -> None:
        """Wait until there is something to tell, but no longer than `most_ms`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(most_ms / 1000):
                await self._news.wait()
        self._news.clear()

    def placed(self, endpoint: str, reading_ms: float, prompt: Prompt) -> None:
        """Take in a request that was sent to an engine."""
        self._news.set()
        self._reading[endpoint] = self._reading.get(endpoint, 0.0) + reading_ms
        parts = self._parts.setdefault(endpoint, {})
        for part in prompt.parts[:-1]:
            if part.tokens >= PARTS_TOLD_TOKENS:
                parts[part.key] = part.tokens

    def asked(self, workspace: str, tokens: float) -> None:
        """Take in tokens that were asked for."""
        self._asked[workspace] = self._asked.get(workspace, 0.0) + tokens

    def served(self, workspace: str, tokens: float) -> None:
        """Take in tokens of a request that was sent to an engine."""
        self._served[workspace] = self._served.get(workspace, 0.0) + tokens

    def take_placed(self, running: dict[str, int]) -> list[Placed]:
        """All that was placed since the last call."""
        placed = [
            Placed(name, reading_ms, running.get(name, 0), list(self._parts.get(name, {}).items()))
            for name, reading_ms in self._reading.items()
        ]
        self._reading, self._parts = {}, {}
        return placed

    def take_tokens(self) -> list[Tokens]:
        """All tokens that were counted since the last call."""
        names = self._asked.keys() | self._served.keys()
        tokens = [
            Tokens(name, self._asked.get(name, 0.0), self._served.get(name, 0.0)) for name in names
        ]
        self._asked, self._served = {}, {}
        return tokens
