"""The other routers, and which of all routers callers should use."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.rendezvous import ranked

SILENCE_MS = 1_200.0
"""Time without a summary after which a router is not named to callers: a dozen summaries."""

LEAST_ADDRESSES = 3
"""Addresses that a caller gets at least, if there are so many: one that fails leaves others."""

MOST_ADDRESSES = 64
"""Addresses of one answer that callers take in."""


class Member(NamedTuple):
    """A router as its last summary told."""

    router: str
    boot: int
    failure_domain: str
    callers: str
    ready: bool
    heard_ms: float


class FleetMembers:
    """Keeps what the others told last."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}

    def heard(self, member: Member) -> bool:
        """Take in a summary; False if it is of an earlier life."""
        known = self._members.get(member.router)
        if known is not None and known.boot > member.boot:
            return False
        self._members[member.router] = member
        return True

    def live(self, now_ms: float) -> list[Member]:
        """Routers that were heard lately and take callers."""
        return [
            member
            for member in self._members.values()
            if member.ready and now_ms - member.heard_ms <= SILENCE_MS
        ]

    def heard_within(self, span_ms: float, now_ms: float) -> int:
        """How many others were heard within a time."""
        return sum(1 for m in self._members.values() if now_ms - m.heard_ms <= span_ms)

    def addresses(self, me: Member, failure_domain: str, now_ms: float) -> list[str]:
        """Addresses for a caller: those of its own failure domain, others where these are few."""
        live = self.live(now_ms)
        if me.ready:
            live.append(me)
        near = [m for m in live if m.failure_domain == failure_domain]
        far = {m.router: m for m in live if m.failure_domain != failure_domain}
        lacking = max(0, LEAST_ADDRESSES - len(near))
        chosen = near + [far[name] for name in ranked(failure_domain, far)[:lacking]]
        return [member.callers for member in chosen[:MOST_ADDRESSES]]
