"""What outlasts all routers about suspects: one row in the store."""

from __future__ import annotations

import asyncio

import msgspec

from tamarack_core.json_input import decode_json
from tamarack_core.suspect_exchange import SuspectEvidence
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.store_clients import StoreClients

KEY = "suspects"
"""Key of the row; its owner writes it, for all routers have the same evidence."""

START_STEP_MS = 100.0
STEP_MS = 500.0
"""Time between two checks until the row has been read, and from then on for something to write:
each check wakes the event loop."""

RETRY_MS = 1_000.0
"""Time after a failed call until the next one."""

WRITE_GAP_MS = 2_000.0
"""Minimum time between two writes: crashes and the answers that clear suspects may be many."""

MOST_STORED = 256
MAX_ROW_BYTES = 40_000
"""Maximum number of suspects in the row, those with the highest weight, and of its bytes: the store
takes 64 kB at most, encoded."""


class _Fields(msgspec.Struct):
    """The row; ages of suspects are at `wall_ms`, in milliseconds since the Unix epoch."""

    wall_ms: int
    suspects: list[SuspectEvidence]


_decoder = msgspec.json.Decoder(_Fields)


class SuspectRecords:
    """Reads the row after the start, and writes it when the evidence has changed."""

    def __init__(self, state: FleetState, clients: StoreClients, table: str) -> None:
        self._state = state
        self._clients = clients
        self._table = table
        self._read = False
        self._written: tuple[int, int] = (0, 0)
        self._wait_until_ms = float("-inf")

    async def run(self) -> None:
        """Read and write until cancelled."""
        state = self._state
        while True:
            await asyncio.sleep((STEP_MS if self._read else START_STEP_MS) / 1000)
            if not state.fresh or state.clock.now_ms < self._wait_until_ms:
                continue
            if not self._read:
                self._read = await self._recover()
                self._written = self._known
            elif self._known != self._written and state.owns(KEY):
                await self._write()

    @property
    def _known(self) -> tuple[int, int]:
        # A store that comes back from a copy may have lost the row.
        return self._state.quarantine.evidence_changes, self._clients.epoch

    async def _recover(self) -> bool:
        rows = await self._clients.read(self._table)
        now_ms, wall_ms = self._state.clock.now_ms, self._state.clock.wall_ms
        if rows is None:
            self._wait_until_ms = now_ms + RETRY_MS
            return False
        for row in rows:
            try:
                fields = decode_json(_decoder, row.value or b"")
            except ValueError as error:
                self._state.log.event(
                    "suspects in a row cannot be read", row=row.key, reason=str(error)
                )
                continue
            past_ms = max(0, wall_ms - fields.wall_ms)
            told = [one._replace(age_ms=one.age_ms + past_ms) for one in fields.suspects]
            self._state.learn_suspects(told, "the store")
        return True

    async def _write(self) -> None:
        # What the last writer knew, and this router has missed, must stay.
        if not await self._recover():
            return
        known = self._known
        self._wait_until_ms = self._state.clock.now_ms + WRITE_GAP_MS
        if await self._clients.write(self._table, KEY, self._row(), what="suspects"):
            self._written = known

    def _row(self) -> bytes:
        clock = self._state.clock
        suspects = self._state.quarantine.suspects_to_tell(MOST_STORED, clock.now_ms)
        while len(row := msgspec.json.encode(_Fields(clock.wall_ms, suspects))) > MAX_ROW_BYTES:
            suspects = suspects[: len(suspects) // 2]
        return row
