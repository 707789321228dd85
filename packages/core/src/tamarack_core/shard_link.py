"""What passes between one router and the dispatcher of one shard."""

from __future__ import annotations

from typing import Protocol

from tamarack_core.defaults import (
    AVOID_DISPATCHER_MS,
    DISPATCHER_SILENCE_MS,
    POLL_INTERVAL_MS,
)
from tamarack_core.dispatch_messages import Poll, ShardKey
from tamarack_core.rendezvous import ranked

IDLE_POLL_MS = 1_000
SPARE_COUNTERS = 64


class Candidates(Protocol):
    """Names of the members that may dispatch, and a number that rises when they change."""

    @property
    def usable(self) -> list[str]:
        """The names."""

    @property
    def changes(self) -> int:
        """The number."""


class ShardLink:
    """Whom a router follows for a shard, what it has outstanding there, and when it last heard.

    Attributes
    ----------
    waiting, running
        Requests with a ticket or a grant of this shard.
    target, term
        Router that is thought to dispatch, and its term; the term never falls.
    """

    def __init__(self, shard: ShardKey, router: str) -> None:
        self.shard = shard
        self.target = ""
        self.term = 0
        self.waiting: set[str] = set()
        self.running: set[str] = set()
        self._router = router
        self._heard_ms = 0.0
        self._polled_ms = 0.0
        self._unanswered_ms: float | None = None
        self._pinned_until_ms = 0.0
        self._avoid: dict[str, float] = {}
        self._ranked: list[str] = []
        self._ranked_at = -1
        self._counters: dict[str, float] = {}

    @property
    def idle(self) -> bool:
        """Whether nothing is outstanding."""
        return not self.waiting and not self.running

    def heard(self, sender: str, term: int, now_ms: float) -> bool:
        """Note a dispatcher's message; False if it is not the one that is followed."""
        if sender != self.target or term < self.term:
            return False
        self.term = term
        self._heard_ms = now_ms
        self._unanswered_ms = None
        return True

    def follow(self, sender: str, term: int, now_ms: float) -> bool:
        """Follow a dispatcher that begins a term; False if the term is not a higher one."""
        if term <= self.term:
            return False
        self.term = term
        self.target = sender
        self._pinned_until_ms = now_ms + AVOID_DISPATCHER_MS
        self._heard_ms = now_ms
        self._unanswered_ms = None
        return True

    def aim(self, candidates: Candidates, now_ms: float) -> bool:
        """Turn to the preferred dispatcher; True if another one was followed before."""
        preferred = self._preferred(candidates, now_ms)
        if preferred == self.target:
            return False
        first = not self.target
        self.target = preferred
        self._polled_ms = now_ms
        self._unanswered_ms = now_ms if self.waiting and not first else None
        return not first

    def expect_answer(self, now_ms: float) -> None:
        """Note that something was sent which a dispatcher that lives will answer."""
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms

    def give_up_if_silent(self, now_ms: float) -> bool:
        """Avoid a dispatcher that is silent while tickets wait; True if that is so."""
        # A router cannot be silent towards itself.
        if not self.waiting or self._unanswered_ms is None or self.target == self._router:
            return False
        if now_ms - self._unanswered_ms < DISPATCHER_SILENCE_MS:
            return False
        self._avoid[self.target] = now_ms + AVOID_DISPATCHER_MS
        self._pinned_until_ms = 0.0
        return True

    def due_poll(self, now_ms: float) -> Poll | None:
        """The poll to send now, None if it is too early."""
        interval = POLL_INTERVAL_MS if self.waiting else IDLE_POLL_MS
        quiet = now_ms - max(self._heard_ms, self._polled_ms) >= interval
        # Also under steady traffic, or a grant that was lost on its way would hold its slot for
        # ever: only a poll compares what both sides think is outstanding.
        if not quiet and now_ms - self._polled_ms < IDLE_POLL_MS:
            return None
        self.expect_answer(now_ms)
        return self.poll(now_ms)

    def poll(self, now_ms: float) -> Poll:
        """What is outstanding, in numbers."""
        self._polled_ms = now_ms
        return Poll(self.shard, self.term, len(self.waiting), len(self.running))

    def remember(self, counters: dict[str, float]) -> None:
        """Keep counters that a dispatcher told, for its successor."""
        self._counters.update(counters)
        # Without a bound each link would come to hold a counter of every workspace there is.
        bound = SPARE_COUNTERS + 4 * (len(self.waiting) + len(self.running))
        while len(self._counters) > bound:
            del self._counters[next(iter(self._counters))]

    def counters_of(self, workspaces: set[str]) -> dict[str, float]:
        """Counters kept of these workspaces."""
        return {name: self._counters[name] for name in workspaces if name in self._counters}

    def _preferred(self, candidates: Candidates, now_ms: float) -> str:
        usable = candidates.usable
        if now_ms < self._pinned_until_ms and self.target in usable:
            return self.target
        if self._ranked_at != candidates.changes:
            self._ranked_at = candidates.changes
            key = f"{self.shard.service}/{self.shard.number}"
            self._ranked = ranked(key, usable or [self._router])
        for name in self._ranked:
            if self._avoid.get(name, 0.0) <= now_ms:
                return name
        return self._ranked[0]
