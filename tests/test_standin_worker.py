"""The stand-in of a platform's worker."""

from __future__ import annotations

import asyncio
import socket

import pytest

from tamarack_standins.platform_worker import PlatformWorker

CONNECTIONS = 3


class CrashingWorker(PlatformWorker):
    """Ends at its first connection; those accepted with it have not been served yet."""

    def __init__(self, *, crashes: bool) -> None:
        super().__init__("w1")
        self._crashes = crashes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if not self.connections:
            if self._crashes:
                self.crash()
            else:
                await self.end()
        await super()._serve(reader, writer)


@pytest.mark.parametrize("crashes", [True, False], ids=["crash", "end"])
def test_a_worker_that_ends_closes_connections_that_it_has_just_accepted(crashes: bool) -> None:
    """Guards against a crashed stand-in that answers on a connection and so counts as alive."""

    async def run() -> list[bytes]:
        worker = CrashingWorker(crashes=crashes)
        async with worker:
            host, _, port = worker.address.partition(":")
            # All connections are in the listener's backlog before the loop accepts the first one.
            clients = [socket.create_connection((host, int(port))) for _ in range(CONNECTIONS)]
            try:
                for client in clients:
                    client.setblocking(False)
                loop = asyncio.get_running_loop()
                async with asyncio.timeout(5.0):
                    return [await loop.sock_recv(client, 1) for client in clients]
            finally:
                for client in clients:
                    client.close()

    assert asyncio.run(run()) == [b""] * CONNECTIONS
