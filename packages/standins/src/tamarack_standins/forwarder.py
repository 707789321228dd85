"""A TCP forwarder between processes whose traffic a test can block, for a while or for good."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from types import TracebackType

HOST = "127.0.0.1"
READ_BYTES = 65_536
POLL_INTERVAL_S = 0.02
IDENTITY = b"Identity"
ANY_SOURCE = "*"


class _Connection:
    """One forwarded connection, and its opener's name once its first bytes have shown it."""

    def __init__(self) -> None:
        self.source = ""
        self.silent = False
        self.head = b""

    def read_identity(self, data: bytes) -> None:
        """Read the opener's name from the connection's handshake."""
        if self.source or len(self.head) > 1_000:
            return
        self.head += data
        at = self.head.find(IDENTITY)
        length_at = at + len(IDENTITY)
        if at < 0 or len(self.head) < length_at + 4:
            return
        length = int.from_bytes(self.head[length_at : length_at + 4], "big")
        identity = self.head[length_at + 4 : length_at + 4 + length]
        if len(identity) == length:
            self.source = identity.decode("latin-1").partition("~")[0]


class Forwarder:
    """Forwards connections to a target; blocked bytes are delayed, never lost.

    Parameters
    ----------
    target
        `IP:PORT` to forward to.
    """

    def __init__(self, target: str) -> None:
        self._target = target.rpartition(":")
        self._blocked_sources: set[str] = set()
        self._connections: set[_Connection] = set()
        self._loop = asyncio.new_event_loop()
        self._ready = threading.Event()
        self._address = ""
        self._thread = threading.Thread(target=self._run, name="forwarder", daemon=True)

    def __enter__(self) -> Forwarder:
        self._thread.start()
        self._ready.wait()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(2.0)

    @property
    def address(self) -> str:
        """Address to connect to in place of the target's."""
        return self._address

    def cut(self, source: str = ANY_SOURCE) -> None:
        """Block traffic between the target and a source, on open and new connections."""
        self._blocked_sources.add(source)

    def heal(self) -> None:
        """Lift all blocks; connections that were silenced stay blocked."""
        self._blocked_sources.clear()

    def block_open(self) -> None:
        """Block the connections that are open now permanently; new ones work."""
        for connection in list(self._connections):
            connection.silent = True

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(asyncio.start_server(self._serve, HOST, 0))
        port = server.sockets[0].getsockname()[1]
        self._address = f"{HOST}:{port}"
        self._ready.set()
        self._loop.run_forever()
        server.close()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        # Transports that were closed last are released in one more iteration.
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = _Connection()
        self._connections.add(connection)
        host, _, port = self._target
        with contextlib.closing(writer), contextlib.suppress(OSError):
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
            with contextlib.closing(target_writer):
                await asyncio.gather(
                    self._pump(reader, target_writer, connection, from_opener=True),
                    self._pump(target_reader, writer, connection, from_opener=False),
                )
        self._connections.discard(connection)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        connection: _Connection,
        *,
        from_opener: bool,
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if from_opener:
                    connection.read_identity(data)
                while self._is_blocked(connection):
                    await asyncio.sleep(POLL_INTERVAL_S)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    def _is_blocked(self, connection: _Connection) -> bool:
        return (
            connection.silent
            or ANY_SOURCE in self._blocked_sources
            or connection.source in self._blocked_sources
        )
