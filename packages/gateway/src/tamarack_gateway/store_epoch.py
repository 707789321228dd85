"""Epochs of the store, which begin when it is restored from a copy.

Its versions go back to those of the copy and are given out again, so that they can be compared only
within an epoch. Within this package, versions contain their epoch in the upper bits: those of a
later epoch are higher, also in messages between routers.
"""

from __future__ import annotations

from collections.abc import Callable

from tamarack_core.clock import Clock

VERSION_BITS = 48
"""Bits of the store's own versions; the bits above, up to 63, hold the epoch."""

MAX_EPOCH = 2 ** (63 - VERSION_BITS) - 1

LOST_CHANGES_MS = 10_000.0
"""Milliseconds after a restore for which lost rows may not have been written again: endpoints write
every second or so, an operator's tools may take several."""


class StoreEpoch:
    """The newest epoch that an answer of the store or a message of another router has named.

    Attributes
    ----------
    current
        Number of the epoch; zero before the first answer, or if the store names none.
    restored_ms
        When this router learned that the store was restored; minus infinity if it has not been
        since the router's start.
    on_restore
        Called when the store has been restored.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._known = False
        self.current = 0
        self.restored_ms = float("-inf")
        self.on_restore: Callable[[], None] = _ignore

    @property
    def catching_up(self) -> bool:
        """Whether rows that the restore has lost may not have been written again yet."""
        return self._clock.now_ms < self.restored_ms + LOST_CHANGES_MS

    def observe(self, epoch: int) -> None:
        """Record an epoch; the first one is no restore."""
        if not self._known:
            self._known, self.current = True, epoch
        elif epoch > self.current:
            self.current, self.restored_ms = epoch, self._clock.now_ms
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
    """Default of `StoreEpoch.on_restore`: does nothing."""
