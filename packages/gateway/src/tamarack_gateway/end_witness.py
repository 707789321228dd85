"""Whether an endpoint has ended, asked when an answer breaks off in the middle.

Endpoints also reset connections, spoil answers and fall silent, and paths are cut: a broken answer
by itself proves no end. That nobody listens at the address any more does.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarack_core.end_evidence import Aboard, End
from tamarack_core.endpoint_book import Endpoint, EndpointLife
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import ConnectError, RefusedError, open_connection
from tamarack_gateway.fleet_state import FleetState

GATHER_MS = 10.0
"""Time from the first answer that breaks off to the look at the endpoint: the others that it had
from this router break off with it, and are told of in one message."""

LOOK_MS = 250.0
"""Longest time for the connection that tells; a caller's repeat waits for it."""

KNOWN_MS = 2_000.0
"""Time for which what was found of one life holds for answers that break off later: slow callers'
streams are read to their end first."""

TOGETHER_MS = 50.0
"""Time between the first broken answers of two endpoints within which they ended together. One
router sees the ends of a failure of machines within the same turn of its loop, some 20 ms when
busy; a request that ends one endpoint and then the next takes 50 ms at the least."""


class _Look:
    """What is found of one life of an endpoint after an answer broke off."""

    def __init__(self, first_ms: float) -> None:
        self.first_ms = first_ms
        self.aboard: dict[str, Aboard] = {}
        self.together = False
        self.task: asyncio.Task[bool]


class EndWitness:
    """Finds out for one router which endpoints have ended.

    Parameters
    ----------
    took
        Called with each end, and again with what is learned of it later.
    """

    def __init__(
        self, state: FleetState, pool: ConnectionPool, *, took: Callable[[End], None]
    ) -> None:
        self._state = state
        self._pool = pool
        self._took = took
        self._looks: dict[EndpointLife, _Look] = {}

    async def lost(self, endpoint: Endpoint, aboard: Aboard) -> bool:
        """Take in that an answer broke off, and tell whether its endpoint has ended."""
        now_ms = self._state.clock.now_ms
        look = self._looks.get(endpoint.key)
        if look is None:
            look = self._looks[endpoint.key] = _Look(now_ms)
            look.task = asyncio.ensure_future(self._look(endpoint, look))
        look.aboard[aboard.fingerprint] = aboard
        if look.task.done() and look.task.result():
            self._tell(endpoint.key, look, [aboard])
            return True
        return await asyncio.shield(look.task)

    async def close(self) -> None:
        """Stop looking."""
        tasks = [look.task for look in self._looks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _look(self, endpoint: Endpoint, look: _Look) -> bool:
        await asyncio.sleep(GATHER_MS / 1000)
        ended = not self._pool.lives(endpoint) and await self._refuses(endpoint)
        key, loop = endpoint.key, asyncio.get_running_loop()
        if not ended:
            self._looks.pop(key, None)
            return False
        loop.call_later(KNOWN_MS / 1000, self._looks.pop, key, None)
        self._pool.drop(endpoint)
        self._mark_together(key, look)
        self._tell(key, look, list(look.aboard.values()))
        return True

    async def _refuses(self, endpoint: Endpoint) -> bool:
        try:
            connection = await open_connection(endpoint.address, LOOK_MS)
        except RefusedError:
            return True
        except ConnectError:
            return False
        self._pool.keep_new(endpoint, connection)
        return False

    def _mark_together(self, key: EndpointLife, look: _Look) -> None:
        for other_key, other in list(self._looks.items()):
            near = abs(other.first_ms - look.first_ms) <= TOGETHER_MS
            if other is look or not near or not (other.task.done() and other.task.result()):
                continue
            look.together = True
            if not other.together:
                other.together = True
                self._tell(other_key, other, [])

    def _tell(self, key: EndpointLife, look: _Look, aboard: list[Aboard]) -> None:
        self._took(End(key.name, key.life, look.together, aboard))
