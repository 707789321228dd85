"""Reads what a caller still sends after its answer, so that the answer can be read."""

from __future__ import annotations

import contextlib
import socket

# What a line of 50 Mbit/s carries in the 10 s that a call may take to be sent by default; a longer
# rest is worth neither the thread nor the processor time.
DRAIN_BYTES = 64_000_000
PART_BYTES = 65_536


def drain(sock: socket.socket) -> None:
    """Say that no more answer comes, and throw away a bounded rest of the request.

    Closed with a part of the request unread, the system resets the connection and throws the
    answer away: the caller sees a broken pipe in place of its refusal, and sends the request to
    other routers. The time is bounded by `SlowCallers`, which watches the call until it is over.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        left = DRAIN_BYTES
        while left > 0 and (data := sock.recv(PART_BYTES)):
            left -= len(data)
