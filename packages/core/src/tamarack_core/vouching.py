"""What a router may claim for the whole fleet, and from whom it knows that.

A router that has just started, was frozen or is cut off knows less than it seems to itself. What it
says of the fleet therefore needs somebody who vouches for it: the store, by its answer to a call
that was sent after the matter, or all other routers, by messages that were sent after it. Where
nobody vouches yet, the router asks; where nobody can, it refuses.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from tamarack_core.stall_detector import StallDetector

HEARING_MS = 1_900.0
"""Time in milliseconds without a message after which a router is not heard any more: a summary of a
large fleet may take that long through a relay that is replaced."""

LOST_WRITES_MS = 2_200.0
"""Time in milliseconds after a restore of the store for which its answers vouch for nothing: what
was written last before it is lost, and its writers write it again within about two seconds."""

SETTLED_MS = 10_000.0
"""Time in milliseconds after a restore from which everything lost counts as written again: an
operator's tools may take several seconds."""


class Verdict(Enum):
    """What a router may do about a matter."""

    VOUCHED = 1
    ASK = 2
    REFUSE = 3


class Vouching:
    """Who vouches for what one router knows, how old that is, and since when it hears whom.

    Parameters
    ----------
    started_ms
        When the router started; all times are of its own clock, in milliseconds.
    """

    def __init__(self, started_ms: float) -> None:
        self._started_ms = started_ms
        self._listed: frozenset[str] | None = None
        self._heard_ms: dict[str, float] = {}
        self._since_ms: dict[str, float] = {}
        self._stalls = StallDetector()
        self._stalls.observe(started_ms)
        self._asked_ms: dict[str, float] = {}
        self._trusted_ms = float("-inf")
        self._epoch_ms = float("-inf")
        self._settled = False

    # what is heard of other routers

    @property
    def started_ms(self) -> float:
        """When the router started."""
        return self._started_ms

    @property
    def listed(self) -> frozenset[str] | None:
        """The other routers that the store lists; None if the list is not known yet."""
        return self._listed

    def expect(self, listed: Collection[str]) -> None:
        """Replace the other routers that the store lists; this one is not among them."""
        self._listed = frozenset(listed)

    def hear(self, router: str, now_ms: float) -> None:
        """Record a message of another router."""
        if now_ms - self._heard_ms.get(router, float("-inf")) > HEARING_MS:
            self._since_ms[router] = now_ms
        self._heard_ms[router] = now_ms

    def observe(self, now_ms: float) -> None:
        """Note that the router runs; called several times in `STALL_MS`.

        After it stood still, what it reads may have been sent before that: nobody counts as heard.
        """
        if self._stalls.observe(now_ms):
            self._heard_ms.clear()
            self._since_ms.clear()

    def heard_since_ms(self, router: str, now_ms: float) -> float | None:
        """Since when a router is heard without a lapse; None if it is not heard now."""
        if self._stalls.stalled(now_ms):
            return None
        heard_ms = self._heard_ms.get(router, float("-inf"))
        return self._since_ms[router] if now_ms - heard_ms <= HEARING_MS else None

    def missing(self, now_ms: float) -> set[str] | None:
        """Listed routers that are not heard now; None if the list is not known yet."""
        if self._listed is None:
            return None
        return {name for name in self._listed if self.heard_since_ms(name, now_ms) is None}

    def routers_vouch(self, matter_ms: float, now_ms: float) -> bool:
        """Whether every listed router is heard now and was heard after a time.

        What these told up to then is known here. It says nothing of a router that is not listed.
        """
        if self._listed is None or self.missing(now_ms):
            return False
        return all(self._heard_ms[name] > matter_ms for name in self._listed)

    def hears_all_since_ms(self, now_ms: float) -> float | None:
        """Since when all listed routers are heard without a lapse; None if one is not heard now.

        A router that is alone hears all since its start.
        """
        if self._listed is None or self.missing(now_ms):
            return None
        return max((self._since_ms[name] for name in self._listed), default=self._started_ms)

    # what the store says

    def store_answered(self, table: str, asked_ms: float) -> None:
        """Record that a call which was sent at a time has told all changes of a table."""
        self._asked_ms[table] = max(asked_ms, self._asked_ms.get(table, float("-inf")))

    @property
    def epoch_ms(self) -> float:
        """When this router learned of the store's present epoch; minus infinity before."""
        return self._epoch_ms

    def epoch_began(self, now_ms: float, *, seen: bool) -> None:
        """Record the first answer of an epoch of the store.

        Parameters
        ----------
        seen
            Whether this router has seen the restore itself. One that has just started doesn't know
            how long ago it was.
        """
        self._epoch_ms, self._settled = now_ms, False
        self._trusted_ms = now_ms + (LOST_WRITES_MS if seen else SETTLED_MS)

    def settle(self) -> None:
        """Record that the store's present epoch has lasted for `SETTLED_MS`, by another's word."""
        self._settled = True

    def settled(self, now_ms: float) -> bool:
        """Whether everything that the store's last restore lost counts as written again."""
        return self._settled or now_ms >= self._epoch_ms + SETTLED_MS

    def store_trusted(self, asked_ms: float, now_ms: float) -> bool:
        """Whether an answer of the store to a call that was sent at a time tells all of that time.

        A router that has not seen when the epoch began trusts the store once the epoch is settled,
        or once it hears all listed routers, who tell what they know to be newer.
        """
        if self._settled or asked_ms >= self._trusted_ms:
            return True
        early = asked_ms >= self._epoch_ms + LOST_WRITES_MS
        return early and self.hears_all_since_ms(now_ms) is not None

    def store_vouches(self, table: str, matter_ms: float, now_ms: float) -> bool:
        """Whether the store, if trusted, has told all changes of a table up to a time."""
        asked_ms = self._asked_ms.get(table, float("-inf"))
        return asked_ms >= matter_ms and self.store_trusted(asked_ms, now_ms)

    # what follows

    def verdict(
        self, matter_ms: float, now_ms: float, *, until_ms: float, table: str | None = None
    ) -> Verdict:
        """What this router may do about what the fleet did up to a time.

        Parameters
        ----------
        matter_ms
            Time of the matter: what happened later is not meant.
        until_ms
            Time until which answers may still come.
        table
            The table of the store that tells of it; None if only the other routers can.
        """
        if table is None:
            vouched = self.routers_vouch(matter_ms, now_ms)
        else:
            vouched = self.store_vouches(table, matter_ms, now_ms)
        if vouched:
            return Verdict.VOUCHED
        return Verdict.ASK if now_ms < until_ms else Verdict.REFUSE
