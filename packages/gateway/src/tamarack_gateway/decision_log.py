"""Structured, bounded, non-blocking log of decisions.

A line is one JSON object. Lines are queued in memory and written when the output accepts them. If
its reader stops, lines are dropped and counted; requests are never delayed.
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
"""Maximum number of queued lines; some two seconds of a busy router."""

WRITE_BYTES = 4_096
"""Bytes that a writable output accepts without blocking (PIPE_BUF)."""

LINES_PER_S = 300
"""Maximum lines of one kind in a second, in which a busy router places some 40 requests. Failures
and successes are different kinds, so that neither displaces lines of the other."""

CLOSE_MS = 100.0
"""Time in milliseconds for which an exiting router waits for a slow reader of its log."""

MAX_TEXT_CHARS = 500
"""Maximum length of a fact that is written as text, since JSON cannot hold its value."""

MAX_REASONS = 60
"""Maximum number of reasons counted separately; some include text from endpoints, which is
unbounded."""


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
        Number of decisions by kind and reason, including those whose lines were dropped.
    on_line
        Called when a line is added to an empty queue.
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
        self.on_line: Callable[[], None] = _ignore

    @property
    def waiting(self) -> bool:
        """Whether lines are queued."""
        return bool(self._lines or self._partial)

    def request(self, decision: str, attempt: str, **facts: Any) -> None:
        """Log and count a decision about a request, with the facts it is based on."""
        kind = (decision, str(facts.get("reason", "")))
        if kind not in self.decisions and len(self.decisions) >= MAX_REASONS:
            kind = (decision, "other")
        self.decisions[kind] += 1
        self._line(decision, f"request: {decision}", {"request": attempt, **facts})

    def change(self, sentence: str, **facts: Any) -> None:
        """Log a change of the router's local state."""
        self._line("belief", f"belief: {sentence}", facts)

    def event(self, sentence: str, **facts: Any) -> None:
        """Log a start, stop or reload, or a dependency lost or regained."""
        self._line("event", f"router: {sentence}", facts)

    def flush(self, most_writes: int = 16) -> None:
        """Write as much as the output accepts without blocking."""
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
                # The reader has closed the output, so the lines cannot be delivered.
                self._partial = b""
                self._lines.clear()
                return
            self._partial = block[count:]

    def close(self) -> None:
        """Write the lines that are queued, for at most `CLOSE_MS`."""
        self._report_dropped(self._clock.now_ms)
        until_ms = self._clock.now_ms + CLOSE_MS
        while self.waiting and (left_ms := until_ms - self._clock.now_ms) > 0.0:
            if not self._poll.poll(left_ms):
                return
            self.flush()

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
        # Monotonic clocks differ between instances; wall time orders lines of several routers.
        line = {
            "at_ms": round(now_ms),
            "wall_ms": self._clock.wall_ms,
            "router": self._router,
            "message": message,
            **facts,
        }
        try:
            encoded = self._encoder.encode(line)
        except (ValueError, TypeError, OverflowError, RecursionError):
            # Facts include what others sent; a line must not end what it is about.
            texts = {name: _text(value) for name, value in facts.items()}
            encoded = self._encoder.encode(line | texts)
        self._lines.append(encoded + b"\n")
        self.written += 1


def _text(value: Any) -> str:
    try:
        return ascii(value)[:MAX_TEXT_CHARS]
    except (ValueError, RecursionError):
        # Python writes no integer of thousands of digits.
        return "not printable"


def _ignore() -> None:
    """Default of `DecisionLog.on_line`: does nothing."""
