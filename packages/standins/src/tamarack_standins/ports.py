"""Ports of a development fleet on loopback."""

from __future__ import annotations

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral port range: any outgoing connection could take an ephemeral port before its
# router has bound it.
PORT_RANGE = (12_000, 32_000)

_allocated: set[int] = set()


class Ports:
    """Allocates consecutive ports, or free ones.

    Parameters
    ----------
    base
        First of the consecutive ports; 0 for free ones.
    """

    def __init__(self, base: int = 0) -> None:
        self._next = base

    def take(self) -> int:
        """The next consecutive port, or one that is free now."""
        return self.take_fixed() or free_port()

    def take_fixed(self) -> int:
        """The next consecutive port; without a base 0, which lets the process choose."""
        if not self._next:
            return 0
        self._next += 1
        return self._next - 1


def free_port() -> int:
    """A port that is free now and was not allocated before."""
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(*PORT_RANGE)
        if port in _allocated:
            continue
        _allocated.add(port)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return port
