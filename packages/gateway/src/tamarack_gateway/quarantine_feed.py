"""What a router learns of requests that end endpoints, told to the others and kept in the store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Annotated

import msgspec

from tamarack_core.end_evidence import End, Evidence, QuarantinedRequest
from tamarack_core.json_input import decode_json
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row
from tamarack_gateway.table_follower import TableChange
from tamarack_gateway.unreadable_rows import RowKind

GATHER_MS = 20.0
"""Time from the first news to the message with them: ends of a mass failure come together."""

WRITE_MS = 500.0
"""Time between two looks at verdicts that the store does not list yet."""

OTHERS_WRITE_MS = 3_000.0
"""Time after which others write a verdict that the router whose turn it is has not written: it may
have ended, or the store turns it away."""

FINGERPRINTS_TOLD = 8
"""Fingerprints that a line of the log names at the most."""


MOST_TRIALS = 1_000_000
"""Largest number of trials that a row may tell; routers tell each other of it in 64 bits."""


class _RowFields(msgspec.Struct):
    """A quarantined request's row."""

    workspace: str = ""
    trials: Annotated[int, msgspec.Meta(ge=0, le=MOST_TRIALS)] = 0


_decoder = msgspec.json.Decoder(_RowFields)


class QuarantineFeed:
    """Keeps one router's quarantine in step with the others'.

    Parameters
    ----------
    tell
        Called with news for the other routers.
    writes
        Tells whether it is this router's turn to write the row of a quarantined request.
    write
        Writes a row, or removes it; returns whether that was done.
    """

    def __init__(
        self,
        state: FleetState,
        *,
        tell: Callable[[Evidence], None],
        writes: Callable[[str], bool],
        write: Callable[[str, bytes | None], Awaitable[bool]],
    ) -> None:
        self._state = state
        self._quarantine = state.quarantine
        self._tell = tell
        self._writes = writes
        self._write = write
        self._news = Evidence([], [], [])
        self._told = asyncio.Event()
        self._removals: list[str] = []
        self._verdict = asyncio.Event()
        self._unwritten_ms: dict[str, float] = {}

    # what is learned

    def saw(self, end: End) -> None:
        """Take in an end that this router saw."""
        named = [aboard.fingerprint for aboard in end.aboard]
        self._state.log.change(
            "endpoint ended",
            endpoint=end.endpoint,
            life=end.life,
            together=end.together,
            refused=end.refused,
            running=len(named),
            early=sum(aboard.early for aboard in end.aboard),
            fingerprints=named[:FINGERPRINTS_TOLD],
        )
        self._news.ends.append(end)
        self._take_end(end)

    def answered(self, fingerprint: str) -> None:
        """Take in that a request was answered whole."""
        was_quarantined = self._quarantine.contains(fingerprint)
        if not self._quarantine.answered(fingerprint):
            return
        self._state.log.change(
            "request cleared", fingerprint=fingerprint, was_quarantined=was_quarantined
        )
        if was_quarantined:
            self._removals.append(fingerprint)
            self._verdict.set()
        self._news.cleared.append(fingerprint)
        self._told.set()

    def hear(self, evidence: Evidence) -> None:
        """Take in what another router learned."""
        now_ms = self._state.clock.now_ms
        for end in evidence.ends:
            self._take_end(end)
        self._quarantine.cleared(evidence.cleared)
        for request in evidence.quarantined:
            if self._quarantine.take_in(request, now_ms):
                self._log_quarantined(request, "told by another router")

    def took(self, change: TableChange) -> None:
        """Take in rows of the store."""
        now_ms = self._state.clock.now_ms
        for row in change.rows:
            self._take_row(row, now_ms)
        if change.whole:
            listed = {row.key for row in change.rows if row.value is not None}
            for fingerprint in self._quarantine.keep_stored(listed):
                self._log_released(fingerprint)
        self._state.quarantine_known = True

    async def release(self, fingerprint: str) -> bool:
        """Release a request by an operator's word; returns whether the store has taken it."""
        if not await self._write(fingerprint, None):
            return False
        if self._quarantine.release(fingerprint):
            self._log_released(fingerprint)
        return True

    # tasks

    async def run(self) -> None:
        """Give verdicts when they are due, and tell the others; runs until cancelled."""
        while True:
            await self._wait()
            now_ms = self._state.clock.now_ms
            for request in self._quarantine.settle(now_ms):
                self._log_quarantined(request, "endpoints ended under it")
                self._news.quarantined.append(request)
                self._verdict.set()
            if any(self._news):
                news, self._news = self._news, Evidence([], [], [])
                self._tell(news)

    async def store(self) -> None:
        """Write verdicts to the store until it lists them; runs until cancelled."""
        while True:
            # At once after a verdict: routers that are all killed soon after it would not know.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_MS / 1000):
                    await self._verdict.wait()
            self._verdict.clear()
            await self._store_verdicts()
            await self._remove_rows()

    async def _wait(self) -> None:
        due_ms = self._quarantine.next_verdict_ms
        left_ms = None if due_ms is None else max(1.0, due_ms - self._state.clock.now_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if left_ms is None else left_ms / 1000):
                await self._told.wait()
        if self._told.is_set():
            await asyncio.sleep(GATHER_MS / 1000)
        self._told.clear()

    async def _remove_rows(self) -> None:
        # All routers see an entry yield; only this one has seen the answer.
        yielded, self._quarantine.yielded = self._quarantine.yielded, []
        due = self._removals + [one for one in yielded if self._writes(one)]
        # Taken before the first call: answers go on to come while the store is asked.
        self._removals = []
        for fingerprint in due:
            if not self._quarantine.contains(fingerprint) and not await self._write(
                fingerprint, None
            ):
                self._removals.append(fingerprint)

    async def _store_verdicts(self) -> None:
        now_ms = self._state.clock.now_ms
        unstored = self._quarantine.unstored()
        known = self._unwritten_ms
        self._unwritten_ms = {r.fingerprint: known.get(r.fingerprint, now_ms) for r in unstored}
        for request in unstored:
            waited_ms = now_ms - self._unwritten_ms[request.fingerprint]
            if not self._writes(request.fingerprint) and not self._helps_out(waited_ms):
                continue
            row = _RowFields(request.workspace, request.trials)
            if await self._write(request.fingerprint, msgspec.json.encode(row)):
                self._quarantine.mark_stored(request)

    # inside

    def _helps_out(self, waited_ms: float) -> bool:
        # One router of the fleet in each look, on the mean: in an outage of the store all of 195
        # would else call it twice a second each.
        draw = self._state.random.random()
        return waited_ms >= OTHERS_WRITE_MS and draw * self._state.allowance.routers < 1.0

    def _take_end(self, end: End) -> None:
        self._quarantine.ended(end, self._state.clock.now_ms)
        self._state.put_ended(end.key, refused=end.refused)
        self._told.set()

    def _take_row(self, row: Row, now_ms: float) -> None:
        unreadable = self._state.unreadable
        if row.value is None:
            unreadable.forget(RowKind.QUARANTINE, row.key)
            if self._quarantine.release(row.key):
                self._log_released(row.key)
            return
        try:
            fields = decode_json(_decoder, row.value)
        except ValueError as error:
            unreadable.note(RowKind.QUARANTINE, row.key, row.version, str(error))
            return
        request = QuarantinedRequest(row.key, fields.workspace, fields.trials)
        if self._quarantine.take_in(request, now_ms, stored=True):
            self._log_quarantined(request, "listed in the store")

    def _log_quarantined(self, request: QuarantinedRequest, reason: str) -> None:
        self._state.log.change("request quarantined", reason=reason, **request._asdict())

    def _log_released(self, fingerprint: str) -> None:
        self._state.log.change("request released", fingerprint=fingerprint)
