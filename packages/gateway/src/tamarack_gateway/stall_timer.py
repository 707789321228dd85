"""Tells for how long a connection that has something to move has moved nothing."""

from __future__ import annotations


class StallTimer:
    """Compares what is outstanding on a connection from one check to the next."""

    def __init__(self) -> None:
        self._outstanding: tuple[int, int] | None = None
        self._since_ms = 0.0

    def stalled_ms(self, outstanding: tuple[int, int] | None, now_ms: float) -> float:
        """Time without a change, as far as earlier checks show.

        Parameters
        ----------
        outstanding
            Bytes that the other end has not taken yet, and those that have arrived of what it
            sends; None if neither is in progress.
        """
        if outstanding is None or outstanding != self._outstanding:
            self._outstanding, self._since_ms = outstanding, now_ms
        return now_ms - self._since_ms
