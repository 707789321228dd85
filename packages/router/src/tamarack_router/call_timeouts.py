"""Ends calls that occupy a listener's threads by sending slowly."""

from __future__ import annotations

import socket
import threading
import time
from collections import Counter
from typing import NamedTuple

CHECK_EVERY_S = 0.05
SLOW_AFTER_S = 0.3


class _IncomingCall(NamedTuple):
    """A call that a thread is reading."""

    since_s: float
    workspace: str
    sock: socket.socket


class CallTimeouts:
    """Bounds the time and the threads that incoming calls take.

    A socket timeout restarts with each byte, so a caller that sends a byte now and then would
    occupy a thread forever, and a listener could run out of threads under little load. Here the
    time for a whole call is bounded, and slow calls of one workspace may occupy at most `alpha`
    times the free threads (Choudhury and Hahne 1998), so that a workspace with many slow callers
    leaves threads for the others. Calls that arrive without delay are never ended, however many.

    Parameters
    ----------
    limit_s
        Longest time to read a call, in seconds.
    threads
        Number of threads of the listener.
    alpha
        Factor of the free threads that one workspace's slow calls may occupy.
    """

    def __init__(self, limit_s: float, threads: int, alpha: float) -> None:
        self._limit_s = limit_s
        self._threads = threads
        self._alpha = alpha
        self._incoming: dict[int, _IncomingCall] = {}
        self._lock = threading.Lock()
        self._stop = threading.Event()

    def start(self) -> None:
        """Start the thread that checks the calls."""
        threading.Thread(target=self._run, name="slow-callers", daemon=True).start()

    def stop(self) -> None:
        """Stop checking the calls."""
        self._stop.set()

    def watch(self, sock: socket.socket) -> None:
        """Start the time limit of a call."""
        with self._lock:
            self._incoming[id(sock)] = _IncomingCall(time.monotonic(), "", sock)

    def set_workspace(self, sock: socket.socket, workspace: str) -> None:
        """Record the workspace of a call."""
        with self._lock:
            incoming = self._incoming.get(id(sock))
            if incoming is not None:
                self._incoming[id(sock)] = incoming._replace(workspace=workspace)

    def release(self, sock: socket.socket) -> None:
        """End the time limit of a call that was read."""
        with self._lock:
            self._incoming.pop(id(sock), None)

    def extend_deadlines(self, seconds: float) -> None:
        """Reduce the age of every call.

        No call is read while the process itself gets no CPU time. Without this correction an
        overloaded machine would end calls whose bytes have already arrived.
        """
        with self._lock:
            for key, incoming in self._incoming.items():
                self._incoming[key] = incoming._replace(since_s=incoming.since_s + seconds)

    def overdue(self, now_s: float) -> list[socket.socket]:
        """Remove and return the sockets of calls that must be ended now."""
        with self._lock:
            free = self._threads - len(self._incoming)
            allowed = max(1.0, self._alpha * free)
            held: Counter[str] = Counter()
            expired = []
            for incoming in sorted(self._incoming.values(), key=lambda r: r.since_s, reverse=True):
                age_s = now_s - incoming.since_s
                if age_s < SLOW_AFTER_S:
                    continue
                held[incoming.workspace] += 1
                if age_s >= self._limit_s or held[incoming.workspace] > allowed:
                    expired.append(incoming.sock)
            for sock in expired:
                del self._incoming[id(sock)]
        return expired

    def _run(self) -> None:
        checked_s = time.monotonic()
        while not self._stop.wait(CHECK_EVERY_S):
            now_s = time.monotonic()
            stall_s = now_s - checked_s - CHECK_EVERY_S
            checked_s = now_s
            if stall_s > CHECK_EVERY_S / 2:
                self.extend_deadlines(stall_s)
            for sock in self.overdue(now_s):
                try:
                    sock.shutdown(socket.SHUT_RD)
                except OSError:
                    continue
