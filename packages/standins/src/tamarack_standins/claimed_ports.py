"""Ports of one soak, which no other soak on the same machine uses at the same time."""

from __future__ import annotations

import socket
from types import TracebackType

FIRST_PORT = 20_000
RANGES = 5_000
"""First port, and number of ranges of two ports; all lie below those that connections get."""

WORKER_HOSTS = range(100, 250)
"""Loopback addresses of workers; routers have the ones below."""

HOSTS = 200
"""Number of loopback networks over which the ranges are spread."""

METRICS_PORT = 9_464
"""Port that each router serves metrics on at its own address, whatever its range."""


class ClaimedPorts:
    """Claims a range of ports and its network, by binding sockets that nobody connects to.

    Parameters
    ----------
    preferred
        Number of the range that is tried first.

    Attributes
    ----------
    first
        First port of the claimed range.
    """

    def __init__(self, preferred: int) -> None:
        self._preferred = preferred
        self._guards: list[socket.socket] = []
        self.first = 0

    def __enter__(self) -> ClaimedPorts:
        for number in range(self._preferred, self._preferred + RANGES):
            self.first = FIRST_PORT + number % RANGES * 2
            if self._claim(self.first) and self._claim(METRICS_PORT):
                return self
            self._release()
        raise OSError("all ranges of ports are in use")

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._release()

    def _claim(self, port: int) -> bool:
        guard = socket.socket()
        self._guards.append(guard)
        try:
            guard.bind((self.host(1), port))
        except OSError:
            return False
        return True

    def _release(self) -> None:
        for guard in self._guards:
            guard.close()
        self._guards.clear()

    def host(self, number: int) -> str:
        """Loopback address of one member; number 1 is the guard's."""
        return f"127.0.{1 + self.first % HOSTS}.{number}"

    def worker(self, number: int) -> str:
        """Address of a worker as `IP:PORT`; no connection gets the port while it is down."""
        again, place = divmod(number, len(WORKER_HOSTS))
        return f"{self.host(WORKER_HOSTS[place])}:{self.first + again}"
