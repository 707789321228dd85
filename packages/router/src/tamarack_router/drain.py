"""Drains a request's unread rest after the response, so that the caller can read it."""

from __future__ import annotations

import contextlib
import socket

# What a 25 Mbit/s line carries in the default time limit of 10 s for a call. Reading a longer rest
# is not worth the thread and the CPU time.
DRAIN_BYTES = 32_000_000
PART_BYTES = 65_536


def drain(sock: socket.socket) -> None:
    """Close the sending side, then read and discard a bounded rest of the request.

    If a socket is closed with unread data, the operating system resets the connection and discards
    the response: the caller sees a broken pipe instead of its refusal, and sends the request to
    other routers. `CallTimeouts` bounds the time, as it watches the call until it is over.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
        left = DRAIN_BYTES
        while left > 0 and (data := sock.recv(PART_BYTES)):
            left -= len(data)
