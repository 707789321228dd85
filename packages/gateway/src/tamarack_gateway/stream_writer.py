"""Which streams a router writes to the store: those of others, its own, or none."""

from __future__ import annotations

from enum import Enum

from tamarack_core.clock import Clock

ACQUAINTED_MS = 2_000.0
"""Time after a router is heard for the first time, or again, until it surely hears this one."""


class StreamWrites(Enum):
    """Streams that a router writes to the store."""

    ALL = "its own and those it has heard of"
    OWN = "its own"
    NONE = "none"


class StreamWriter:
    """Follows which router writes the streams of a failure domain."""

    def __init__(self, router: str, clock: Clock) -> None:
        self._router = router
        self._clock = clock
        self._writer: str | None = None
        self._since_ms = clock.now_ms

    def update(self, writer: str | None) -> StreamWrites:
        """Record the writer as this router sees it, None if it knows none; returns its own part.

        A new writer may not hear this router yet, which writes its own streams until then.
        """
        now_ms = self._clock.now_ms
        if writer != self._writer:
            self._writer, self._since_ms = writer, now_ms
        if writer == self._router:
            return StreamWrites.ALL
        acquainted = writer is not None and now_ms - self._since_ms >= ACQUAINTED_MS
        return StreamWrites.NONE if acquainted else StreamWrites.OWN
