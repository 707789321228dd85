"""Tables of the store that are kept up with, by calls of this router or by what others tell."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_core.wire import message
from tamarack_gateway.site import Row
from tamarack_gateway.store_client import HistoryGoneError, StoreClient, StoreError

BACKOFF_MS = (150.0, 300.0, 600.0, 900.0)
"""Pauses after failed calls in a row; refused calls cost as much as others. The longest still finds
the store again within a second of its return."""

NEWS_BYTES = 131_072
"""Bytes of changed rows that readers pass on: two rows of the largest size. Listeners ask the store
for more than that. A call of the store costs more than the row's bytes to a failure domain, told
once there and passed on within it; with 8 KiB each change of a configuration made every one of 195
routers call."""

COPY_GAP_MS = 400.0
"""Least time between two copies of a table that readers tell to all: one serves all who ask."""

SILENCE_WAITS = 2.2
"""Waits without news after which a listener asks the store itself; one lost message is borne."""

LISTEN_WAITS = 0.25
LISTEN_MAX_MS = 1_000.0
"""Time between two looks at whether news still come, as a part of a call's wait, and the longest;
news that show a gap are acted on at once."""


class TableChange(NamedTuple):
    """What a follower learned.

    Attributes
    ----------
    rows
        All rows of the table if `whole`, else those that changed.
    asked_ms
        When the call was sent; the table was as told then or later.
    lapsed_until_ms
        Time until which rows that are missing may have lapsed in an outage of the store, and may
        come back; past where there was none.
    """

    rows: list[Row]
    whole: bool
    asked_ms: float
    lapsed_until_ms: float


class RowNews(NamedTuple):
    """A row as readers tell it; `value` is None where it was removed."""

    key: str
    value: bytes | None
    version: int


@message(60)
class TableNews(NamedTuple):
    """What a reader learned from one call, told to routers that do not call themselves.

    Attributes
    ----------
    after, version
        The call told all changes between these versions.
    age_ms
        How long before the sending of this message the call was sent.
    rows
        The changed rows; None where they are too large to be told.
    stamps
        The newest time that each router told this reader, by that router's own clock. With it a
        listener knows that this message was sent after that time, however long it was on its way.
    whole
        Whether `rows` are all rows of the table at `version`.
    """

    table: str
    after: int
    version: int
    age_ms: float
    rows: list[RowNews] | None
    stamps: dict[str, float]
    whole: bool = False


@message(61)
class CopyWanted(NamedTuple):
    """Told by a router that has missed changes of a table and that the store turns away.

    Attributes
    ----------
    after
        Version up to which it knows all changes.
    tries
        Calls of the store that have failed in a row; another reader answers each time.
    """

    table: str
    after: int
    tries: int


class TableFollower:
    """Keeps up with one table of the store.

    Parameters
    ----------
    wait_ms
        How long the store holds a call until something changes.
    pause_ms
        Least time between two calls, which bounds their number while much changes.
    took
        Called with all that is learned.
    changed
        Called when the store is lost or found again.
    reads
        Tells whether this router asks the store itself.
    told
        Called with what was learned by a call, for other routers.
    wanted
        Called when other routers should tell this one the whole table.
    """

    RETURN_MS = 2_200.0
    """Time after the store's return for which rows that lapsed in the outage may be missing: they
    are back within about two seconds."""

    def __init__(
        self,
        client: StoreClient,
        clock: Clock,
        table: str,
        *,
        wait_ms: float,
        pause_ms: float,
        took: Callable[[TableChange], None],
        changed: Callable[[str, str], None],
        reads: Callable[[], bool] = lambda: True,
        told: Callable[[TableNews], None] = lambda news: None,
        wanted: Callable[[CopyWanted], None] = lambda wanted: None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._table = table
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._took = took
        self._changed = changed
        self._reads = reads
        self._told = told
        self._wanted = wanted
        self._rows: dict[str, Row] = {}
        self._asked_ms = float("-inf")
        self._copied_ms = float("-inf")
        self._after: int | None = None
        self._behind = False
        self._heard_ms = float("-inf")
        self._news = asyncio.Event()
        self._failures = 0
        self._renewing = False
        self._returned_ms = float("-inf")
        self._return_told = False
        self._step_task: asyncio.Task[None] | None = None

    @property
    def version(self) -> int | None:
        """Version of the store up to which all changes are known; None before the first call."""
        return self._after

    async def run(self) -> None:
        """Follow the table until cancelled."""
        try:
            while True:
                if self._listening():
                    await self._listen()
                else:
                    await self._turn()
        finally:
            self._client.close()

    def renew(self) -> None:
        """Take in that the store is back, and make the call in progress anew.

        The time of grace for rows that lapsed runs from here on, not from this table's own next
        answer, which may be a pause between failed calls later. A call that waits for changes
        since before an outage may never be answered, and would only be given up seconds later.
        """
        self._returned_ms = self._clock.now_ms
        self._return_told = True
        if self._step_task is not None and not self._step_task.done():
            self._renewing = True
            self._step_task.cancel()

    def hear(self, news: TableNews, stamp_ms: float) -> None:
        """Take in what a reader told; `stamp_ms` is this router's own time that it had heard."""
        self._heard_ms = self._clock.now_ms
        if news.whole:
            self._hear_copy(news, stamp_ms)
            return
        if self._after is None:
            return
        if news.after > self._after or (news.rows is None and news.version > self._after):
            # A message was lost, or tells of more than it carries: the store is asked instead.
            self._behind = True
            self._news.set()
            return
        rows = [
            Row(self._table, row.key, row.value, row.version)
            for row in news.rows or []
            if row.version > self._after
        ]
        self._after = max(self._after, news.version)
        self._learn(rows, False, stamp_ms - news.age_ms)

    def copy(self, after: int) -> TableNews | None:
        """The whole table for a router that knows it up to a version; None if there is no need."""
        now_ms = self._clock.now_ms
        if self._after is None or self._after <= after or self._behind or self._failures:
            return None
        if not self._reads() or now_ms - self._copied_ms < COPY_GAP_MS:
            return None
        self._copied_ms = now_ms
        rows = [RowNews(row.key, row.value, row.version) for row in self._rows.values()]
        age_ms = now_ms - self._asked_ms
        return TableNews(self._table, after, self._after, age_ms, rows, {}, whole=True)

    def _hear_copy(self, news: TableNews, stamp_ms: float) -> None:
        self._copied_ms = self._clock.now_ms
        if self._after is not None and (not self._behind or news.version < self._after):
            return
        self._behind = False
        self._after = news.version
        rows = [Row(self._table, row.key, row.value, row.version) for row in news.rows or []]
        self._learn(rows, True, stamp_ms - news.age_ms)

    def _learn(self, rows: list[Row], whole: bool, asked_ms: float) -> None:
        if self._failures and not self._reads():
            # Readers are served: what they tell will do, and calls that are refused cost as much
            # as others. What lapsed in an outage of all has its time of grace from here on.
            self._found()
        if whole:
            self._rows = {}
        for row in rows:
            if row.value is None:
                self._rows.pop(row.key, None)
            else:
                self._rows[row.key] = row
        until_ms = self._returned_ms + self.RETURN_MS
        self._took(TableChange(rows, whole, asked_ms, until_ms))

    def _listening(self) -> bool:
        if self._after is None or self._behind or self._failures or self._reads():
            return False
        return self._clock.now_ms - self._heard_ms < SILENCE_WAITS * self._wait_ms

    async def _listen(self) -> None:
        self._news.clear()
        look_ms = min(LISTEN_MAX_MS, self._wait_ms * LISTEN_WAITS)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(look_ms / 1000):
                await self._news.wait()

    async def _turn(self) -> None:
        started_ms = self._clock.now_ms
        step = self._step_task = asyncio.ensure_future(self._step())
        try:
            await step
        except HistoryGoneError:
            self._after = None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if not self._renewing or (task is not None and task.cancelling()):
                step.cancel()
                raise
            self._renewing = False
        except StoreError as error:
            await self._lost(error)
            return
        past_ms = self._clock.now_ms - started_ms
        if past_ms < self._pause_ms:
            await asyncio.sleep((self._pause_ms - past_ms) / 1000)

    async def _step(self) -> None:
        asked_ms = self._clock.now_ms
        after = self._after
        if after is None:
            page = await self._client.read_all(self._table)
            # As good as news from a reader: routers of a large fleet that start at once would
            # otherwise each go on asking until the first news come.
            self._heard_ms = self._clock.now_ms
        else:
            # After an outage the answer comes at once: a call that waits for a change would tell
            # of the store's return only with that change, and take the one for the other.
            at_once = self._failures or self._behind
            page = await self._client.watch(self._table, after, 0.0 if at_once else self._wait_ms)
        self._found()
        if page.nameless:
            self._changed("told rows without a key", f"{page.nameless} rows")
        self._behind = False
        self._asked_ms = asked_ms
        if self._after is not None and page.version < self._after:
            # Others told of more while the answer was on its way: its rows are known, and older
            # than what is. Taken in, an endpoint that leaves would get work again.
            self._learn([], False, asked_ms)
            return
        self._after = page.version
        self._learn(page.rows, after is None, asked_ms)
        if after is not None:
            self._tell(after, page.version, page.rows, asked_ms)

    def _tell(self, after: int, version: int, rows: list[Row], asked_ms: float) -> None:
        told: list[RowNews] | None = [RowNews(row.key, row.value, row.version) for row in rows]
        if sum(len(row.value or b"") for row in rows) > NEWS_BYTES:
            told = None
        age_ms = self._clock.now_ms - asked_ms
        self._told(TableNews(self._table, after, version, age_ms, told, {}))

    def _found(self) -> None:
        if self._failures:
            self._failures = 0
            if not self._return_told:
                self._returned_ms = self._clock.now_ms
            self._changed("regained", "")

    async def _lost(self, error: StoreError) -> None:
        self._return_told = False
        if not self._failures:
            self._changed("lost", str(error))
        pause_ms = BACKOFF_MS[min(self._failures, len(BACKOFF_MS) - 1)]
        self._failures += 1
        if self._behind or self._after is None:
            # The store may serve others and turn just this router away: it would not hear of a
            # large change until it is let in again, and refuse whatever needs a fresh one.
            self._wanted(CopyWanted(self._table, self._after or 0, self._failures))
        await asyncio.sleep(pause_ms / 1000)
