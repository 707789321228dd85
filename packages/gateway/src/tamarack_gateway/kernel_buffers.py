"""The kernel's buffers of a connection."""

from __future__ import annotations

import contextlib
import fcntl
import socket
import struct
import termios
from functools import cache
from typing import Any

EXIT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
"""Requested size of the kernel's send buffer at the exit; the system allows less. What it holds is
still delivered after the process has ended."""


@cache
def largest_send_buffer() -> int:
    """Size that the kernel tells of the largest buffer that it grants at the exit.

    That is twice the requested one: it counts its own needs, too.
    """
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, EXIT_SEND_BUFFER_BYTES)
        return probe.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


def enlarge_send_buffer(sock: Any) -> None:
    """Enlarge a connection's buffer as far as the system allows, unless it is larger already."""
    largest = largest_send_buffer()
    with contextlib.suppress(OSError):
        # Setting a size ends the kernel's own adaptation, which may have grown beyond it.
        if sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF) < largest:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, EXIT_SEND_BUFFER_BYTES)


def unacknowledged_bytes(sock: Any) -> int:
    """Bytes that a connection's kernel has taken and its peer has not acknowledged."""
    return _queued_bytes(sock, termios.TIOCOUTQ)


def unread_bytes(sock: Any) -> int:
    """Bytes that a connection's kernel has received and its process has not read."""
    return _queued_bytes(sock, termios.FIONREAD)


def _queued_bytes(sock: Any, request: int) -> int:
    try:
        reply = fcntl.ioctl(sock.fileno(), request, struct.pack("i", 0))
    except (OSError, ValueError):
        # The socket is closed, or its system does not tell.
        return 0
    (count,) = struct.unpack("i", reply)
    return int(count)
