"""Calls to the platform's store, and tables that are followed by waiting for changes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_gateway.endpoint_connection import (
    BrokenAnswerError,
    ConnectError,
    EndpointConnection,
    open_connection,
)
from tamarack_gateway.http_messages import request_bytes
from tamarack_gateway.site import Row, RowsPage, StoreCall, StoreDialect

CONNECT_MS = 700.0
"""Milliseconds for a connection to the store: some hundred times what it takes."""

CALL_MS = 1_500.0
"""Milliseconds for an answer: the store answers in 4 ms, and within a third of a second when it is
slow by the sixtyfold that its operators tell of."""

BACKOFF_MS = (150.0, 300.0, 600.0, 900.0)
"""Pauses after failed calls in a row; refused calls cost as much as others. The longest still finds
the store again within a second of its return."""

HISTORY_GONE = 410


class StoreError(ConnectionError):
    """The store refused a call, or did not answer."""


class HistoryGoneError(StoreError):
    """The changes asked for are no longer kept; the table has to be read anew."""


class StoreClient:
    """One connection to the store, for one task.

    Parameters
    ----------
    address
        Tells the store's address; it may change with the settings.
    """

    def __init__(self, address: Callable[[], str], dialect: StoreDialect, clock: Clock) -> None:
        self._address = address
        self._dialect = dialect
        self._clock = clock
        self._connection: EndpointConnection | None = None
        self.calls = 0

    @property
    def dialect(self) -> StoreDialect:
        """How calls are written."""
        return self._dialect

    async def call(self, call: StoreCall, *, wait_ms: float = 0.0) -> bytes:
        """Make a call and return the body of its answer; raises `StoreError`."""
        self.calls += 1
        try:
            async with asyncio.timeout((CALL_MS + wait_ms) / 1000):
                return await self._ask(call)
        except (TimeoutError, ConnectError, BrokenAnswerError) as error:
            raise StoreError(str(error) or "no answer") from error

    async def read_all(self, table: str) -> RowsPage:
        """Read all rows of a table."""
        rows: list[Row] = []
        start = ""
        while True:
            page = self._page(await self.call(self._dialect.read(table, start)))
            rows.extend(page.rows)
            if not page.more or not page.rows:
                return RowsPage(rows, page.version, False)
            start = page.rows[-1].key + "\0"

    async def watch(self, table: str, after: int, wait_ms: float) -> RowsPage:
        """Wait for changes of a table."""
        call = self._dialect.watch(table, after, int(wait_ms))
        return self._page(await self.call(call, wait_ms=wait_ms))

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _ask(self, call: StoreCall) -> bytes:
        connection = self._connection
        if connection is None or not connection.usable:
            connection = await open_connection(self._address(), CONNECT_MS)
        self._connection = None
        whole = False
        try:
            headers = [(b"host", self._address().encode())]
            if call.body:
                headers.append((b"content-type", b"application/json"))
            connection.send(request_bytes(call.method, call.target, headers, call.body))
            head = await connection.head()
            body = await connection.body()
            whole = True
        finally:
            if not whole:
                connection.abort()
        if connection.finish(self._clock.now_ms):
            self._connection = connection
        if head.status == HISTORY_GONE:
            raise HistoryGoneError("the history asked for is gone")
        if head.status != 200:
            raise StoreError(f"status {head.status}")
        return body

    def _page(self, body: bytes) -> RowsPage:
        try:
            return self._dialect.page(body)
        except ValueError as error:
            raise StoreError(f"not an answer about rows: {error}") from error


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
    """

    RETURN_MS = 2_300.0
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
    ) -> None:
        self._client = client
        self._clock = clock
        self._table = table
        self._wait_ms = wait_ms
        self._pause_ms = pause_ms
        self._took = took
        self._changed = changed
        self._failures = 0
        self._renewing = False
        self._returned_ms = float("-inf")
        self._step_task: asyncio.Task[int] | None = None

    async def run(self) -> None:
        """Follow the table until cancelled."""
        after: int | None = None
        try:
            while True:
                started_ms = self._clock.now_ms
                step = self._step_task = asyncio.ensure_future(self._step(after))
                try:
                    after = await step
                except HistoryGoneError:
                    after = None
                except asyncio.CancelledError:
                    if not self._renewing:
                        step.cancel()
                        raise
                    self._renewing = False
                except StoreError as error:
                    await self._lost(error)
                    continue
                past_ms = self._clock.now_ms - started_ms
                if past_ms < self._pause_ms:
                    await asyncio.sleep((self._pause_ms - past_ms) / 1000)
        finally:
            self._client.close()

    def renew(self) -> None:
        """Make the call in progress anew.

        A call that waits for changes since before an outage may never be answered, and would only
        be given up seconds after the store is back; one that another task has reached tells that.
        """
        if self._step_task is not None and not self._step_task.done():
            self._renewing = True
            self._returned_ms = self._clock.now_ms
            self._step_task.cancel()

    async def _step(self, after: int | None) -> int:
        asked_ms = self._clock.now_ms
        if after is None:
            page = await self._client.read_all(self._table)
        else:
            # After an outage the answer comes at once: a call that waits for a change would tell
            # of the store's return only with that change, and take the one for the other.
            wait_ms = 0.0 if self._failures else self._wait_ms
            page = await self._client.watch(self._table, after, wait_ms)
        self._found()
        until_ms = self._returned_ms + self.RETURN_MS
        self._took(TableChange(page.rows, after is None, asked_ms, until_ms))
        return page.version

    def _found(self) -> None:
        if self._failures:
            self._failures = 0
            self._returned_ms = self._clock.now_ms
            self._changed("regained", "")

    async def _lost(self, error: StoreError) -> None:
        if not self._failures:
            self._changed("lost", str(error))
        pause_ms = BACKOFF_MS[min(self._failures, len(BACKOFF_MS) - 1)]
        self._failures += 1
        await asyncio.sleep(pause_ms / 1000)
