"""A loopback TCP proxy that delays, resets or blocks the traffic that it forwards."""

from __future__ import annotations

import asyncio
import contextlib
from types import TracebackType

from tamarack_standins.wire import reset

READ_BYTES = 65_536
POLL_INTERVAL_S = 0.02


class _Pair:
    """The two sides of one forwarded connection."""

    def __init__(self, client: asyncio.StreamWriter, upstream: asyncio.StreamWriter) -> None:
        self.client = client
        self.upstream = upstream
        self.silent = False


class FaultProxy:
    """Forwards connections to a target, on the event loop that it was started on.

    Parameters
    ----------
    target
        `IP:PORT` to forward to.

    Attributes
    ----------
    address
        Where to connect in place of the target.
    delay_s
        Delay added to each chunk, in seconds.
    block_to_target, block_from_target
        Whether traffic to the target, or from it, is blocked; blocked bytes are delivered after
        `heal`.
    """

    def __init__(self, target: str) -> None:
        self._host, _, self._port = target.rpartition(":")
        self._pairs: set[_Pair] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self.address = ""
        self.delay_s = 0.0
        self.block_to_target = False
        self.block_from_target = False

    async def __aenter__(self) -> FaultProxy:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def block_open(self) -> None:
        """Block the connections that are open now permanently; new ones work."""
        for pair in self._pairs:
            pair.silent = True

    def reset_open(self) -> None:
        """Reset the connections that are open now, at both ends."""
        for pair in self._pairs:
            reset(pair.client)
            reset(pair.upstream)

    def heal(self) -> None:
        """Remove the delay and the cuts; connections that were silenced stay blocked."""
        self.delay_s, self.block_to_target, self.block_from_target = 0.0, False, False

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                self._host, int(self._port)
            )
        except OSError:
            reset(writer)
            return
        pair = _Pair(writer, upstream_writer)
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._pump(reader, upstream_writer, pair, to_target=True),
                self._pump(upstream_reader, writer, pair, to_target=False),
            )
        finally:
            self._pairs.discard(pair)
            writer.close()
            upstream_writer.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: _Pair,
        *,
        to_target: bool,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                while pair.silent or (
                    self.block_to_target if to_target else self.block_from_target
                ):
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            # A reset is told as one: the end of an answer without a length would look whole.
            reset(writer)
        with contextlib.suppress(OSError):
            writer.close()
