"""What outlasts all routers about where streams began: rows in the store.

Each router has a row with the software versions that it has seen. One router of each failure domain
also writes the streams that it has begun or heard of, so that the number of writes does not grow
with the fleet.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Callable

import msgspec

from tamarack_core.json_input import decode_json
from tamarack_core.stream_origins import BegunStreams, Origin, by_origin
from tamarack_gateway.briefing import SETTLED_EPOCH, Briefing
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.origin_feed import OriginFeed
from tamarack_gateway.site import Row
from tamarack_gateway.store_clients import StoreClients
from tamarack_gateway.stream_writer import StreamWrites

STEP_MS = 100.0
START_STEP_MS = 20.0
"""Minimum time between two checks for something to read or write, and time before the first read: a
router that has just started takes no callers before it."""

RETRY_MS = 1_000.0
"""Time after a failed call until the next one."""

STREAMS_GAP_MS = 1_000.0
SEVERAL_GAP_MS = 500.0
"""Minimum time between two writes of streams by one router, and while a service has several
versions. While it has one, most streams go on without their row."""

MAX_STREAMS = 1_500
MAX_NAME_BYTES = 45_000
"""Maximum number of streams in a row, the newest ones, and of the bytes of their names as they
are written; callers choose them. The store takes rows of 64 kB."""


class _Fields(msgspec.Struct):
    """A router's row.

    Attributes
    ----------
    versions
        Software versions by service at which streams may have begun that still go on.
    streams
        Streams that callers may take up: those that this router has begun, and those that it has
        heard of if it writes for others. They are recorded while their service has one version,
        too: the second may come while all routers are down.
    settled
        Epoch of the store, once everything that its beginning has lost counts as written again.
    """

    versions: dict[str, list[str]]
    streams: list[BegunStreams] = []
    settled: int = 0


_decoder = msgspec.json.Decoder(_Fields)


class OriginRecords:
    """Writes this router's row, and reads those of all after a start or a lapse of touch.

    Parameters
    ----------
    writes
        Returns which streams this router writes.
    """

    def __init__(
        self,
        state: FleetState,
        feed: OriginFeed,
        clients: StoreClients,
        table: str,
        briefing: Briefing,
        *,
        writes: Callable[[], StreamWrites],
    ) -> None:
        self._writes = writes
        self._state = state
        self._feed = feed
        self._clients = clients
        self._client = clients.create()
        self._table = table
        self._briefing = briefing
        self._has_read = False
        self._written = _Fields({})
        self._written_ms = float("-inf")
        self._written_epoch = 0
        self._retry_ms = float("-inf")
        self._changed = asyncio.Event()
        state.software_versions.on_change = self.check_soon

    def check_soon(self) -> None:
        """Read or write at once: a version has appeared, or the store may have lost the row."""
        self._changed.set()

    async def run(self) -> None:
        """Read and write until cancelled."""
        state = self._state
        while True:
            await self._next_check()
            in_touch = state.fresh or not self._has_read
            if not (state.endpoints_known and in_touch) or state.clock.now_ms < self._retry_ms:
                continue
            if not (state.software_versions.complete and self._has_read):
                await self._recover()
            elif (row := self._row()) is not None:
                await self._write(row)

    async def _next_check(self) -> None:
        """Wait until there may be something to read or write: at once if a version has appeared."""
        wait_ms = START_STEP_MS
        if self._has_read:
            due_ms = self._streams_due_ms - self._state.clock.now_ms
            complete = self._state.software_versions.complete
            wait_ms = min(max(STEP_MS, due_ms), STREAMS_GAP_MS) if complete else STEP_MS
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self._changed.wait()
        self._changed.clear()

    async def _recover(self) -> None:
        rows = await self._clients.read(self._table)
        if rows is None:
            self._retry_ms = self._state.clock.now_ms + RETRY_MS
            return
        if not (rows or self._has_read):
            # Nothing has run on this store before.
            self._briefing.settle("no router has used the store")
            self._state.allowance.settle()
        self._has_read = True
        read = [self._read_row(row) for row in rows]
        recorded: dict[str, set[str]] = {}
        for fields in filter(None, read):
            if self._clients.epoch and fields.settled == self._clients.epoch:
                self._briefing.settle("recorded in the store")
            for service, versions in fields.versions.items():
                recorded.setdefault(service, set()).update(versions)
            for begun in fields.streams:
                self._feed.receive(begun)
        if None in read:
            # What that router knew is lost; the view completes itself in time.
            self._retry_ms = self._state.clock.now_ms + self._state.longest_stream_ms
            return
        self._state.software_versions.recover(recorded)
        self._state.log.change(
            "software versions recovered",
            versions={service: sorted(versions) for service, versions in recorded.items()},
            rows=len(rows),
        )

    def _read_row(self, row: Row) -> _Fields | None:
        try:
            return decode_json(_decoder, row.value or b"")
        except ValueError as error:
            self._state.log.event(
                "software versions in a row cannot be read", row=row.key, reason=str(error)
            )
            return None

    def _row(self) -> _Fields | None:
        """The row to write now; None if the written one is right or was written a moment ago."""
        versions = self._state.software_versions
        if self._clients.epoch != self._written_epoch:
            # The store may have lost the row.
            self._written = _Fields({})
        recent = {
            service: sorted(versions.recent(service)) for service in sorted(versions.services)
        }
        settled = self._briefing.versions[SETTLED_EPOCH]
        is_due = self._state.clock.now_ms >= self._streams_due_ms
        changed = (recent, settled) != (self._written.versions, self._written.settled)
        if not (changed or is_due):
            return None
        of_others = self._writes() is StreamWrites.ALL
        newest = _newest(self._feed.open_streams(of_others=of_others))
        row = _Fields(recent, by_origin(newest), settled)
        return None if row == self._written else row

    @property
    def _streams_due_ms(self) -> float:
        """Time from which streams may be written again; infinite if others write them."""
        if self._writes() is StreamWrites.NONE:
            return math.inf
        versions = self._state.software_versions
        several = any(map(versions.several, versions.services))
        return self._written_ms + (SEVERAL_GAP_MS if several else STREAMS_GAP_MS)

    async def _write(self, row: _Fields) -> None:
        now_ms, epoch = self._state.clock.now_ms, self._clients.epoch
        value = msgspec.json.encode(row)
        router = self._state.settings.router
        if await self._clients.write(
            self._table, router, value, what="software versions", client=self._client
        ):
            self._written, self._written_ms, self._written_epoch = row, now_ms, epoch
        else:
            self._retry_ms = self._state.clock.now_ms + RETRY_MS


def _newest(streams: list[tuple[str, Origin]]) -> dict[str, Origin]:
    """The newest streams that fit into a row."""
    kept: dict[str, Origin] = {}
    left_bytes = MAX_NAME_BYTES
    for attempt, origin in reversed(streams[-MAX_STREAMS:]):
        left_bytes -= len(msgspec.json.encode(attempt))
        if left_bytes < 0:
            break
        kept[attempt] = origin
    return kept
