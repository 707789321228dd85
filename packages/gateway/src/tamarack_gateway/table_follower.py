"""Follows tables of the store, by its own calls or by changes that other routers publish."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_gateway.site import Row
from tamarack_gateway.store_client import HistoryGoneError, StoreClient, StoreError
from tamarack_gateway.store_epoch import StoreEpoch, epoch_of
from tamarack_gateway.table_messages import CopyWanted, PublishedRow, TableChange, TableNews

BACKOFF_MS = (150.0, 300.0, 600.0, 900.0)
"""Pauses after consecutive failed calls; refused calls cost as much as others. With the longest
pause, the store's recovery is still detected within a second."""

MAX_NEWS_BYTES = 131_072
"""Maximum bytes of changed rows in a message of a reader: two rows of the largest size. For larger
changes, listeners call the store. Sending the rows once to each failure domain, with a relay to
distribute them there, costs less than calls to the store: with 8 KiB, each configuration change
made all of 195 routers call it."""

COPY_GAP_MS = 400.0
"""Minimum time between two published copies of a table: one copy serves all that request it."""

SILENCE_WAITS = 2.2
"""Wait times without a message after which a listener calls the store; one lost message is
tolerated."""

LISTEN_WAIT_FRACTION = 0.25
LISTEN_MAX_MS = 1_000.0
"""Interval at which a listener checks that messages still arrive, as a fraction of a call's wait,
and its maximum. A message that shows a gap is handled at once."""

BEHIND_MS = 300.0
"""Time for which a listener may be behind another router's version before it calls the store: the
missing change may still be on its way through another relay."""


class TableFollower:
    """Follows one table of the store.

    Parameters
    ----------
    wait_ms
        How long the store holds a call until something changes.
    pause_ms
        Minimum time between two calls; it limits the call rate while the table changes often.
    on_change
        Called with each change.
    on_status
        Called with a status and a reason when the store becomes unavailable or available again.
    reads
        Returns whether this router calls the store itself.
    publish
        Called with the result of a call, to be published to other routers.
    wanted
        Called when another router should send this one the whole table.
    on_failure
        Called with each failed call.
    epoch
        Epoch of the store; changes of different epochs are never combined.
    """

    RETURN_MS = 2_200.0
    """Time after the store's recovery for which rows that expired in the outage may be missing:
    they return within about two seconds."""

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        table: str,
        *,
        wait_ms: float,
        pause_ms: float,
        on_change: Callable[[TableChange], None],
        on_status: Callable[[str, str], None],
        reads: Callable[[], bool] = lambda: True,
        publish: Callable[[TableNews], None] = lambda news: None,
        wanted: Callable[[CopyWanted], None] = lambda wanted: None,
        on_failure: Callable[[], None] = lambda: None,
        epoch: StoreEpoch | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._table = table
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._on_change = on_change
        self._on_status = on_status
        self._reads = reads
        self._on_result = publish
        self._request_copy = wanted
        self._on_failure = on_failure
        self._epoch = epoch or StoreEpoch(clock)
        self._applied_epoch: int | None = None
        self._call_after: int | None = None
        self._rows: dict[str, Row] = {}
        self._call_sent_ms = float("-inf")
        self._copy_ms = float("-inf")
        self._version: int | None = None
        self._gap_found = False
        self._last_message_ms = float("-inf")
        self._gap_event = asyncio.Event()
        self._changed_version = 0
        self._known_newer = 0
        self._behind_since_ms = float("-inf")
        self._failures = 0
        self._last_call_failed = False
        self._restarting_call = False
        self._recovered_ms = float("-inf")
        self._recovery_known = False
        self._call_task: asyncio.Task[None] | None = None

    @property
    def version(self) -> int | None:
        """Store version up to which all changes are applied; None before the first call."""
        return self._version

    @property
    def changed_version(self) -> int:
        """Version of the newest change that is applied; the store's version rises without one."""
        return self._changed_version

    async def run(self) -> None:
        """Follow the table until cancelled."""
        try:
            while True:
                if self._listening():
                    await self._wait_for_message()
                else:
                    await self._poll_store()
        finally:
            self._client.close()

    def restart_call(self) -> None:
        """Record that the store has recovered, and restart the call in progress.

        The grace period for expired rows starts now, not with this table's next answer, which may
        be delayed by a pause between failed calls. A call that has been waiting for changes since
        before the outage may never be answered, and would only time out seconds later.
        """
        self._recovered_ms = self._clock.now_ms
        self._recovery_known = True
        self._end_call()

    def readers_changed(self) -> None:
        """Check at once whether this router reads the table now."""
        self._gap_event.set()

    def refresh(self) -> None:
        """Call the store now, if this router does, and have it answer at once."""
        if self._reads() and not self._failures:
            self._gap_found = True
            self._end_call()

    def _end_call(self) -> None:
        if self._call_task is not None and not self._call_task.done():
            self._restarting_call = True
            self._call_task.cancel()

    def record_restore(self) -> None:
        """Record that the store was restored, and end a call for changes of a former epoch.

        It may wait until the store's version has passed the one that it names, and would miss all
        changes up to there.
        """
        self._recovered_ms = self._clock.now_ms
        self._recovery_known = True
        if self._is_outdated(self._call_after):
            self._end_call()

    def reapply(self) -> None:
        """Report all known rows once more, as of an unknown time."""
        if self._version is not None:
            until_ms = self._recovered_ms + self.RETURN_MS
            rows = list(self._rows.values())
            self._on_change(TableChange(rows, True, float("-inf"), until_ms))

    def _is_outdated(self, version: int | None) -> bool:
        return version is not None and epoch_of(version) < self._epoch.current

    def receive(self, news: TableNews, stamp_ms: float) -> None:
        """Apply a reader's message; `stamp_ms` is this router's newest time known to the reader."""
        self._last_message_ms = self._clock.now_ms
        if news.whole:
            self._apply_copy(news, stamp_ms)
            return
        if self._version is None:
            return
        if (
            news.after > self._version
            or epoch_of(news.version) != epoch_of(self._version)
            or (news.rows is None and news.version > self._version)
        ):
            # A message was lost, one of the two routers has missed a restore of the store, or the
            # rows were too large for a message: call the store instead.
            self._call_for_gap()
            return
        rows = [
            Row(self._table, row.key, row.value, row.version)
            for row in news.rows or []
            if row.version > self._version
        ]
        self._version = max(self._version, news.version)
        self._apply(rows, False, stamp_ms - news.age_ms)

    def record_version(self, version: int) -> None:
        """Record the version of the newest change that another router knows.

        A listener that stays behind it has missed a change. The next message of a reader would
        show that as well, but may be a whole wait away, and a leaving endpoint would get work for
        that long.
        """
        if self._version is None or version <= self._version or not self._listening():
            return
        now_ms = self._clock.now_ms
        if self._known_newer <= self._version:
            self._known_newer, self._behind_since_ms = version, now_ms
        elif now_ms - self._behind_since_ms >= BEHIND_MS:
            self._call_for_gap()

    def _call_for_gap(self) -> None:
        self._gap_found = True
        self._gap_event.set()

    def copy(self, after: int) -> TableNews | None:
        """Return the whole table for a router at version `after`; None if there is no need."""
        now_ms = self._clock.now_ms
        if self._version is None or self._version <= after or self._gap_found or self._failures:
            return None
        if not self._reads() or now_ms - self._copy_ms < COPY_GAP_MS:
            return None
        self._copy_ms = now_ms
        rows = [PublishedRow(row.key, row.value, row.version) for row in self._rows.values()]
        age_ms = now_ms - self._call_sent_ms
        return TableNews(self._table, after, self._version, age_ms, rows, {}, whole=True)

    def _apply_copy(self, news: TableNews, stamp_ms: float) -> None:
        epoch = epoch_of(news.version)
        if epoch < self._epoch.current:
            return
        self._copy_ms = self._clock.now_ms
        known = self._version
        if known is not None and epoch == epoch_of(known):
            outdated = news.version < known
            if outdated or not self._gap_found:
                return
        self._gap_found = False
        self._version = news.version
        rows = [Row(self._table, row.key, row.value, row.version) for row in news.rows or []]
        self._apply(rows, True, stamp_ms - news.age_ms)

    def _apply(self, rows: list[Row], whole: bool, asked_ms: float) -> None:
        if self._failures and not self._reads():
            # Readers reach the store, so their messages suffice; refused calls cost as much as
            # others. The grace period for rows that expired in an outage starts now.
            self._store_answered()
        if whole:
            self._rows = {}
            self._applied_epoch = epoch_of(self._version or 0)
        for row in rows:
            self._changed_version = max(self._changed_version, row.version)
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        until_ms = self._recovered_ms + self.RETURN_MS
        try:
            self._on_change(TableChange(rows, whole, asked_ms, until_ms, self._epoch.catching_up))
        except Exception:
            # Some rows may not have been applied: the next call reads them all again.
            self._version = None
            raise

    def _listening(self) -> bool:
        if self._version is None or self._gap_found or self._failures or self._reads():
            return False
        return self._clock.now_ms - self._last_message_ms < SILENCE_WAITS * self._wait_ms

    async def _wait_for_message(self) -> None:
        self._gap_event.clear()
        check_ms = min(LISTEN_MAX_MS, self._wait_ms * LISTEN_WAIT_FRACTION)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(check_ms / 1000):
                await self._gap_event.wait()

    async def _poll_store(self) -> None:
        started_ms = self._clock.now_ms
        step = self._call_task = asyncio.ensure_future(self._call_store())
        try:
            await step
        except HistoryGoneError:
            self._version = None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._restarting_call or (task is not None and task.cancelling()):
                step.cancel()
                raise
            self._restarting_call = False
        except StoreError as error:
            await self._store_failed(error)
            return
        past_ms = self._clock.now_ms - started_ms
        if past_ms < self._pause_ms:
            await asyncio.sleep((self._pause_ms - past_ms) / 1000)

    async def _call_store(self) -> None:
        asked_ms = self._clock.now_ms
        after = self._version if not self._is_outdated(self._version) else None
        self._call_after = after
        if after is None:
            page = await self._client.read_all(self._table)
            # Counts as a reader's message: otherwise, routers of a large fleet that start together
            # would all go on calling until the first message arrives.
            self._last_message_ms = self._clock.now_ms
        else:
            # After an outage the store must answer at once: a call that waits for a change would
            # detect the recovery only with that change, and take its time for the recovery's.
            at_once = self._last_call_failed or self._gap_found
            page = await self._client.watch(self._table, after, 0.0 if at_once else self._wait_ms)
        self._last_call_failed = False
        self._store_answered()
        if page.nameless:
            self._on_status("returned rows without a key", f"{page.nameless} rows")
        self._gap_found = False
        self._call_sent_ms = asked_ms
        if self._version is not None and page.version < self._version:
            # Newer changes arrived from other routers in the meantime, so these rows are outdated.
            # If applied, a leaving endpoint would get work again.
            self._apply([], False, asked_ms)
            return
        former = self._applied_epoch
        restored = former is not None and former < epoch_of(page.version)
        self._version = page.version
        self._apply(page.rows, after is None, asked_ms)
        if after is not None:
            self._publish(after, page.version, page.rows, asked_ms)
        elif restored and (copy := self.copy(0)) is not None:
            # Otherwise each listener would have to read the table itself.
            self._on_result(copy)

    def _publish(self, after: int, version: int, rows: list[Row], asked_ms: float) -> None:
        published_rows: list[PublishedRow] | None = [
            PublishedRow(row.key, row.value, row.version) for row in rows
        ]
        if sum(len(row.value or b"") for row in rows) > MAX_NEWS_BYTES:
            published_rows = None
        age_ms = self._clock.now_ms - asked_ms
        self._on_result(TableNews(self._table, after, version, age_ms, published_rows, {}))

    def _store_answered(self) -> None:
        if self._failures:
            self._failures = 0
            if not self._recovery_known:
                self._recovered_ms = self._clock.now_ms
            self._on_status("regained", "")

    async def _store_failed(self, error: StoreError) -> None:
        self._recovery_known = False
        if not self._failures:
            self._on_status("lost", str(error))
        pause_ms = BACKOFF_MS[min(self._failures, len(BACKOFF_MS) - 1)]
        self._failures += 1
        self._last_call_failed = True
        self._on_failure()
        if self._gap_found or self._version is None:
            # The store may reject only this router. Without a copy it would not get a large change
            # until it is admitted again, and would refuse requests that need a fresh one.
            self._request_copy(CopyWanted(self._table, self._version or 0, self._failures))
        await asyncio.sleep(pause_ms / 1000)
