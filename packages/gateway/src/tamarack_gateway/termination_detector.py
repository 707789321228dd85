"""Detects whether an endpoint has terminated after one of its answers breaks off.

A broken answer alone is no evidence of a termination: a live endpoint may reset a connection, send
a malformed answer or stop sending, and the network path may fail. An endpoint counts as terminated
if its address refuses connections, if a new connection is closed at once, or if another incarnation
is listed under its name.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation
from tamarack_core.termination_evidence import InterruptedRequest, Termination
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import ConnectError, RefusedError, open_connection
from tamarack_gateway.fleet_state import FleetState

CHECK_DELAY_MS = 10.0
"""Delay from the first broken answer to the check of the endpoint: this router's other answers from
it break off too, and are reported in one message."""

CHECK_TIMEOUT_MS = 250.0
"""Timeout of the connection that checks the endpoint; a retry of the request waits for it."""

IMMEDIATE_CLOSE_MS = 30.0
"""A new connection that is closed within this time has no process behind it, where a proxy between
the router and the endpoint accepts it first. A full endpoint closes new connections as well, but
does not break off running requests or close all idle connections."""

UNCONFIRMED_MS = 5_000.0
"""Time for which broken answers are stored while no termination is confirmed: the endpoint's entry
expires after three missed heartbeats, 3.6 s, or the next incarnation's replaces it before."""

BURST_MS = 200.0
"""Answers of an incarnation that broke off within this time before the last one count as broken by
its termination."""

CONFIRMED_MS = 2_000.0
"""Time for which a confirmed termination also applies to answers that break off later: the streams
of slow callers are read to their end first."""

SIMULTANEOUS_MS = 50.0
"""Endpoints whose first broken answers are at most this far apart terminated together. A router
sees the terminations of an instance failure within one iteration of its event loop, some 20 ms
under load."""


class _BrokenAnswer(NamedTuple):
    """An answer that broke off at `at_ms`, to a request sent at `sent_ms`."""

    aboard: InterruptedRequest
    at_ms: float
    sent_ms: float


class _Check:
    """The check of one incarnation of an endpoint after an answer broke off.

    Attributes
    ----------
    first_ms
        Time of the first broken answer.
    lost
        Answers of the incarnation that broke off.
    together
        Whether other endpoints terminated at the same time, as in an instance failure.
    refused
        Whether the endpoint's address refused a connection.
    delisted
        Whether the endpoint's entry was removed from the list.
    """

    def __init__(self, endpoint: Endpoint, first_ms: float) -> None:
        self.endpoint = endpoint
        self.first_ms = first_ms
        self.lost: list[_BrokenAnswer] = []
        self.together = False
        self.refused = False
        self.delisted = False
        self.task: asyncio.Task[bool]

    @property
    def ended(self) -> bool:
        """Whether the check confirmed that the endpoint terminated."""
        task = self.task
        return task.done() and not task.cancelled() and task.exception() is None and task.result()

    def shares_cause_with(self, other: _Check) -> bool:
        """Whether a request cut by the other termination was sent here later: it may cause both.

        A request that crashes endpoints within a few milliseconds crashes the next one before
        `SIMULTANEOUS_MS` is over, and the crashes would count as an instance failure.
        """
        cut = {lost.aboard.fingerprint for lost in other.lost}
        return any(
            lost.aboard.fingerprint in cut and lost.sent_ms >= other.first_ms for lost in self.lost
        )

    @property
    def burst(self) -> list[_BrokenAnswer]:
        """Answers that broke off at most `BURST_MS` before the last one."""
        last_ms = max((lost.at_ms for lost in self.lost), default=0.0)
        return [lost for lost in self.lost if last_ms - lost.at_ms <= BURST_MS]


class TerminationDetector:
    """Detects for one router which endpoints have terminated.

    Parameters
    ----------
    on_termination
        Called with each termination, and again with later findings about it.
    """

    def __init__(
        self,
        state: FleetState,
        pool: ConnectionPool,
        *,
        on_termination: Callable[[Termination], None],
    ) -> None:
        self._state = state
        self._pool = pool
        self._on_termination = on_termination
        self._checks: dict[EndpointIncarnation, _Check] = {}
        self._unconfirmed: dict[EndpointIncarnation, _Check] = {}
        self._watches: dict[EndpointIncarnation, asyncio.Task[None]] = {}
        state.on_incarnation_ended = self._on_incarnation_ended

    async def lost(self, endpoint: Endpoint, aboard: InterruptedRequest, sent_ms: float) -> bool:
        """Record that an answer broke off; returns whether its endpoint has terminated.

        Parameters
        ----------
        aboard
            The request whose answer broke off.
        sent_ms
            Time at which the request was sent to the endpoint.
        """
        now_ms = self._state.clock.now_ms
        check = self._checks.get(endpoint.key)
        known_ms = self._state.terminations.known_ms(endpoint.key)
        if known_ms is not None and sent_ms >= known_ms:
            # A proxy accepted the request after the endpoint had terminated; it never ran.
            return True
        if check is None:
            check = self._begin(endpoint, now_ms)
        elif check.ended:
            self._report(check, [_BrokenAnswer(aboard, now_ms, sent_ms)])
            return True
        check.lost.append(_BrokenAnswer(aboard, now_ms, sent_ms))
        return await asyncio.shield(check.task)

    async def has_ended(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint refuses connections just after an answer of it ended.

        An endpoint that closes a new connection may be full, and is not taken for ended.
        """
        check = self._checks.get(endpoint.key) or self._begin(endpoint, self._state.clock.now_ms)
        return await asyncio.shield(check.task) and check.refused

    async def close(self) -> None:
        """Cancel all checks."""
        tasks = [*(check.task for check in self._checks.values()), *self._watches.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _begin(self, endpoint: Endpoint, now_ms: float) -> _Check:
        check = self._checks[endpoint.key] = _Check(endpoint, now_ms)
        check.task = asyncio.ensure_future(self._run_check(check))
        check.task.add_done_callback(lambda task: self._drop_failed(check, task))
        return check

    def _drop_failed(self, check: _Check, task: asyncio.Task[bool]) -> None:
        # Otherwise, each later broken answer of this incarnation would get the same exception.
        error = None if task.cancelled() else task.exception()
        if error is None:
            return
        if self._checks.get(check.endpoint.key) is check:
            del self._checks[check.endpoint.key]
        context = {"message": "the check of an endpoint failed", "exception": error}
        asyncio.get_running_loop().call_exception_handler(context)

    async def _run_check(self, check: _Check) -> bool:
        await asyncio.sleep(CHECK_DELAY_MS / 1000)
        endpoint, loop = check.endpoint, asyncio.get_running_loop()
        if self._pool.has_open_connection(endpoint) or not await self._has_terminated(check):
            self._checks.pop(endpoint.key, None)
            self._keep_unconfirmed(check)
            return False
        loop.call_later(CONFIRMED_MS / 1000, self._checks.pop, endpoint.key, None)
        self._pool.drop(endpoint)
        self._mark_simultaneous(check)
        self._report(check, check.lost)
        if check.refused and endpoint.key not in self._watches:
            watch = self._watches[endpoint.key] = asyncio.ensure_future(self._watch(endpoint))
            watch.add_done_callback(lambda _: self._watches.pop(endpoint.key, None))
        return True

    async def _watch(self, endpoint: Endpoint) -> None:
        """Look whether an endpoint still refuses connections, and report that, until it is gone."""
        state, key = self._state, endpoint.key
        while state.knows(key):
            left_ms = state.terminations.next_look_ms(key) - state.clock.now_ms
            if left_ms > 0.0:
                # Other routers look as well; their reports delay the next look of this one.
                await asyncio.sleep(left_ms / 1000)
                continue
            try:
                connection = await open_connection(endpoint.address, CHECK_TIMEOUT_MS)
            except RefusedError:
                self._on_termination(Termination(key.name, key.life, False, []))
            except ConnectError:
                return
            else:
                self._pool.add_new(endpoint, connection)
                return

    async def _has_terminated(self, check: _Check) -> bool:
        try:
            connection = await open_connection(check.endpoint.address, CHECK_TIMEOUT_MS)
        except RefusedError:
            check.refused = True
            return True
        except ConnectError:
            # A timeout alone may be a network failure; with the entry removed as well, the endpoint
            # has terminated.
            return check.delisted
        try:
            async with asyncio.timeout(IMMEDIATE_CLOSE_MS / 1000):
                await connection.closed()
        except TimeoutError:
            self._pool.add_new(check.endpoint, connection)
            return False
        return True

    def _mark_simultaneous(self, check: _Check) -> None:
        for other in list(self._checks.values()):
            near = abs(other.first_ms - check.first_ms) <= SIMULTANEOUS_MS
            if other is check or not near or not other.ended or check.shares_cause_with(other):
                continue
            check.together = True
            if not other.together:
                other.together = True
                self._report(other, [])

    # terminations that are confirmed later

    def _keep_unconfirmed(self, check: _Check) -> None:
        known = self._unconfirmed.setdefault(check.endpoint.key, check)
        if known is not check:
            known.lost += check.lost
        past_ms = self._state.clock.now_ms - UNCONFIRMED_MS
        for key, old in list(self._unconfirmed.items()):
            # The check itself takes time, so that its own answers may be too old as well.
            old.lost = [lost for lost in old.lost if lost.at_ms >= past_ms]
            if not old.lost:
                del self._unconfirmed[key]

    def _on_incarnation_ended(self, key: EndpointIncarnation, replaced: bool) -> None:
        check = self._unconfirmed.pop(key, None)
        now_ms = self._state.clock.now_ms
        if (
            check is None
            or check.endpoint.draining
            or check.lost[-1].at_ms < now_ms - UNCONFIRMED_MS
        ):
            return
        if replaced:
            self._report(check, check.burst)
        else:
            # An endpoint that leaves also removes its entry, and still serves for a while.
            recheck = self._begin(check.endpoint, check.first_ms)
            recheck.lost, recheck.delisted = check.burst, True

    def _report(self, check: _Check, lost: list[_BrokenAnswer]) -> None:
        key, aboard = check.endpoint.key, [one.aboard for one in lost]
        self._on_termination(Termination(key.name, key.life, check.together, aboard, check.refused))
