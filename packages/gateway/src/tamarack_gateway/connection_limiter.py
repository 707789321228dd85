"""Limits the number of callers' connections by the router's file descriptors."""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.refusal_report import ConnectionCounts

CALLER_DESCRIPTOR_FRACTION = 0.6
"""Fraction of the file descriptors for callers' connections; the rest is for endpoints, the store
and other routers. A router without free descriptors can neither accept nor connect, and loses
requests that it has read; callers whose connection is rejected at once go to another router."""

NEAR_LIMIT_FRACTION = 0.5
"""Fraction of that limit from which on new connections close after their first answer, and callers
are directed to other routers. Callers retry a refused request on a new connection and keep the old
one open: at 600 requests a second they reach a limit of 2,340 connections in 4 s, and no caller can
connect any more. Connections that were used before stay open, since connecting costs several times
as much as refusing a request."""

EVICTION_BATCH = 32
"""Idle connections that are closed together to make room: finding them among thousands takes a
millisecond, so that one search serves several of the connections accepted in one event-loop
iteration."""

MIN_IDLE_MS = 250.0
"""A connection is not closed to make room for this long after its last answer, or after it was
opened or a request on it begun: a caller that sends at once would find the connection closed."""

RECLAIM_INTERVAL_MS = 100.0
"""Minimum time between two searches for half-read requests that hold memory; each looks at all
connections, and bytes that do not fit may come with every packet."""

LOG_INTERVAL_MS = 1_000.0
"""Minimum time between two log lines about rejected connections; up to 600 a second are
rejected."""


class ConnectionLimiter:
    """Admits, counts and closes callers' connections.

    Parameters
    ----------
    connections
        The set to which each connection adds itself.

    Attributes
    ----------
    closed
        Idle connections that were closed to make room.
    evicted
        Connections of unfinished requests that were closed to make room or to free memory.
    turned_away
        New connections that were closed unread because the limit was reached.
    unanswered
        Connections on which a request arrived after the router had closed its direction.
    """

    def __init__(self, state: FleetState, connections: set[CallerConnection]) -> None:
        self._state = state
        self._connections = connections
        self._freed = 0
        self._accepted = 0
        self._closed_after_answer = 0
        self._reading_ms = 0.0
        self.turned_away = 0
        self.unanswered = 0
        self._logged_ms = self._reclaimed_ms = float("-inf")
        self.closed = self.evicted = 0

    @property
    def limit(self) -> float:
        """Maximum number of callers' connections."""
        return CALLER_DESCRIPTOR_FRACTION * self._state.settings.descriptors

    @property
    def near_limit(self) -> bool:
        """Whether callers should be directed to other routers."""
        return len(self._connections) >= NEAR_LIMIT_FRACTION * self.limit

    @property
    def counts(self) -> ConnectionCounts:
        """Counts of callers' connections since the start."""
        return ConnectionCounts(
            self._accepted, self.turned_away, self._closed_after_answer, self._reading_ms
        )

    def record_read(self, took_ms: float) -> None:
        """Add to the time for which requests were read."""
        self._reading_ms += took_ms

    def record_unanswered(self) -> None:
        """Count a connection on which a request arrived too late."""
        self.unanswered += 1

    def should_close(self) -> bool:
        """Whether a new connection closes after its first answer, for want of room."""
        self._closed_after_answer += self.near_limit
        return self.near_limit

    def admit(self) -> bool:
        """Whether a new connection is accepted; idle connections are closed to make room for it."""
        admitted = self._has_room()
        self._accepted += admitted
        return admitted

    def _has_room(self) -> bool:
        if len(self._connections) < self.limit:
            self._freed = 0
            return True
        if not self._freed:
            self._freed = self._close_idle() or self._evict(self._connections)
        if self._freed:
            self._freed -= 1
            return True
        self._log_rejection()
        return False

    def _close_idle(self) -> int:
        now_ms = self._state.clock.now_ms
        idle = [
            (since_ms, id(connection), connection)
            for connection in self._connections
            if (since_ms := connection.answered_ms) is not None and now_ms - since_ms >= MIN_IDLE_MS
        ]
        oldest = heapq.nsmallest(EVICTION_BATCH, idle)
        for _, _, connection in oldest:
            connection.close_when_idle()
        self.closed += len(oldest)
        return len(oldest)

    def reclaim(self, caller: CallerConnection) -> bool:
        """Free the memory of the oldest half-read requests but this one; False if there are none.

        The alternative is to refuse requests that are being read for as long as others stop short.
        """
        now_ms = self._state.clock.now_ms
        if now_ms - self._reclaimed_ms < RECLAIM_INTERVAL_MS:
            return False
        self._reclaimed_ms = now_ms
        others = (c for c in self._connections if c is not caller and c.half_read_bytes)
        return self._evict(others) > 0

    def _evict(self, connections: Iterable[CallerConnection]) -> int:
        now_ms = self._state.clock.now_ms
        unfinished = [
            (since_ms, id(connection), connection)
            for connection in connections
            if (since_ms := connection.unfinished_ms) is not None
            and now_ms - since_ms >= MIN_IDLE_MS
        ]
        oldest = heapq.nsmallest(EVICTION_BATCH, unfinished)
        # What the kernel holds of a request is not the caller's delay.
        evicted = [connection for _, _, connection in oldest if not connection.has_unread]
        for connection in evicted:
            connection.evict()
        self.evicted += len(evicted)
        return len(evicted)

    def _log_rejection(self) -> None:
        self.turned_away += 1
        now_ms = self._state.clock.now_ms
        if now_ms - self._logged_ms < LOG_INTERVAL_MS:
            return
        self._logged_ms = now_ms
        self._state.log.event(
            "rejected connections of callers",
            connections=len(self._connections),
            busy=sum(connection.busy for connection in self._connections),
            unused=sum(connection.unused for connection in self._connections),
            turned_away=self.turned_away,
            closed=self.closed,
            evicted=self.evicted,
        )
