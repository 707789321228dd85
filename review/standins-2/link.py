"""A link between two processes: a proxy whose connections can be cut without a word."""

from __future__ import annotations

import asyncio
import contextlib


class Link:
    """Forwards connections to a target; while it is cut, bytes stay where they are."""

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._open = asyncio.Event()
        self._open.set()
        self._always = asyncio.Event()
        self._always.set()
        self._marking = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self, host: str, port: int = 0) -> str:
        """Listen; returns the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        name, number = self._server.sockets[0].getsockname()[:2]
        self.address = f"{name}:{number}"
        return self.address

    def mark(self) -> None:
        """From now on, new connections are those that `cut` concerns; earlier ones stay open."""
        self._marking = True

    def cut(self) -> None:
        """Cut the link: nothing passes, and nothing tells of it."""
        self._open.clear()

    def heal(self) -> None:
        """Let bytes pass again."""
        self._open.set()

    def stop(self) -> None:
        """End."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        upstream, gate = None, self._open if self._marking else self._always
        try:
            await gate.wait()
            source, upstream = await asyncio.open_connection(self._host, int(self._port))
            await asyncio.gather(
                self._pump(reader, upstream, gate), self._pump(source, writer, gate)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            for one in (writer, upstream):
                if one is not None:
                    with contextlib.suppress(OSError):
                        one.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, gate: asyncio.Event
    ) -> None:
        while data := await reader.read(65_536):
            await gate.wait()
            writer.write(data)
            await writer.drain()
        await gate.wait()
        writer.close()
