"""Client of the platform's store."""

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
from tamarack_gateway.store_epoch import (
    MAX_EPOCH,
    StoreEpoch,
    epoch_of,
    with_epoch,
    without_epoch,
)

CONNECT_MS = 700.0
"""Timeout of a connection to the store: some hundred times the usual duration."""

CALL_MS = 1_500.0
"""Timeout of an answer: the store answers in 4 ms, and within a third of a second when it is sixty
times slower, as its operators report."""

MAX_ROWS = 200_000
"""Maximum rows of a table that is read whole; a fleet of 3,000 endpoints has some 10,000."""

HISTORY_GONE = 410


class StoreError(ConnectionError):
    """The store refused a call, or did not answer."""


class HistoryGoneError(StoreError):
    """The requested changes are no longer available; the whole table must be read again."""


class _Answer(NamedTuple):
    """Body of an answer, and the epoch of the versions in it."""

    body: bytes
    epoch: int


class StoreClient:
    """One connection to the store, for one task.

    Parameters
    ----------
    address
        Returns the store's address, which may change with the settings.
    epoch
        Updated with the epoch that each answer names.
    """

    def __init__(
        self,
        address: Callable[[], str],
        dialect: StoreDialect,
        clock: Clock,
        epoch: StoreEpoch,
    ) -> None:
        self._address = address
        self._dialect = dialect
        self._clock = clock
        self._epoch = epoch
        self._connection: EndpointConnection | None = None
        self.calls = 0

    async def call(self, call: StoreCall, *, wait_ms: float = 0.0) -> bytes:
        """Call the store and return the body of its answer; raises `StoreError`."""
        return (await self._call(call, wait_ms)).body

    async def _call(self, call: StoreCall, wait_ms: float = 0.0) -> _Answer:
        self.calls += 1
        try:
            async with asyncio.timeout((CALL_MS + wait_ms) / 1000):
                return await self._exchange(call)
        except (TimeoutError, ConnectError, BrokenAnswerError) as error:
            raise StoreError(str(error) or "no answer") from error

    async def read_all(self, table: str) -> RowsPage:
        """Read all rows of a table.

        The version is that of the first page: a row of it may change before the last is read, and
        the changes after that version contain this one.
        """
        rows: list[Row] = []
        start, nameless, version = "", 0, None
        while True:
            page = self._page(await self._call(self._dialect.read(table, start)))
            version = page.version if version is None else version
            if epoch_of(version) != epoch_of(page.version):
                raise StoreError("the store was restored between two pages")
            rows.extend(page.rows)
            nameless += page.nameless
            if not page.more or not page.rows:
                return RowsPage(rows, version, False, nameless)
            if page.rows[-1].key < start or len(rows) > MAX_ROWS:
                raise StoreError("pages of a table without end")
            start = page.rows[-1].key + "\0"

    async def watch(self, table: str, after: int, wait_ms: float) -> RowsPage:
        """Wait for changes of a table after a version.

        Raises `HistoryGoneError` if the answer is of another epoch than that version.
        """
        call = self._dialect.watch(table, without_epoch(after), int(wait_ms))
        page = self._page(await self._call(call, wait_ms))
        if epoch_of(page.version) != epoch_of(after):
            raise HistoryGoneError("the store was restored")
        return page

    def close(self) -> None:
        """Close the connection."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _exchange(self, call: StoreCall) -> _Answer:
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
        epoch = self._dialect.epoch(head)
        if epoch is None or epoch > MAX_EPOCH:
            epoch = self._epoch.current
        else:
            self._epoch.observe(epoch)
        if head.status == HISTORY_GONE:
            raise HistoryGoneError("the requested history is no longer available")
        if head.status != 200:
            raise StoreError(f"status {head.status}")
        return _Answer(body, epoch)

    def _page(self, answer: _Answer) -> RowsPage:
        epoch = answer.epoch
        try:
            page = self._dialect.page(answer.body)
            rows = [row._replace(version=with_epoch(epoch, row.version)) for row in page.rows]
            return page._replace(rows=rows, version=with_epoch(epoch, page.version))
        except ValueError as error:
            raise StoreError(f"malformed page of rows: {error}") from error
