"""Structured logs of decisions, bounded and never waited for.

A line is one JSON object. Lines wait in memory and go out when the output takes them; a reader
that stops reading costs lines, which are counted, and never the path of a request.
"""

from __future__ import annotations

import os
import select
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

import msgspec

from tamarack_core.clock import Clock

QUEUE_LINES = 2_000
"""Lines that wait for the output; some two seconds of a busy router."""

WRITE_BYTES = 4_096
"""Bytes that an output that polls as writable takes without blocking (PIPE_BUF)."""

LINES_PER_S = 300
"""Lines of one kind in a second: a busy router places some 40 requests in it. What fails is of
another kind than what goes well, so that much of one never costs the other its lines."""


MOST_REASONS = 60
"""Reasons that are counted apart; some hold an endpoint's own words, of which there is no end."""


class DecisionLog:
    """Writes decisions to a file descriptor.

    Parameters
    ----------
    router
        Name of the router, part of each line.
    output
        File descriptor, standard output by default.

    Attributes
    ----------
    decisions
        How often each decision was taken, by its reason; dropped lines are counted, too.
    on_line
        Called when the first line comes to wait for the output.
    """

    def __init__(self, router: str, clock: Clock, *, output: int = 1) -> None:
        self._router = router
        self._clock = clock
        self._output = output
        self._poll = select.poll()
        self._poll.register(output, select.POLLOUT)
        self._lines: deque[bytes] = deque()
        self._partial = b""
        self._second = 0
        self._counts: Counter[str] = Counter()
        self._encoder = msgspec.json.Encoder()
        self.dropped: Counter[str] = Counter()
        self.decisions: Counter[tuple[str, str]] = Counter()
        self.written = 0
        self.on_line: Callable[[], None] = _nobody

    @property
    def waiting(self) -> bool:
        """Whether lines wait for the output."""
        return bool(self._lines or self._partial)

    def request(self, decision: str, attempt: str, **facts: Any) -> None:
        """Log and count a decision about a request, with what it was decided by."""
        kind = (decision, str(facts.get("reason", "")))
        if kind not in self.decisions and len(self.decisions) >= MOST_REASONS:
            kind = (decision, "other")
        self.decisions[kind] += 1
        self._line(decision, f"request: {decision}", {"request": attempt, **facts})

    def change(self, belief: str, **facts: Any) -> None:
        """Log a change of what the router believes."""
        self._line("belief", f"belief: {belief}", facts)

    def event(self, sentence: str, **facts: Any) -> None:
        """Log a start, stop, reload, or a dependency lost or regained."""
        self._line("event", f"router: {sentence}", facts)

    def flush(self, most_writes: int = 16) -> None:
        """Write what the output takes without waiting."""
        for _ in range(most_writes):
            if not self.waiting or not self._poll.poll(0):
                return
            block = self._partial
            while self._lines and len(block) + len(self._lines[0]) <= WRITE_BYTES:
                block += self._lines.popleft()
            if not block:
                block = self._lines.popleft()
            try:
                count = os.write(self._output, block[:WRITE_BYTES])
            except OSError:
                # The reader is gone; there is nobody left to tell.
                self._partial = b""
                self._lines.clear()
                return
            self._partial = block[count:]

    def _line(self, kind: str, message: str, facts: dict[str, Any]) -> None:
        now_ms = self._clock.now_ms
        second = int(now_ms // 1000)
        if second != self._second:
            self._second = second
            self._report_dropped(now_ms)
            self._counts.clear()
        self._counts[kind] += 1
        if self._counts[kind] > LINES_PER_S or len(self._lines) >= QUEUE_LINES:
            self.dropped[kind] += 1
            return
        self._append(now_ms, message, facts)

    def _report_dropped(self, now_ms: float) -> None:
        if self.dropped and len(self._lines) < QUEUE_LINES:
            self._append(now_ms, "log: lines were dropped", dict(self.dropped))
            self.dropped.clear()

    def _append(self, now_ms: float, message: str, facts: dict[str, Any]) -> None:
        if not self.waiting:
            self.on_line()
        # Steady clocks differ between instances; lines of several are put in order by time of day.
        line = {
            "at_ms": round(now_ms),
            "wall_ms": self._clock.wall_ms,
            "router": self._router,
            "message": message,
            **facts,
        }
        self._lines.append(self._encoder.encode(line) + b"\n")
        self.written += 1


def _nobody() -> None:
    """Stands where nobody waits for lines."""
