"""Max-min fair shares of the engines' throughput, and the service that each workspace received."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from tamarack_core.max_min import max_min_share

SLICE_MS = 250.0
"""Width in milliseconds of the slices of the sliding window; a window has some sixteen of them."""

BACKLOG_FACTOR = 1.2
"""Demand of a backlogged workspace, at least this multiple of its service; retries of refused
requests add to the demand again."""

RECENT_MS = 1_000.0
"""Milliseconds within which a workspace must have sent requests to count as backlogged: four
slices."""

EXACT_WORKSPACES = 100
CACHED_MS_PER_WORKSPACE = 0.05
"""Number of workspaces up to which the levels are computed at each call, and milliseconds for which
they are cached for each workspace beyond it: 0.3 s at 6,800. They take 20 ms to compute there,
which for each request would exceed all its other work."""

MIN_COUNTED_MS = 500.0
"""Shortest time in milliseconds that the counts are assumed to cover. In a shorter time a single
request exceeds a share, and reports of other routers, up to 100 ms late, are missing."""


class Position(NamedTuple):
    """Service of a workspace relative to its fair share and to other workspaces.

    Attributes
    ----------
    standing
        Service received relative to the fair share.
    lead
        Service relative to the least-served backlogged workspace; 1 at the least.
    filled
        Service relative to an equal share of the actual throughput.
    """

    standing: float = 0.0
    lead: float = 1.0
    filled: float = 1.0


class WorkspaceReading(NamedTuple):
    """Demand and service of one workspace in the window.

    Attributes
    ----------
    asked, served
        Tokens; `asked` counts each retry of a refused request again.
    """

    workspace: str
    asked: float
    served: float
    position: Position


class _Levels(NamedTuple):
    """Reference values of all positions: two equal shares and the least backlogged service.

    `share` divides the configured throughput and `level` the actual one, if that is higher.
    """

    tokens_per_s: float
    until_ms: float
    share: float
    level: float
    least: float | None
    least_name: str


class WorkspaceShares:
    """Demand and service of all workspaces, over all routers, in a sliding window.

    If the total demand exceeds the throughput, all workspaces whose demand exceeds an equal share
    get the same share (max-min fairness). Demand beyond it is served only where that delays no
    other workspace.

    Parameters
    ----------
    window_ms
        Length of the window in milliseconds.
    started_ms
        Start of counting. A router that has just started knows only a part of the window; compared
        with the share of a whole window, every workspace would seem to be within its share.
    """

    def __init__(self, window_ms: float, started_ms: float = float("-inf")) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._slices: deque[tuple[float, dict[str, float], dict[str, float]]] = deque()
        self._asked: dict[str, float] = {}
        self._served: dict[str, float] = {}
        self._cached_levels: _Levels | None = None

    def record_demand(self, workspace: str, tokens: float, now_ms: float) -> None:
        """Count tokens requested by a workspace."""
        self.count(workspace, tokens, 0.0, now_ms)

    def record_service(self, workspace: str, tokens: float, now_ms: float) -> None:
        """Count tokens of a request that was sent to an engine."""
        self.count(workspace, 0.0, tokens, now_ms)

    def count(self, workspace: str, asked: float, served: float, now_ms: float) -> None:
        """Count tokens requested by a workspace, and those of its requests sent to an engine."""
        _, slice_asked, slice_served = self._slice(now_ms)
        if asked:
            _add(slice_asked, workspace, asked)
            _add(self._asked, workspace, asked)
        if served:
            _add(slice_served, workspace, served)
            _add(self._served, workspace, served)

    def share(self, tokens_per_s: float, now_ms: float) -> float:
        """Fair share of the configured throughput in tokens; infinite if it covers all demand."""
        self._slice(now_ms)
        return max_min_share(tokens_per_s * self._counted_ms(now_ms) / 1000, self._asked.values())

    def level(self, tokens_per_s: float, now_ms: float) -> float:
        """Fair share in tokens of the actual or the configured throughput, whichever is higher.

        With prefix cache hits, engines serve several times the configured throughput.
        """
        nominal = tokens_per_s * self._counted_ms(now_ms) / 1000
        return max_min_share(max(nominal, sum(self._served.values())), self._asked.values())

    def standing(self, workspace: str, tokens_per_s: float, now_ms: float) -> float:
        """Service of a workspace in this window, relative to its fair share."""
        if tokens_per_s <= 0:
            return 0.0
        share = self.share(tokens_per_s, now_ms)
        return self._served.get(workspace, 0.0) / max(1.0, share)

    def lead(self, workspace: str, tokens_per_s: float, now_ms: float) -> float:
        """Service of a workspace relative to the least-served backlogged workspace.

        1 for a workspace within its share, and if no workspace is backlogged: its excess then
        delays no other. A workspace counts as backlogged only while its demand is at least an
        equal share of the actual throughput. If one with a lower demand counted, a few of its
        waiting requests would delay all workspaces with more demand, and engines would run out of
        work; it is admitted by its `filled` instead. If one whose demand has ended counted, its
        service in the window would go on falling: all active workspaces would have a large lead,
        and the least-served of them would be admitted no sooner than the most-served one.
        """
        return self._lead(workspace, self._levels(tokens_per_s, now_ms))

    def position(self, workspace: str, tokens_per_s: float, now_ms: float) -> Position:
        """Position of a workspace: standing, lead and `filled`."""
        levels = self._levels(tokens_per_s, now_ms)
        own = self._served.get(workspace, 0.0)
        standing = own / max(1.0, levels.share) if tokens_per_s > 0 else 0.0
        return Position(standing, self._lead(workspace, levels), own / max(1.0, levels.level))

    def largest(self, count: int, tokens_per_s: float, now_ms: float) -> list[WorkspaceReading]:
        """Demand and service of the workspaces with the highest demand, largest first."""
        self._slice(now_ms)
        names = sorted(self._asked, key=lambda name: -self._asked[name])[:count]
        return [self._reading(name, tokens_per_s, now_ms) for name in names]

    def _lead(self, workspace: str, levels: _Levels) -> float:
        own = self._served.get(workspace, 0.0)
        if own <= levels.share or levels.least is None or workspace == levels.least_name:
            return 1.0
        # Without a configured throughput the share is zero, and `least` may be zero, too.
        return max(1.0, own / max(1.0, levels.least))

    def _levels(self, tokens_per_s: float, now_ms: float) -> _Levels:
        cached = self._cached_levels
        if cached is not None and now_ms < cached.until_ms and tokens_per_s == cached.tokens_per_s:
            return cached
        share = self.share(tokens_per_s, now_ms)
        level = self.level(tokens_per_s, now_ms)
        served = self._served
        backlogged = [
            (max(share, served.get(name, 0.0)), name)
            for name, asked in self._asked.items()
            if asked >= level
            and asked > BACKLOG_FACTOR * served.get(name, 0.0)
            and self._asks_now(name, now_ms) >= level
        ]
        least, name = min(backlogged, default=(None, ""))
        kept_ms = CACHED_MS_PER_WORKSPACE * max(0, len(self._asked) - EXACT_WORKSPACES)
        self._cached_levels = _Levels(tokens_per_s, now_ms + kept_ms, share, level, least, name)
        return self._cached_levels

    def _reading(self, workspace: str, tokens_per_s: float, now_ms: float) -> WorkspaceReading:
        return WorkspaceReading(
            workspace,
            self._asked.get(workspace, 0.0),
            self._served.get(workspace, 0.0),
            self.position(workspace, tokens_per_s, now_ms),
        )

    def _asks_now(self, workspace: str, now_ms: float) -> float:
        """Demand of the last second, extrapolated to a window, in tokens."""
        recent_tokens, covered_ms = 0.0, 0.0
        for since_ms, asked, _ in reversed(self._slices):
            if since_ms < now_ms - RECENT_MS:
                break
            recent_tokens += asked.get(workspace, 0.0)
            covered_ms = now_ms - since_ms
        # Divided by the time that the slices cover: divided by a whole second, a steady demand at
        # the level would seem to be below it in half of all calls.
        return recent_tokens * max(1.0, self._counted_ms(now_ms) / max(MIN_COUNTED_MS, covered_ms))

    def _counted_ms(self, now_ms: float) -> float:
        return min(self._window_ms, max(MIN_COUNTED_MS, now_ms - self._started_ms))

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
