"""Applies rows of the store's table of endpoints to the local state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tamarack_core.endpoint_registry import Endpoint
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row
from tamarack_gateway.table_messages import TableChange
from tamarack_gateway.unreadable_rows import RowKind

MAX_WARM_UP_MS = 3_600_000.0
"""Longest plausible warm-up in milliseconds; shorter ones are capped by the service's."""


class EndpointRows:
    """Keeps the registry of endpoints up to date with the store.

    Parameters
    ----------
    read
        Decodes an entry by its key; raises `ValueError`.
    """

    def __init__(self, state: FleetState, read: Callable[[str, bytes], Endpoint]) -> None:
        self._state = state
        self._read_entry = read
        self._expiry: asyncio.TimerHandle | None = None

    def apply(self, change: TableChange) -> None:
        """Apply changed rows, or the whole table."""
        state, now_ms = self._state, self._state.clock.now_ms
        rows = {row.key: row for row in change.rows}
        before = {name: state.registry.find(name) for name, row in rows.items() if row.value}
        if change.whole:
            read = {
                row.key: self._read_endpoint(row) for row in rows.values() if row.value is not None
            }
            found = [endpoint for endpoint in read.values() if endpoint is not None]
            state.registry.replace(found, now_ms, keep_until_ms=change.grace_until_ms)
            for name in [name for name, endpoint in read.items() if endpoint is None]:
                state.registry.drop(name)
        else:
            for row in rows.values():
                self._apply_row(row, now_ms, change.grace_until_ms)
        if change.rows or change.whole:
            state.sync_endpoints()
            self._record_warm_ups(before, from_copy=change.whole and change.catching_up)
            for name in state.registry.without_incarnation:
                state.unreadable.note(RowKind.ENDPOINT, name, 0, "tells no life, as the others do")
        state.endpoints_known = True
        self._schedule_expiry()

    def _record_warm_ups(self, before: dict[str, Endpoint | None], *, from_copy: bool) -> None:
        """Record the warm-ups of changed entries, given the endpoints known before by name.

        Other routers may use what this one finds listed when it starts. An entry from a copy may
        have been written before the endpoint restarted its warm-up.
        """
        state = self._state
        for name, known in before.items():
            endpoint = state.registry.find(name)
            if endpoint is None:
                continue
            if known is None or known.key != endpoint.key:
                state.record_warm_up(endpoint, unused=state.endpoints_known)
            elif known.warm_up_ms != endpoint.warm_up_ms and not from_copy:
                state.record_warm_up(endpoint, unused=False)

    def _schedule_expiry(self) -> None:
        # A timer for the exact time: polling each half second would send work to an endpoint that
        # has left for that much longer.
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        next_ms = self._state.registry.next_expiry_ms
        if next_ms is not None:
            wait_ms = max(0.0, next_ms - self._state.clock.now_ms)
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(wait_ms / 1000, self._expire)

    def _expire(self) -> None:
        expired = self._state.registry.expire(self._state.clock.now_ms)
        self._schedule_expiry()
        self._state.sync_endpoints()
        if expired:
            self._state.log.change("missing endpoints expired", endpoints=expired)

    def _apply_row(self, row: Row, now_ms: float, keep_until_ms: float) -> None:
        registry = self._state.registry
        if row.value is None:
            kept_ms = max(0.0, keep_until_ms - now_ms)
            self._state.log.change("endpoint gone", endpoint=row.key, kept_ms=round(kept_ms))
            self._state.unreadable.forget(RowKind.ENDPOINT, row.key)
            registry.remove(row.key, now_ms, keep_until_ms=keep_until_ms)
            return
        endpoint = self._read_endpoint(row)
        if endpoint is None:
            registry.drop(row.key)
            return
        known = registry.find(endpoint.name)
        registry.put(endpoint, now_ms)
        current = registry.find(endpoint.name) or endpoint
        if known is None or known.draining != current.draining:
            change = "endpoint draining" if current.draining else "endpoint available"
            self._state.log.change(change, endpoint=current.name, address=current.address)

    def _read_endpoint(self, row: Row) -> Endpoint | None:
        unreadable = self._state.unreadable
        try:
            endpoint = self._read_entry(row.key, row.value or b"")
        except ValueError as error:
            unreadable.note(RowKind.ENDPOINT, row.key, row.version, str(error))
            return None
        if not 0 <= endpoint.warm_up_ms <= MAX_WARM_UP_MS:
            reason = f"a warm-up of {endpoint.warm_up_ms:g} ms is out of range"
            unreadable.note(RowKind.ENDPOINT, row.key, row.version, reason)
        elif endpoint.life is not None:
            unreadable.forget(RowKind.ENDPOINT, row.key)
        return endpoint
