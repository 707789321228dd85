"""What stand-ins write to their connections beside plain text."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection; what was not sent yet is dropped."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def chunk(data: bytes) -> bytes:
    """A chunk of a body with chunked transfer coding."""
    return b"%x\r\n%s\r\n" % (len(data), data)
