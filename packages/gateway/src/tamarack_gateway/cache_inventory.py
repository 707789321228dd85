"""Queries engines for their cached prefix blocks when a router starts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import BLOCK_REPORT_MIN_TOKENS
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import BrokenAnswerError, ConnectError
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import AnswerHead
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.site import EngineDialect, Inventory

CHECK_INTERVAL_MS = 20.0
"""Interval at which the router checks that the configuration and the endpoints are known."""

SETTLE_MS = 400.0
"""Wait for the first summaries of other routers, which share the queries. Routers of a fleet start
within 300 ms of each other."""

QUERY_TIMEOUT_MS = 1_000.0
"""Timeout of one engine's answer; an engine that does not answer is skipped."""


class CacheInventory:
    """Queries each engine once for the prefix blocks that it has cached.

    A router that starts knows of no cached block, nor do the others if all have stopped together.
    It would send requests to the blocks' preferred engines, which would prefill again what is
    cached elsewhere after a move under load: of the 3.1 million tokens prefilled again in a day,
    1.3 million followed such a stop. Only engines listed at the start are queried; later ones
    start empty.

    Parameters
    ----------
    settles
        Returns whether to wait for summaries of other routers first, as in a large fleet.
    queried
        Returns which of some endpoints this router queries; in a large fleet, one router queries
        each and publishes the answer.
    on_answer
        Called with the head of each engine's answer.
    """

    def __init__(
        self,
        state: FleetState,
        dialect: EngineDialect,
        pool: ConnectionPool,
        outbox: Outbox,
        *,
        settles: Callable[[], bool],
        queried: Callable[[list[str]], list[str]],
        on_answer: Callable[[Endpoint, AnswerHead], None],
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._outbox = outbox
        self._settles = settles
        self._queried = queried
        self._on_answer = on_answer
        self._done = False

    @property
    def done(self) -> bool:
        """Whether all queries are complete or have timed out."""
        return self._done

    async def run(self) -> None:
        """Wait for the endpoints, then query the engines among them."""
        while not self._state.ready:
            await asyncio.sleep(CHECK_INTERVAL_MS / 1000)
        if self._settles():
            await asyncio.sleep(SETTLE_MS / 1000)
        rests = self._state.notices.rests
        listed = {e.name: e for e in rests.without_excluded(self._state.engines())}
        engines = [listed[name] for name in self._queried(list(listed))]
        counts = await asyncio.gather(*(self._query(engine) for engine in engines))
        self._state.log.event("engine caches queried", engines=len(engines), parts=sum(counts))
        self._done = True

    async def _query(self, engine: Endpoint) -> int:
        try:
            async with asyncio.timeout(QUERY_TIMEOUT_MS / 1000):
                body = await self._fetch(engine)
            inventory = self._dialect.read_inventory(body)
        except (TimeoutError, ConnectError, BrokenAnswerError, ValueError) as error:
            reason = str(error) or "no answer"
            self._state.log.event("engine cache query failed", endpoint=engine.name, reason=reason)
            return 0
        model = self._state.model(engine.key)
        if model is None or not _same_incarnation(inventory, engine):
            life = {"life": engine.life, "told": inventory.life}
            self._state.log.event(
                "engine cache of another incarnation ignored", endpoint=engine.name, **life
            )
            return 0
        model.add_reported_blocks(inventory.parts)
        large = [part for part in inventory.parts if part.tokens >= BLOCK_REPORT_MIN_TOKENS]
        self._outbox.placed(engine.name, 0.0, large, engine.life)
        return len(inventory.parts)

    async def _fetch(self, engine: Endpoint) -> bytes:
        connection = await self._pool.take(engine)
        whole = False
        try:
            connection.send(self._dialect.inventory(engine))
            head = await connection.head()
            body = await connection.body()
            whole = True
        finally:
            if not whole:
                connection.abort()
        self._pool.give_back(engine, connection)
        self._on_answer(engine, head)
        if head.status != 200:
            raise BrokenAnswerError(f"status {head.status}")
        return body


def _same_incarnation(inventory: Inventory, engine: Endpoint) -> bool:
    # The engine may have restarted at the same address between its entry and the query, or the
    # answer of the previous incarnation may arrive after the entry of the next.
    return inventory.life is None or engine.life is None or inventory.life == engine.life
