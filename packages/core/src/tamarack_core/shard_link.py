"""One router's link to the dispatcher of one shard."""

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
MIN_STORED_COUNTERS = 64  # in addition to four per outstanding request


class Candidates(Protocol):
    """Names of the members that may dispatch, and a counter of their changes."""

    @property
    def usable(self) -> list[str]:
        """Names of the members that may dispatch."""

    @property
    def changes(self) -> int:
        """Counter that increases whenever the names change."""


class ShardLink:
    """A shard's current dispatcher, the outstanding requests there, and message times.

    Attributes
    ----------
    waiting, running
        Requests with a ticket or a grant of this shard.
    target, term
        Router that dispatches the shard in the local view, and its term, which never decreases.
    """

    def __init__(self, shard: ShardKey, router: str) -> None:
        self.shard = shard
        self.target = ""
        self.term = 0
        self.waiting: set[str] = set()
        self.running: set[str] = set()
        self._router = router
        self._received_ms = 0.0
        self._polled_ms = 0.0
        self._unanswered_ms: float | None = None
        self._keep_target_until_ms = 0.0
        self._avoid_until_ms: dict[str, float] = {}
        self._ranked: list[str] = []
        self._ranked_changes = -1
        self._counters: dict[str, float] = {}

    @property
    def idle(self) -> bool:
        """Whether no request is outstanding."""
        return not self.waiting and not self.running

    def record_message(self, sender: str, term: int, now_ms: float) -> bool:
        """Record a dispatcher's message; False if it is not of the current dispatcher and term."""
        if sender != self.target or term < self.term:
            return False
        self.term = term
        self._received_ms = now_ms
        self._unanswered_ms = None
        return True

    def follow(self, sender: str, term: int, now_ms: float) -> bool:
        """Switch to a dispatcher that starts a term; False if the term is not higher."""
        if term <= self.term:
            return False
        self.term = term
        self.target = sender
        self._keep_target_until_ms = now_ms + AVOID_DISPATCHER_MS
        self._received_ms = now_ms
        self._unanswered_ms = None
        return True

    def switch_target(self, candidates: Candidates, now_ms: float) -> bool:
        """Switch to the preferred dispatcher; True if this replaces an earlier target."""
        preferred = self._preferred(candidates, now_ms)
        if preferred == self.target:
            return False
        first = not self.target
        self.target = preferred
        self._polled_ms = now_ms
        self._unanswered_ms = now_ms if self.waiting and not first else None
        return not first

    def expect_answer(self, now_ms: float) -> None:
        """Record that a message was sent which a live dispatcher answers."""
        if self._unanswered_ms is None:
            self._unanswered_ms = now_ms

    def avoid_if_silent(self, now_ms: float) -> bool:
        """Avoid the dispatcher if it is silent while tickets wait; True if so."""
        # Messages of a router to itself cannot be lost.
        if not self.waiting or self._unanswered_ms is None or self.target == self._router:
            return False
        if now_ms - self._unanswered_ms < DISPATCHER_SILENCE_MS:
            return False
        self._avoid_until_ms[self.target] = now_ms + AVOID_DISPATCHER_MS
        self._keep_target_until_ms = 0.0
        return True

    def due_poll(self, now_ms: float) -> Poll | None:
        """The poll to send now, None if none is due."""
        interval = POLL_INTERVAL_MS if self.waiting else IDLE_POLL_MS
        quiet = now_ms - max(self._received_ms, self._polled_ms) >= interval
        # Polls are also sent under steady traffic. Only a poll compares the outstanding numbers
        # of both sides; without it a grant lost in transit would occupy its slot forever.
        if not quiet and now_ms - self._polled_ms < IDLE_POLL_MS:
            return None
        self.expect_answer(now_ms)
        return self.poll(now_ms)

    def poll(self, now_ms: float) -> Poll:
        """A poll with the numbers of outstanding requests."""
        self._polled_ms = now_ms
        return Poll(self.shard, self.term, len(self.waiting), len(self.running))

    def store_counters(self, counters: dict[str, float]) -> None:
        """Store counters that a dispatcher reported, for its successor."""
        self._counters.update(counters)
        # Without a bound each link would store a counter of every workspace.
        bound = MIN_STORED_COUNTERS + 4 * (len(self.waiting) + len(self.running))
        while len(self._counters) > bound:
            del self._counters[next(iter(self._counters))]

    def counters_of(self, workspaces: set[str]) -> dict[str, float]:
        """Stored counters of these workspaces."""
        return {name: self._counters[name] for name in workspaces if name in self._counters}

    def _preferred(self, candidates: Candidates, now_ms: float) -> str:
        usable = candidates.usable
        if now_ms < self._keep_target_until_ms and self.target in usable:
            return self.target
        if self._ranked_changes != candidates.changes:
            self._ranked_changes = candidates.changes
            key = f"{self.shard.service}/{self.shard.number}"
            self._ranked = ranked(key, usable or [self._router])
        for name in self._ranked:
            if self._avoid_until_ms.get(name, 0.0) <= now_ms:
                return name
        return self._ranked[0]
