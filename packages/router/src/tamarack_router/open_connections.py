"""Limits the open connections of a listener."""

from __future__ import annotations

import contextlib
import resource
import socket
import threading
import time
from typing import Protocol

MIN_AGE_S = 0.25
"""A connection is not closed to make room for this many seconds after it was opened, or after its
last answer: a caller that sends at once would find it closed."""

CLOSING_FRACTION = 0.25
"""Fraction of the limit for connections that have been shut down and are not closed yet."""


class Connection(Protocol):
    """A connection with its socket."""

    socket: socket.socket


class OpenConnections:
    """Counts connections and shuts down the oldest ones to make room for new ones.

    Parameters
    ----------
    limit
        Maximum number of open connections.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._since_s: dict[Connection, float] = {}
        self._closing: set[Connection] = set()
        self._lock = threading.Lock()

    def admit(self, connection: Connection) -> bool:
        """Add a new connection; False if there is no room for it."""
        now_s = time.monotonic()
        with self._lock:
            is_full = len(self._since_s) >= self._limit
            if is_full and not self._shut_down_oldest(now_s):
                return False
            if len(self._since_s) + len(self._closing) >= (1 + CLOSING_FRACTION) * self._limit:
                return False
            self._since_s[connection] = now_s
            return True

    def answered(self, connection: Connection) -> None:
        """Record that a connection waits for its next request."""
        with self._lock:
            if self._since_s.pop(connection, None) is not None:
                # The oldest one comes first.
                self._since_s[connection] = time.monotonic()

    def remove(self, connection: Connection) -> None:
        """Count a connection no more: it is closed, or has another owner."""
        with self._lock:
            self._since_s.pop(connection, None)
            self._closing.discard(connection)

    def _shut_down_oldest(self, now_s: float) -> bool:
        oldest, since_s = next(iter(self._since_s.items()))
        if now_s - since_s < MIN_AGE_S:
            return False
        del self._since_s[oldest]
        self._closing.add(oldest)
        with contextlib.suppress(OSError):
            # Its thread or the selector then finds its end; an answer is still written.
            oldest.socket.shutdown(socket.SHUT_RD)
        return True


def connection_limit(setting: int, descriptor_fraction: float) -> int:
    """Limit of a listener, for which the process must have descriptors.

    Parameters
    ----------
    descriptor_fraction
        Fraction of the process's descriptors that the listener may take.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return setting
    return min(setting, max(1, int(descriptor_fraction * descriptors)))
