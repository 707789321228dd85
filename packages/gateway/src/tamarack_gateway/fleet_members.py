"""Membership of the fleet, and the choice of routers for callers, store reads and owned keys."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

import xxhash

from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_core.rendezvous import ranked, score, winner
from tamarack_gateway.peer_messages import Summary

SILENCE_MS = 1_200.0
"""Time without a summary after which callers no longer get a router's address: four summary
intervals of a small fleet."""

RELAYED_SILENCE_MS = 1_900.0
"""The same in a large fleet, where summaries are rarer and arrive through a relay. A failed relay
is replaced within 0.8 s; until then no summaries arrive."""

FORMER_INCARNATION_MS = 4_000.0
"""Time after a router's last summary for which summaries of an earlier incarnation are ignored.
Incarnations are ordered by the wall clock at their start, which may be set back: without a limit, a
router that restarts after that would be ignored as long as it runs, and callers would never get its
address."""

MIN_ADDRESSES = 3
"""Minimum number of addresses in an answer, if available, so that a caller has alternatives."""

READERS_KEY = "tables"
READERS = 3
"""Routers of a large fleet that read the store and publish changes to the others; they are in
different failure domains, and any two may fail."""

QUERY_GROUPS = 128
"""Groups of endpoints, each of which one router queries."""

MAX_ADDRESSES = 64
"""Maximum number of addresses that callers accept in one answer."""


STORE_LOST_MS = 10_000.0
"""Time after a failed call to the store in which a router is no reader if others can be. It tries
again after that, and a silent store costs the other routers the time of that call."""

STORE_LOSS_RETELL_MS = 1_000.0
"""Minimum time between two messages of a router about failed calls to the store."""

STORE_BACK_MS = 3_000.0
"""Time for which others go on reading in place of a router that tries again, in case that they have
missed its last messages: two readers too many cost less than one too few."""


class Member(NamedTuple):
    """A router according to its last summary."""

    router: str
    boot: int
    failure_domain: str
    callers: str
    ready: bool
    heard_ms: float
    fresh: bool = True
    stamp_ms: float = 0.0
    overloaded: bool = False

    @property
    def summary(self) -> Summary:
        """The summary that tells others of this router."""
        return Summary(
            self.router,
            self.boot,
            self.failure_domain,
            self.callers,
            self.ready,
            self.fresh,
            self.overloaded,
        )


class FleetMembers:
    """Holds the last summaries of the other routers."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._recently_heard: set[str] = set()
        self._lost_boots: dict[str, int] = {}
        self._scores: dict[str, dict[str, int]] = {}
        self._store_lost_until_ms: dict[str, float] = {}
        self._store_loss_told_ms = float("-inf")

    def record_stamp(self, router: str, stamp_ms: float) -> None:
        """Record a newer timestamp of a router's own clock."""
        known = self._members.get(router)
        if known is not None and stamp_ms > known.stamp_ms:
            self._members[router] = known._replace(stamp_ms=stamp_ms)

    def record_unchanged(self, stamps: dict[str, float], now_ms: float) -> None:
        """Record that routers are unchanged since their last summaries, by their own timestamps."""
        for router, stamp_ms in stamps.items():
            known = self._members.get(router)
            if known is not None:
                newest_ms = max(stamp_ms, known.stamp_ms)
                self._members[router] = known._replace(heard_ms=now_ms, stamp_ms=newest_ms)

    def record_summary(self, member: Member) -> bool:
        """Record a summary; returns False if it is of an earlier incarnation."""
        known = self._members.get(member.router)
        if known is not None and known.boot > member.boot:
            stale = member.heard_ms - known.heard_ms <= FORMER_INCARNATION_MS
            if stale:
                return False
        self._members[member.router] = member
        return True

    def record_store_lost(self, router: str, now_ms: float) -> bool:
        """Record that another router has told of a failed call; returns whether that is new."""
        new = not self._lost_store(router, now_ms)
        self._store_lost_until_ms[router] = now_ms + STORE_LOST_MS + STORE_BACK_MS
        return new

    def record_own_store_lost(self, router: str, now_ms: float) -> bool:
        """Record a failed call of this router; returns whether the others have to be told.

        Failures in between count for neither: the time in which this router is no reader must not
        last longer for itself than for the others, or nobody would read.
        """
        if now_ms - self._store_loss_told_ms < STORE_LOSS_RETELL_MS:
            return False
        self._store_loss_told_ms = now_ms
        self._store_lost_until_ms[router] = now_ms + STORE_LOST_MS
        return True

    def _lost_store(self, router: str, now_ms: float) -> bool:
        return now_ms < self._store_lost_until_ms.get(router, float("-inf"))

    def _ranked_for_store(self, key: str, names: list[str], now_ms: float) -> list[str]:
        """Rank routers for a task at the store: those that reach it, or all if none does."""
        able = [name for name in names if not self._lost_store(name, now_ms)]
        return self._ranked(key, able or names)

    def known(self) -> list[Member]:
        """All routers that ever sent a summary, by name."""
        return sorted(self._members.values())

    def _recent(self, now_ms: float) -> dict[str, Member]:
        large = len(self._members) >= SMALL_FLEET
        silence_ms = RELAYED_SILENCE_MS if large else SILENCE_MS
        return {n: m for n, m in self._members.items() if now_ms - m.heard_ms <= silence_ms}

    def recent_routers(self, now_ms: float) -> list[str]:
        """Names of the other routers with a recent summary."""
        return list(self._recent(now_ms))

    def live(self, now_ms: float) -> list[Member]:
        """Ready routers with a recent summary."""
        return [member for member in self._recent(now_ms).values() if member.ready]

    def poll_changes(self, now_ms: float) -> tuple[list[str], list[str]]:
        """Routers that were lost and that were regained since the last call."""
        heard = set(self._recent(now_ms))
        lost, regained = sorted(self._recently_heard - heard), sorted(heard - self._recently_heard)
        self._recently_heard = heard
        return lost, regained

    def returned(self, lost: Collection[str], regained: Collection[str]) -> bool:
        """Whether routers are heard again that ran all the while, given the latest changes.

        One of the two sides was cut off or frozen, and either may have missed messages.
        """
        returned = any(
            self._lost_boots.pop(name, None) == self._members[name].boot for name in regained
        )
        self._lost_boots.update((name, self._members[name].boot) for name in lost)
        return returned

    def heard_within(self, span_ms: float, now_ms: float) -> int:
        """Number of other routers with a summary within `span_ms`."""
        return sum(1 for m in self._members.values() if now_ms - m.heard_ms <= span_ms)

    def stamps(self) -> dict[str, float]:
        """The newest timestamp of each router, by its own clock."""
        return {name: member.stamp_ms for name, member in self._members.items()}

    def queried_by(
        self, me: Member, endpoints: list[str], listed: Collection[str], now_ms: float
    ) -> list[str]:
        """Endpoints that this router queries; in a large fleet, one router does for all.

        Routers that are listed in the store count although they have not been heard yet: of a large
        fleet that starts, each router would otherwise take itself to be alone and query all.

        Routers own groups of endpoints: hashing each of thousands of endpoints with each of
        hundreds of routers takes half a second, and all routers do it when they start.
        """
        routers = {*self._recent(now_ms), *listed, me.router}
        if len(routers) <= SMALL_FLEET:
            return endpoints
        owners = [winner(f"query/{group}", routers) for group in range(QUERY_GROUPS)]
        return [name for name in endpoints if owners[_query_group(name)] == me.router]

    def owns(self, key: str, me: Member, now_ms: float) -> bool:
        """Whether this router owns a key, by rendezvous hashing."""
        return winner(key, {*self._recent(now_ms), me.router}) == me.router

    def domain_writer(self, key: str, me: Member, now_ms: float) -> str:
        """Router that writes to the store for this one's failure domain, by rendezvous hashing.

        Two parts of a fleet that do not hear each other have a writer each.
        """
        members = [me, *self._recent(now_ms).values()]
        names = [m.router for m in members if m.failure_domain == me.failure_domain]
        return self._ranked_for_store(key, names, now_ms)[0]

    def leads(self, key: str, me: Member, listed: int, now_ms: float) -> bool:
        """Whether this router does a task for the whole fleet, by rendezvous hashing.

        Of two parts of a fleet that do not hear each other, only one with more than half of the
        listed routers has a leader.
        """
        ready = {n for n, member in self._recent(now_ms).items() if member.ready}
        if me.ready:
            ready.add(me.router)
        return 2 * len(ready) > listed and self._ranked(key, list(ready))[:1] == [me.router]

    def sends_copy(self, key: str, me: Member, now_ms: float) -> bool:
        """Whether this router answers a request for a whole table; only fresh, ready routers do.

        In a small fleet, rendezvous hashing chooses one of them. In a large fleet, any of them may
        answer, and `TableFollower.copy` leaves it to the routers that read the table themselves.
        """
        recent = {**self._recent(now_ms), me.router: me}
        able = {n for n, member in recent.items() if member.fresh and member.ready}
        if len(recent) > SMALL_FLEET:
            return me.router in able
        return bool(able) and winner(key, able) == me.router

    def reads(self, me: Member, now_ms: float, *, expected: Collection[str] = ()) -> bool:
        """Whether this router reads tables from the store rather than receiving them from others.

        The same routers read all tables: the one whose calls are held for the shortest time shows
        first that the store does not answer a reader.

        Parameters
        ----------
        expected
            Routers that will be heard soon, for a router that has just started. As long as it has
            heard few of a large fleet, it would otherwise read everything itself.
        """
        recent = {**self._recent(now_ms), me.router: me}
        if len(recent) <= SMALL_FLEET:
            order = self._ranked(READERS_KEY, list({*expected, me.router}))
            return len(order) <= SMALL_FLEET or me.router in order[:READERS]
        readers: list[str] = []
        domains: set[str] = set()
        ready = [name for name, member in recent.items() if member.ready]
        order = self._ranked_for_store(READERS_KEY, ready, now_ms)
        for name in order:
            if recent[name].failure_domain not in domains and len(readers) < READERS:
                readers.append(name)
                domains.add(recent[name].failure_domain)
        lacking = READERS - len(readers)
        readers += [name for name in order if name not in readers][:lacking]
        return me.router in readers

    def _ranked(self, key: str, names: list[str]) -> list[str]:
        # Each follower calls this several times a second; hashing all names would dominate it.
        scores = self._scores.setdefault(key, {})
        for name in names:
            if name not in scores:
                scores[name] = score(key, name)
        return sorted(names, key=scores.__getitem__, reverse=True)

    def addresses(
        self,
        me: Member,
        failure_domain: str,
        now_ms: float,
        *,
        domains: Collection[str] | None = None,
    ) -> list[str]:
        """Addresses for a caller: those of its own failure domain, with others if these are few.

        A router that is rejected by the store soon refuses requests with keys, so callers are sent
        to others. If most routers are in that state, the few others would be overloaded, so all are
        included. An answer has at least half as many addresses as the domain has live routers. The
        same applies to routers with event-loop lag. If `domains` is given, only routers in one of
        these failure domains are included.
        """
        live = self.live(now_ms)
        if me.ready:
            live.append(me)
        if domains is not None:
            live = [member for member in live if member.failure_domain in domains]
        usable = _if_majority([member for member in live if member.fresh], live)
        usable = _if_majority([member for member in usable if not member.overloaded], usable)
        local = [m for m in usable if m.failure_domain == failure_domain]
        local_live = sum(m.failure_domain == failure_domain for m in live)
        least = max(MIN_ADDRESSES, (local_live + 1) // 2)
        remote = {m.router: m for m in usable if m.failure_domain != failure_domain}
        lacking = max(0, least - len(local))
        chosen = local + [remote[name] for name in ranked(failure_domain, remote)[:lacking]]
        return [member.callers for member in chosen[:MAX_ADDRESSES]]


def _if_majority(chosen: list[Member], members: list[Member]) -> list[Member]:
    return chosen if 2 * len(chosen) >= len(members) else members


def _query_group(endpoint: str) -> int:
    return xxhash.xxh64_intdigest(endpoint.encode()) % QUERY_GROUPS
