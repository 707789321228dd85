"""Counts of the work that a router does for one route."""

from __future__ import annotations

from typing import NamedTuple


class RouteCounts(NamedTuple):
    """Work for one route.

    Attributes
    ----------
    refused, retries
        Requests refused for overload, and how many of these their callers had sent before.
    admitted, tokens
        Requests admitted and the tokens that they were charged.
    events
        Events relayed to callers.
    """

    refused: int = 0
    retries: int = 0
    admitted: int = 0
    tokens: int = 0
    events: int = 0

    @property
    def requests(self) -> int:
        """Requests that arrived."""
        return self.refused + self.admitted

    def since(self, earlier: RouteCounts) -> RouteCounts:
        """Difference to earlier counts."""
        return RouteCounts(*(now - before for now, before in zip(self, earlier, strict=True)))


class RouteLoad:
    """Counts of one route since the router started; see `RouteCounts`.

    Attributes
    ----------
    events
        Increased directly: it is on the path of every event.
    """

    __slots__ = ("_admitted", "_refused", "_retries", "_tokens", "events")

    def __init__(self) -> None:
        self._refused = self._retries = self._admitted = self._tokens = 0
        self.events = 0

    @property
    def counts(self) -> RouteCounts:
        """The counts now."""
        return RouteCounts(self._refused, self._retries, self._admitted, self._tokens, self.events)

    def refuse(self, *, retry: bool = False) -> None:
        """Count a refused request."""
        self._refused += 1
        self._retries += retry

    def admit(self, tokens: float) -> None:
        """Count an admitted request."""
        self._admitted += 1
        self._tokens += round(tokens)
