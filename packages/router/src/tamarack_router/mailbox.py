"""A message queue whose reader can wait on a file descriptor."""

from __future__ import annotations

import contextlib
import queue
import socket
from types import TracebackType
from typing import Any


class Mailbox:
    """Queue of messages to one task; any thread may put messages in.

    The reader selects on `fileno()` together with its own sockets and calls `drain`.
    """

    def __init__(self) -> None:
        self._queue: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)
        self._signalled = False

    def __enter__(self) -> Mailbox:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._reader.close()
        self._writer.close()

    def fileno(self) -> int:
        """Return a descriptor that is readable while messages are queued."""
        return self._reader.fileno()

    def put(self, message: Any) -> None:
        """Add a message; several messages cause a single wake-up."""
        self._queue.put(message)
        if self._signalled:
            return
        self._signalled = True
        with contextlib.suppress(OSError):
            self._writer.send(b"\0")

    def drain(self) -> list[Any]:
        """Remove and return all queued messages."""
        with contextlib.suppress(BlockingIOError):
            self._reader.recv(4096)
        # Cleared before the queue is read, so that a message put meanwhile signals again.
        self._signalled = False
        messages = []
        while True:
            try:
                messages.append(self._queue.get_nowait())
            except queue.Empty:
                return messages
