"""Ends calls that hold a listener's threads by sending slowly."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from typing import NamedTuple

CHECK_EVERY_S = 0.05
SLOW_AFTER_S = 0.3


class _Reading(NamedTuple):
    """A call that is being read."""

    since_s: float
    workspace: str
    sock: socket.socket


class SlowCallers:
    """Watches the calls that threads are reading.

    A socket timeout counts from the last byte, so a caller that sends a byte now and then would
    hold a thread for ever. One would notice listeners without free threads under little load.
    Here the time for a whole call is bounded, and slow calls of one workspace may hold at most
    `alpha` times the free threads (Choudhury and Hahne 1998), so that a workspace with many slow
    callers leaves threads for the others. Calls that arrive at once are never ended, however many.

    Parameters
    ----------
    limit_s
        Longest time for a call to be read, in seconds.
    threads
        Threads of the listener.
    """

    def __init__(self, limit_s: float, threads: int, alpha: float) -> None:
        self._limit_s = limit_s
        self._threads = threads
        self._alpha = alpha
        self._reading: dict[int, _Reading] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()

    def start(self) -> None:
        """Begin to watch."""
        threading.Thread(target=self._run, name="slow-callers", daemon=True).start()

    def stop(self) -> None:
        """Watch no longer."""
        self._stop.set()

    def watch(self, sock: socket.socket) -> None:
        """Begin to watch a call."""
        with self._lock:
            self._reading[id(sock)] = _Reading(time.monotonic(), "", sock)

    def label(self, sock: socket.socket, workspace: str) -> None:
        """Say whose call it is."""
        with self._lock:
            reading = self._reading.get(id(sock))
            if reading is not None:
                self._reading[id(sock)] = reading._replace(workspace=workspace)

    def release(self, sock: socket.socket) -> None:
        """End the watch: the call was read."""
        with self._lock:
            self._reading.pop(id(sock), None)

    def forgive(self, seconds: float) -> None:
        """Take time off every call's age.

        While the process itself got no processor time no caller could be read; without this a
        busy machine would end calls that had arrived long ago.
        """
        with self._lock:
            for key, reading in self._reading.items():
                self._reading[key] = reading._replace(since_s=reading.since_s + seconds)

    def overdue(self, now_s: float) -> list[socket.socket]:
        """Calls to end now; they are watched no longer."""
        with self._lock:
            free = self._threads - len(self._reading)
            allowed = max(1.0, self._alpha * free)
            held: Counter[str] = Counter()
            late = []
            for reading in sorted(self._reading.values(), key=lambda r: r.since_s, reverse=True):
                age_s = now_s - reading.since_s
                if age_s < SLOW_AFTER_S:
                    continue
                held[reading.workspace] += 1
                if age_s >= self._limit_s or held[reading.workspace] > allowed:
                    late.append(reading.sock)
            for sock in late:
                del self._reading[id(sock)]
        return late

    def _run(self) -> None:
        checked_s = time.monotonic()
        while not self._stop.wait(CHECK_EVERY_S):
            now_s = time.monotonic()
            late_s = now_s - checked_s - CHECK_EVERY_S
            checked_s = now_s
            if late_s > CHECK_EVERY_S / 2:
                self.forgive(late_s)
            for sock in self.overdue(now_s):
                try:
                    sock.shutdown(socket.SHUT_RD)
                except OSError:
                    continue
