"""Whether an endpoint has ended, asked when an answer breaks off in the middle.

Endpoints also reset connections, spoil answers and fall silent, and paths are cut: a broken answer
by itself proves no end. What does: that nobody listens at the address any more, that whatever does
closes a new connection at once, or that the list tells of another life under the same name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

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

CLOSED_MS = 30.0
"""Time within which a new connection that leads to no process is closed, where something between
the router and the endpoint accepts it first. A full endpoint closes new connections, too, but does
not break off what it runs, nor close all that were kept."""

UNPROVED_MS = 5_000.0
"""Time for which broken answers are kept that no end was proved for: an entry lapses after three
missed heartbeats, 3.6 s, or is replaced by the next life's before."""

BURST_MS = 200.0
"""Time before the last broken answer of a life from which on others count as broken by its end."""

KNOWN_MS = 2_000.0
"""Time for which what was found of one life holds for answers that break off later: slow callers'
streams are read to their end first."""

TOGETHER_MS = 50.0
"""Time between the first broken answers of two endpoints within which they ended together. One
router sees the ends of a failure of machines within the same turn of its loop, some 20 ms when
busy."""


class _Lost(NamedTuple):
    """An answer that broke off, to a request sent at `sent_ms`."""

    aboard: Aboard
    at_ms: float
    sent_ms: float


class _Look:
    """What is found of one life of an endpoint after an answer broke off."""

    def __init__(self, endpoint: Endpoint, first_ms: float) -> None:
        self.endpoint = endpoint
        self.first_ms = first_ms
        self.lost: list[_Lost] = []
        self.together = False
        self.refused = False
        self.delisted = False
        self.task: asyncio.Task[bool]

    @property
    def ended(self) -> bool:
        """Whether the endpoint was found to have ended."""
        return self.task.done() and not self.task.cancelled() and self.task.result()

    def follows(self, other: _Look) -> bool:
        """Whether a request was sent here after the other end had cut it: it may have ended both.

        One that ends endpoints within a few milliseconds is through with the next one before
        `TOGETHER_MS` is over, and its ends would count like those of a failure of machines.
        """
        cut = {lost.aboard.fingerprint for lost in other.lost}
        return any(
            lost.aboard.fingerprint in cut and lost.sent_ms >= other.first_ms for lost in self.lost
        )

    @property
    def burst(self) -> list[_Lost]:
        """The answers that broke off last, and shortly before."""
        last_ms = max((lost.at_ms for lost in self.lost), default=0.0)
        return [lost for lost in self.lost if last_ms - lost.at_ms <= BURST_MS]


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
        self._unproved: dict[EndpointLife, _Look] = {}
        state.on_life_over = self._life_over

    async def lost(self, endpoint: Endpoint, aboard: Aboard, sent_ms: float) -> bool:
        """Take in that an answer broke off, and tell whether its endpoint has ended."""
        now_ms = self._state.clock.now_ms
        look = self._looks.get(endpoint.key)
        known_ms = self._state.ended_ms(endpoint.key)
        if known_ms is not None and sent_ms >= known_ms:
            # Something before the endpoint took it, which had ended already and ran nothing.
            return True
        if look is None:
            look = self._begin(endpoint, now_ms)
        elif look.ended:
            self._tell(look, [_Lost(aboard, now_ms, sent_ms)])
            return True
        look.lost.append(_Lost(aboard, now_ms, sent_ms))
        return await asyncio.shield(look.task)

    async def close(self) -> None:
        """Stop looking."""
        tasks = [look.task for look in self._looks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin(self, endpoint: Endpoint, now_ms: float) -> _Look:
        look = self._looks[endpoint.key] = _Look(endpoint, now_ms)
        look.task = asyncio.ensure_future(self._look(look))
        return look

    async def _look(self, look: _Look) -> bool:
        await asyncio.sleep(GATHER_MS / 1000)
        endpoint, loop = look.endpoint, asyncio.get_running_loop()
        if self._pool.lives(endpoint) or not await self._is_gone(look):
            self._looks.pop(endpoint.key, None)
            self._keep_unproved(look)
            return False
        loop.call_later(KNOWN_MS / 1000, self._looks.pop, endpoint.key, None)
        self._pool.drop(endpoint)
        self._mark_together(look)
        self._tell(look, look.lost)
        return True

    async def _is_gone(self, look: _Look) -> bool:
        try:
            connection = await open_connection(look.endpoint.address, LOOK_MS)
        except RefusedError:
            look.refused = True
            return True
        except ConnectError:
            # No answer may mean that the path is cut; with the entry gone as well, the endpoint is.
            return look.delisted
        try:
            async with asyncio.timeout(CLOSED_MS / 1000):
                await connection.closed()
        except TimeoutError:
            self._pool.keep_new(look.endpoint, connection)
            return False
        return True

    def _mark_together(self, look: _Look) -> None:
        for other in list(self._looks.values()):
            near = abs(other.first_ms - look.first_ms) <= TOGETHER_MS
            if other is look or not near or not other.ended or look.follows(other):
                continue
            look.together = True
            if not other.together:
                other.together = True
                self._tell(other, [])

    # ends that are proved later

    def _keep_unproved(self, look: _Look) -> None:
        known = self._unproved.setdefault(look.endpoint.key, look)
        if known is not look:
            known.lost += look.lost
        past_ms = self._state.clock.now_ms - UNPROVED_MS
        for key, old in list(self._unproved.items()):
            # A look takes a while, after which what it was about may be too old as well.
            old.lost = [lost for lost in old.lost if lost.at_ms >= past_ms]
            if not old.lost:
                del self._unproved[key]

    def _life_over(self, key: EndpointLife, replaced: bool) -> None:
        look = self._unproved.pop(key, None)
        now_ms = self._state.clock.now_ms
        if look is None or look.endpoint.draining or look.lost[-1].at_ms < now_ms - UNPROVED_MS:
            return
        if replaced:
            self._tell(look, look.burst)
        else:
            # An entry is taken out, too, of one that leaves and still serves for a while.
            again = self._begin(look.endpoint, look.first_ms)
            again.lost, again.delisted = look.burst, True

    def _tell(self, look: _Look, lost: list[_Lost]) -> None:
        key, aboard = look.endpoint.key, [one.aboard for one in lost]
        self._took(End(key.name, key.life, look.together, aboard, look.refused))
