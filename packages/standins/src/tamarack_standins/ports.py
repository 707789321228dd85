"""Ports of a development fleet on loopback."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
# Below the ports that the system gives to outgoing connections: one of those could be taken by
# any connection before its router has bound it.
PORT_RANGE = (12_000, 32_000)

_given: set[int] = set()


class Ports:
    """Gives out ports in a row, or free ones.

    Parameters
    ----------
    base
        First port of the row; 0 for free ones.
    """

    def __init__(self, base: int = 0) -> None:
        self._next = base

    def take(self) -> int:
        """The next port of the row, or one that is free now."""
        return self.take_fixed() or free_port()

    def take_fixed(self) -> int:
        """The next port of the row; 0, which lets the process choose, if there is no row."""
        if not self._next:
            return 0
        self._next += 1
        return self._next - 1


def free_port() -> int:
    """A port that is free now and was not given out before."""
    chance = random.SystemRandom()
    while True:
        port = chance.randrange(*PORT_RANGE)
        if port in _given:
            continue
        _given.add(port)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
