"""Which workspaces ask for more than an even share of the engines' throughput."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

SLICE_MS = 250.0
"""Width of the slices in which tokens are counted; a window has some sixteen of them."""

BACKLOGGED = 1.2
"""Part of what it was served that a workspace must have asked to count as backlogged; refused
requests that come back are asked twice."""

RECENT_MS = 1_000.0
"""Time in which a workspace must have asked for work to count as backlogged: four slices."""

EXACT_WORKSPACES = 100
KEPT_MS_PER_WORKSPACE = 0.05
"""Workspaces up to which each position is worked out anew, and milliseconds for which the levels
are kept for each one more: 0.3 s at 6,800. These take 20 ms to work out, which at each request
would be more than all else that is done for it."""

COUNTED_LEAST_MS = 500.0
"""Time for which counts are taken to stand at the least. In less than that a single request is
beyond a share, and reports of other routers are missing that are up to 100 ms old."""


class Position(NamedTuple):
    """Where a workspace is beside its share and beside the others.

    Attributes
    ----------
    standing
        How many times its share it was served.
    lead
        How many times as much it was served as the backlogged workspace with least.
    filled
        How many times an even part of what is really served it was served.
    """

    standing: float = 0.0
    lead: float = 1.0
    filled: float = 1.0


class WorkspaceReading(NamedTuple):
    """What one workspace asked for and got in the window.

    Attributes
    ----------
    asked, served
        Tokens; of requests that were refused and came back, `asked` counts each coming.
    """

    workspace: str
    asked: float
    served: float
    position: Position


class _Levels(NamedTuple):
    """What all positions are held against: two even parts, and the backlogged one with least."""

    tokens_per_s: float
    until_ms: float
    share: float
    level: float
    least: float | None
    least_name: str


class WorkspaceShares:
    """Counts what workspaces ask for and get, over all routers, in a sliding window.

    Where workspaces together ask for more than the throughput, each that asks for more than an
    even share of it has the same share (max-min). What a workspace asks beyond is served only
    where that keeps nobody else waiting.

    Parameters
    ----------
    window_ms
        Length of the window in milliseconds.
    started_ms
        When counting began. A router that has just started knows of a part of the window only;
        held against the share of a whole one, everyone would be within it, however much it gets.
    """

    def __init__(self, window_ms: float, started_ms: float = float("-inf")) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._slices: deque[tuple[float, dict[str, float], dict[str, float]]] = deque()
        self._asked: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._kept_levels: _Levels | None = None

    def ask(self, workspace: str, tokens: float, now_ms: float) -> None:
        """Count tokens that a workspace asked for."""
        self.count(workspace, tokens, 0.0, now_ms)

    def serve(self, workspace: str, tokens: float, now_ms: float) -> None:
        """Count tokens of a request that was sent to an engine."""
        self.count(workspace, 0.0, tokens, now_ms)

    def count(self, workspace: str, asked: float, served: float, now_ms: float) -> None:
        """Count tokens that a workspace asked for, and those of requests sent to an engine."""
        _, slice_asked, slice_served = self._slice(now_ms)
        if asked:
            _add(slice_asked, workspace, asked)
            _add(self._asked, workspace, asked)
        if served:
            _add(slice_served, workspace, served)
            _add(self._served, workspace, served)

    def share(self, tokens_per_s: float, now_ms: float) -> float:
        """Tokens in a window that an even share comes to; infinite where all is served."""
        self._slice(now_ms)
        return self._even_part(tokens_per_s * self._counted_ms(now_ms) / 1000)

    def level(self, tokens_per_s: float, now_ms: float) -> float:
        """Tokens that an even part of what is really served comes to, if that is more.

        Engines that find prompts kept serve several times the throughput that is counted by.
        """
        nominal = tokens_per_s * self._counted_ms(now_ms) / 1000
        return self._even_part(max(nominal, sum(self._served.values())))

    def _even_part(self, tokens: float) -> float:
        left = tokens
        asked = sorted(self._asked.values())
        for position, wanted in enumerate(asked):
            even = left / (len(asked) - position)
            if wanted > even:
                return even
            left -= wanted
        return float("inf")

    def standing(self, workspace: str, tokens_per_s: float, now_ms: float) -> float:
        """How many times its share a workspace has been served in this window."""
        if tokens_per_s <= 0:
            return 0.0
        share = self.share(tokens_per_s, now_ms)
        return self._served.get(workspace, 0.0) / max(1.0, share)

    def lead(self, workspace: str, tokens_per_s: float, now_ms: float) -> float:
        """How many times as much a workspace was served as the backlogged one with least.

        1 for a workspace within its share, and where nobody is backlogged: what is over then is
        taken from nobody. Only those count that ask for an even part of what is really served, or
        more, and still do. If one that asks for less counted, a few of its requests that wait would
        hold back all who ask for more, and engines would run out of work; it is let in for its
        filling. One that has asked for much and no longer does is served less and less in the
        window: if it counted, all who still ask would be far ahead of it, and those with least of
        them be let in no sooner than the one with most.
        """
        return self._lead(workspace, self._levels(tokens_per_s, now_ms))

    def position(self, workspace: str, tokens_per_s: float, now_ms: float) -> Position:
        """Standing, lead and filling of a workspace."""
        levels = self._levels(tokens_per_s, now_ms)
        own = self._served.get(workspace, 0.0)
        standing = own / max(1.0, levels.share) if tokens_per_s > 0 else 0.0
        return Position(standing, self._lead(workspace, levels), own / max(1.0, levels.level))

    def largest(self, count: int, tokens_per_s: float, now_ms: float) -> list[WorkspaceReading]:
        """Readings of the workspaces that asked for most in this window, largest first."""
        self._slice(now_ms)
        names = sorted(self._asked, key=lambda name: -self._asked[name])[:count]
        return [self._reading(name, tokens_per_s, now_ms) for name in names]

    def _lead(self, workspace: str, levels: _Levels) -> float:
        own = self._served.get(workspace, 0.0)
        if own <= levels.share or levels.least is None or workspace == levels.least_name:
            return 1.0
        # Where no throughput is named the share is nothing, and one may have had nothing yet.
        return max(1.0, own / max(1.0, levels.least))

    def _levels(self, tokens_per_s: float, now_ms: float) -> _Levels:
        kept = self._kept_levels
        if kept is not None and now_ms < kept.until_ms and tokens_per_s == kept.tokens_per_s:
            return kept
        share = self.share(tokens_per_s, now_ms)
        level = self.level(tokens_per_s, now_ms)
        served = self._served
        backlogged = [
            (max(share, served.get(name, 0.0)), name)
            for name, asked in self._asked.items()
            if asked >= level
            and asked > BACKLOGGED * served.get(name, 0.0)
            and self._asks_now(name, now_ms) >= level
        ]
        least, name = min(backlogged, default=(None, ""))
        kept_ms = KEPT_MS_PER_WORKSPACE * max(0, len(self._asked) - EXACT_WORKSPACES)
        self._kept_levels = _Levels(tokens_per_s, now_ms + kept_ms, share, level, least, name)
        return self._kept_levels

    def _reading(self, workspace: str, tokens_per_s: float, now_ms: float) -> WorkspaceReading:
        return WorkspaceReading(
            workspace,
            self._asked.get(workspace, 0.0),
            self._served.get(workspace, 0.0),
            self.position(workspace, tokens_per_s, now_ms),
        )

    def _asks_now(self, workspace: str, now_ms: float) -> float:
        """Tokens in a window that it would ask for if it went on as in the last second."""
        recent, covered_ms = 0.0, 0.0
        for since_ms, asked, _ in reversed(self._slices):
            if since_ms < now_ms - RECENT_MS:
                break
            recent += asked.get(workspace, 0.0)
            covered_ms = now_ms - since_ms
        # Held against the time that the slices cover: as for a whole second, one that asks steadily
        # for the level would seem to ask for less in half of all looks.
        return recent * max(1.0, self._counted_ms(now_ms) / max(COUNTED_LEAST_MS, covered_ms))

    def _counted_ms(self, now_ms: float) -> float:
        return min(self._window_ms, max(COUNTED_LEAST_MS, now_ms - self._started_ms))

    def _slice(self, now_ms: float) -> tuple[float, dict[str, float], dict[str, float]]:
        while self._slices and self._slices[0][0] < now_ms - self._window_ms:
            _, asked, served = self._slices.popleft()
            _subtract(self._asked, asked)
            _subtract(self._served, served)
        if not self._slices or self._slices[-1][0] < now_ms - SLICE_MS:
            self._slices.append((now_ms, {}, {}))
        return self._slices[-1]


def _add(totals: dict[str, float], workspace: str, tokens: float) -> None:
    totals[workspace] = totals.get(workspace, 0.0) + tokens


def _subtract(totals: dict[str, float], part: dict[str, float]) -> None:
    for workspace, tokens in part.items():
        left = totals.get(workspace, 0.0) - tokens
        if left < 0.5:
            totals.pop(workspace, None)
        else:
            totals[workspace] = left
