"""The kernel's buffer of what is sent on a connection."""

from __future__ import annotations

import socket

from tamarack_gateway.kernel_buffers import EXIT_SEND_BUFFER_BYTES, enlarge_send_buffer


def size_after(requested: int) -> int:
    """Size that the kernel tells of a buffer of a requested size after it was enlarged."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, requested)
        enlarge_send_buffer(sock)
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)


def test_a_buffer_of_any_size_below_the_largest_is_enlarged() -> None:
    """Guards against an answer that is cut at the exit since its buffer stayed at half the size."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, EXIT_SEND_BUFFER_BYTES)
        largest = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    assert {size_after(largest * part // 16) for part in range(1, 9)} == {largest}
