"""Synchronises the quarantine of requests that crash endpoints with other routers and the store."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Sequence
from typing import Annotated

import msgspec

from tamarack_core.json_input import decode_json
from tamarack_core.termination_evidence import (
    Evidence,
    InterruptedRequests,
    InterruptedTraits,
    QuarantinedRequest,
    Termination,
)
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row
from tamarack_gateway.table_messages import TableChange
from tamarack_gateway.unreadable_rows import RowKind

GATHER_MS = 20.0
"""Time for which new evidence is collected before it is sent: terminations of a mass failure come
together."""

WRITE_MS = 500.0
"""Time between two checks for decisions that the store does not list yet."""

TAKEOVER_MS = 3_000.0
"""Time after which other routers write a decision that its owner has not written: the owner may
have terminated, or the store rejects it."""

WARM_UP_CRASH_MS = 1_000.0
"""Time after an endpoint's warm-up in which its crash may still be due to it: it is detected and
reported within half a second."""

MAX_LOGGED_FINGERPRINTS = 8
"""Maximum number of fingerprints in one log line."""


MAX_TRIALS = 1_000_000
"""Largest number of trials accepted in a row; messages between routers hold it in 64 bits."""


class _RowFields(msgspec.Struct):
    """The row of a quarantined request."""

    workspace: str = ""
    trials: Annotated[int, msgspec.Meta(ge=0, le=MAX_TRIALS)] = 0


_decoder = msgspec.json.Decoder(_RowFields)


class QuarantineFeed:
    """Keeps one router's quarantine in sync with the others and the store.

    Parameters
    ----------
    on_evidence
        Called with evidence to publish to the other routers.
    on_requests
        Called before it with further traits of the requests that it names.
    owns_row
        Returns whether this router owns the row of a quarantined request.
    write
        Writes or removes a row; returns whether that succeeded.
    """

    def __init__(
        self,
        state: FleetState,
        *,
        on_evidence: Callable[[Evidence], None],
        owns_row: Callable[[str], bool],
        write: Callable[[str, bytes | None], Awaitable[bool]],
        on_requests: Callable[[InterruptedRequests], None] = lambda requests: None,
    ) -> None:
        self._state = state
        self._quarantine = state.quarantine
        self._on_evidence = on_evidence
        self._on_requests = on_requests
        self._owns_row = owns_row
        self._write_row = write
        self._pending = Evidence([], [], [])
        self._pending_requests: dict[str, InterruptedTraits] = {}
        self._pending_event = asyncio.Event()
        self._removals: list[str] = []
        self._decision_event = asyncio.Event()
        self._unwritten_ms: dict[str, float] = {}

    # observations and updates

    def record_traits(self, fingerprint: str, traits: InterruptedTraits) -> None:
        """Record the traits of a request of this router before its endpoint's crash."""
        self._quarantine.record_requests({fingerprint: traits}, self._state.clock.now_ms)

    def receive_requests(self, message: InterruptedRequests) -> None:
        """Apply the traits of requests of another router."""
        self._quarantine.record_requests(message.requests, self._state.clock.now_ms)

    def record_termination(self, end: Termination) -> None:
        """Record a termination that this router detected, or that an endpoint is still gone."""
        if self._is_known(end):
            self._pending.ends.append(end)
            self._record_end(end)
            return
        fingerprints = [aboard.fingerprint for aboard in end.aboard]
        self._state.log.change(
            "endpoint terminated",
            endpoint=end.endpoint,
            life=end.life,
            together=end.together,
            refused=end.refused,
            running=len(fingerprints),
            early=sum(aboard.early for aboard in end.aboard),
            fingerprints=fingerprints[:MAX_LOGGED_FINGERPRINTS],
        )
        self._pending.ends.append(end)
        for fingerprint in fingerprints:
            if traits := self._quarantine.interrupted(fingerprint):
                self._pending_requests[fingerprint] = traits
        self._record_end(end)

    def answered(self, fingerprint: str, blocks: Sequence[str] = ()) -> None:
        """Record that a request was answered completely, and the traits that this clears."""
        released = self._quarantine.entries_for(fingerprint, blocks)
        cleared = self._quarantine.answered(fingerprint, blocks)
        if not cleared:
            return
        self._state.log.change(
            "request cleared",
            fingerprint=fingerprint,
            cleared=cleared[:MAX_LOGGED_FINGERPRINTS],
            was_quarantined=bool(released),
        )
        if released:
            self._removals += released
            self._decision_event.set()
        self._pending.cleared.extend(cleared)
        self._pending_event.set()

    def receive(self, evidence: Evidence) -> None:
        """Apply evidence from another router."""
        now_ms = self._state.clock.now_ms
        for end in evidence.ends:
            self._record_end(end)
        self._quarantine.cleared(evidence.cleared)
        for request in evidence.quarantined:
            if self._quarantine.add(request, now_ms):
                self._log_quarantined(request, "told by another router")

    def apply_change(self, change: TableChange) -> None:
        """Apply rows of the store."""
        now_ms = self._state.clock.now_ms
        for row in change.rows:
            self._apply_row(row, now_ms)
        if change.whole:
            listed = {row.key for row in change.rows if row.value is not None}
            if change.catching_up:
                self._quarantine.mark_lost(listed)
            for fingerprint in self._quarantine.retain_stored(listed):
                self._log_released(fingerprint)
        self._state.quarantine_known = True

    async def release(self, fingerprint: str) -> bool:
        """Release a request on an operator's command; returns whether the store accepted it."""
        if not await self._write_row(fingerprint, None):
            return False
        if self._quarantine.release(fingerprint):
            self._log_released(fingerprint)
        return True

    # tasks

    async def run(self) -> None:
        """Make due decisions and publish evidence; runs until cancelled."""
        while True:
            await self._wait()
            now_ms = self._state.clock.now_ms
            for request in self._quarantine.decide_due(now_ms):
                self._log_quarantined(request, "endpoints ended under it")
                self._pending.quarantined.append(request)
                self._decision_event.set()
            self.publish()

    def publish(self) -> None:
        """Publish the evidence that was collected."""
        if self._pending_requests:
            requests, self._pending_requests = self._pending_requests, {}
            self._on_requests(InterruptedRequests(requests))
        if any(self._pending):
            news, self._pending = self._pending, Evidence([], [], [])
            self._on_evidence(news)

    async def store(self) -> None:
        """Write decisions to the store until it lists them; runs until cancelled."""
        while True:
            # Written at once: if all routers are killed soon after, the decision would be lost.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(WRITE_MS / 1000):
                    await self._decision_event.wait()
            self._decision_event.clear()
            await self._store_decisions()
            await self._remove_rows()

    async def _wait(self) -> None:
        due_ms = self._quarantine.next_decision_ms
        left_ms = None if due_ms is None else max(1.0, due_ms - self._state.clock.now_ms)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(None if left_ms is None else left_ms / 1000):
                await self._pending_event.wait()
        if self._pending_event.is_set():
            await asyncio.sleep(GATHER_MS / 1000)
        self._pending_event.clear()

    async def _remove_rows(self) -> None:
        # Every router sees an entry evicted, so its owner removes the row; only this router has
        # seen the answers in `_removals`.
        evicted = self._quarantine.take_evicted()
        self._removals += [one for one in evicted if self._owns_row(one)]
        # More answers may arrive during the calls, and an exception may end this task.
        for fingerprint in list(self._removals):
            if self._quarantine.contains(fingerprint) or await self._write_row(fingerprint, None):
                self._removals.remove(fingerprint)

    async def _store_decisions(self) -> None:
        now_ms = self._state.clock.now_ms
        unstored = self._quarantine.unstored()
        since_ms = self._unwritten_ms
        self._unwritten_ms = {r.fingerprint: since_ms.get(r.fingerprint, now_ms) for r in unstored}
        for request in unstored:
            waited_ms = now_ms - self._unwritten_ms[request.fingerprint]
            if not self._owns_row(request.fingerprint) and not self._takes_over(waited_ms):
                continue
            row = _RowFields(request.workspace, request.trials)
            if await self._write_row(request.fingerprint, msgspec.json.encode(row)):
                self._quarantine.mark_stored(request)

    # helpers

    def _takes_over(self, waited_ms: float) -> bool:
        # On average one router of the fleet in each check: in an outage of the store, all of 195
        # would otherwise call it twice a second each.
        draw = self._state.random.random()
        return waited_ms >= TAKEOVER_MS and draw * self._state.allowance.routers < 1.0

    def _is_known(self, end: Termination) -> bool:
        known = self._state.terminations.known_ms(end.key) is not None
        return known and not end.aboard and not end.together

    def _record_end(self, end: Termination) -> None:
        if self._is_known(end):
            self._state.terminations.record(end.key, refused=end.refused)
            self._pending_event.set()
            return
        now_ms = self._state.clock.now_ms
        if self._state.warm_ups.warmed_within(end.key, WARM_UP_CRASH_MS, now_ms):
            # It may have crashed because it got too many requests, whichever they were. Those that
            # were isolated had been at crashes before.
            isolated = [r for r in end.aboard if self._quarantine.was_isolated(r.fingerprint)]
            end = end._replace(aboard=isolated)
        self._quarantine.ended(end, self._state.clock.now_ms)
        self._state.terminations.record(end.key, refused=end.refused)
        self._pending_event.set()

    def _apply_row(self, row: Row, now_ms: float) -> None:
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
        if self._quarantine.add(request, now_ms, stored=True):
            self._log_quarantined(request, "listed in the store")

    def _log_quarantined(self, request: QuarantinedRequest, reason: str) -> None:
        self._state.log.change("request quarantined", reason=reason, **request._asdict())

    def _log_released(self, fingerprint: str) -> None:
        self._state.log.change("request released", fingerprint=fingerprint)
