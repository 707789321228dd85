"""Epochs of the store, which begin when it is restored from a copy.

Its versions go back to those of the copy and are given out again, so that they can be compared only
within an epoch. Within this package, versions contain their epoch in the upper bits: those of a
later epoch are higher, also in messages between routers.
"""

from __future__ import annotations

from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_core.vouching import SETTLED_MS, Vouching

VERSION_BITS = 48
"""Bits of the store's own versions; the bits above, up to 63, hold the epoch."""

MAX_EPOCH = 2 ** (63 - VERSION_BITS) - 1

LOST_CHANGES_MS = SETTLED_MS
"""Milliseconds after a restore for which lost rows may not have been written again: endpoints write
every second or so, an operator's tools may take several."""


class StoreEpoch:
    """The newest epoch that an answer of the store or a message of another router has named.

    The first one that a router sees may have begun just before its start. It counts as recent until
    somebody vouches that it isn't.

    Parameters
    ----------
    vouching
        Told when an epoch begins; without it the first one counts as an old one.

    Attributes
    ----------
    current
        Number of the epoch; zero before the first answer, or if the store names none.
    on_begin
        Called when the first epoch is known.
    on_restore
        Called when the store has been restored.
    """

    def __init__(self, clock: Clock, vouching: Vouching | None = None) -> None:
        self._clock = clock
        self._vouching = vouching or Vouching(clock.now_ms)
        self._first_counts = vouching is not None
        self._known = False
        self.current = 0
        self.on_begin: Callable[[], None] = _ignore
        self.on_restore: Callable[[], None] = _ignore

    @property
    def known(self) -> bool:
        """Whether the store has named an epoch."""
        return self._known

    @property
    def catching_up(self) -> bool:
        """Whether rows that a restore has lost may not have been written again yet."""
        return self._known and not self._vouching.settled(self._clock.now_ms)

    def observe(self, epoch: int) -> None:
        """Record an epoch; this router has not seen the restore before the first one."""
        now_ms = self._clock.now_ms
        if not self._known:
            self._known, self.current = True, epoch
            self._vouching.epoch_began(now_ms, seen=False)
            if not (self._first_counts and epoch):
                # No restore comes before epoch zero.
                self._vouching.settle()
            self.on_begin()
        elif epoch > self.current:
            self.current = epoch
            self._vouching.epoch_began(now_ms, seen=True)
            self.on_restore()


def with_epoch(epoch: int, version: int) -> int:
    """A version of the store as it is compared here; raises `ValueError` if it is too large."""
    if epoch and version >= 1 << VERSION_BITS:
        raise ValueError(f"version {version} is too large")
    return (epoch << VERSION_BITS) + version


def epoch_of(version: int) -> int:
    """Epoch of a version."""
    return version >> VERSION_BITS


def without_epoch(version: int) -> int:
    """A version as the store itself counts."""
    return version & ((1 << VERSION_BITS) - 1)


def _ignore() -> None:
    """Default of the callbacks of `StoreEpoch`: does nothing."""
