"""A stand-in of the platform's store: rows, long-polled changes and injectable faults."""

from __future__ import annotations

import asyncio
import base64
import json
from types import TracebackType
from typing import Any, NamedTuple

from aiohttp import web


class StoredRow(NamedTuple):
    """A row and the version of its last change; `value` is None after removal."""

    value: bytes | None
    version: int


class StoreCopy(NamedTuple):
    """A copy of the store's rows, at a version."""

    tables: dict[str, dict[str, StoredRow]]
    version: int


class PlatformStore:
    """Serves rows on a loopback address.

    Attributes
    ----------
    refusing
        Status with which all calls are rejected; zero to serve.
    silent
        Whether calls are accepted and never answered.
    dropping_write_answers
        Whether writes are applied and not answered.
    era
        Number that all answers name; it rises when the store returns to a copy.
    apply_delay_s
        If not zero, writes are not answered, and are applied after this many seconds if their
        condition still holds.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, StoredRow]] = {}
        self._version = 1
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._runner: web.AppRunner | None = None
        self.address = ""
        self.refusing = 0
        self.silent = False
        self.dropping_write_answers = False
        self.apply_delay_s = 0.0
        self.calls: list[str] = []
        self.era = 1

    async def __aenter__(self) -> PlatformStore:
        app = web.Application()
        app.on_response_prepare.append(self._name_era)
        app.router.add_get("/api/rows-get", self._get)
        app.router.add_get("/api/rows-feed", self._feed)
        app.router.add_post("/api/rows-tx", self._transact)
        self._runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._runner is not None:
            await self._runner.cleanup()

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row as the operator or a worker would; return its version."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        return await self._change(table, key, data)

    async def remove(self, table: str, key: str) -> int:
        """Remove a row; return the version of the removal."""
        return await self._change(table, key, None)

    async def forget_history(self) -> None:
        """Drop the history of changes; calls that wait for older ones are answered 410 (gone)."""
        async with self._changed:
            self._oldest = self._version
            self._changed.notify_all()

    def copy(self) -> StoreCopy:
        """A copy of all rows."""
        return StoreCopy({name: dict(rows) for name, rows in self._tables.items()}, self._version)

    async def restore(self, copy: StoreCopy) -> StoreCopy:
        """Return to a copy: later rows are lost, and later versions are given out again.

        Returns the rows before that, for `write_again`.
        """
        async with self._changed:
            lost = self.copy()
            self._tables = {name: dict(rows) for name, rows in copy.tables.items()}
            self._version = copy.version
            self._oldest = min(self._oldest, copy.version)
            self.era += 1
            self._changed.notify_all()
            return lost

    async def write_again(self, lost: StoreCopy, copy: StoreCopy, tables: tuple[str, ...]) -> None:
        """Write what some tables lost when the store returned to a copy, and nobody has since."""
        for table in tables:
            before, then = copy.tables.get(table, {}), lost.tables.get(table, {})
            for key, row in then.items():
                now = self._tables.get(table, {}).get(key)
                if row != before.get(key) and now == before.get(key):
                    await self._change(table, key, row.value)

    async def _name_era(self, request: web.Request, response: web.StreamResponse) -> None:
        response.headers["Store-Era"] = str(self.era)

    def rows(self, table: str) -> dict[str, bytes]:
        """Rows of a table, without removed ones."""
        found = self._tables.get(table, {})
        return {key: row.value for key, row in found.items() if row.value is not None}

    async def _change(self, table: str, key: str, value: bytes | None) -> int:
        async with self._changed:
            self._version += 1
            self._tables.setdefault(table, {})[key] = StoredRow(value, self._version)
            self._changed.notify_all()
            return self._version

    async def _fail(self, request: web.Request) -> web.Response | None:
        self.calls.append(request.path)
        if self.silent:
            await asyncio.sleep(3600)
        if self.refusing:
            return web.Response(status=self.refusing)
        return None

    async def _get(self, request: web.Request) -> web.Response:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        table, start = request.query["table"], request.query.get("source", "")
        rows = [
            self._row(table, key, row)
            for key, row in sorted(self._tables.get(table, {}).items())
            if row.value is not None and key >= start
        ]
        return web.json_response({"rows": rows, "hasMore": False, "ver": self._version})

    async def _feed(self, request: web.Request) -> web.Response:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        table, after = request.query["table"], int(request.query["afterRevision"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(request.query["waitMs"]) / 1000
        async with self._changed:
            while True:
                if not self._oldest <= after <= self._version:
                    return web.Response(status=410)
                rows = self._since(table, after)
                left = until - loop.time()
                if rows or left <= 0:
                    return web.json_response({"rows": rows, "ver": self._version})
                try:
                    async with asyncio.timeout(left):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _transact(self, request: web.Request) -> web.Response:
        failed = await self._fail(request)
        if failed is not None:
            return failed
        call = await request.json()
        if self.apply_delay_s:
            await self._abort_and_wait(request, self.apply_delay_s)
        if not self._holds(call):
            return web.json_response({"rows": [], "ver": self._version}, status=412)
        for row in call.get("puts", []):
            await self._change(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            await self._change(row["table"], row["key"], None)
        if self.dropping_write_answers:
            await self._abort_and_wait(request, 0.0)
        return web.json_response({"ver": self._version, "nowMs": 0})

    async def _abort_and_wait(self, request: web.Request, pause_s: float) -> None:
        if request.transport is not None:
            request.transport.abort()
        await asyncio.sleep(pause_s)

    def _holds(self, call: dict[str, Any]) -> bool:
        for condition in call.get("expectedRevision", []):
            row = self._tables.get(condition["table"], {}).get(condition["key"])
            held = row.version if row is not None and row.value is not None else 0
            if held != condition["ver"]:
                return False
        return True

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        changed = [
            (row.version, self._row(table, key, row))
            for key, row in self._tables.get(table, {}).items()
            if row.version > after
        ]
        return [row for _, row in sorted(changed, key=lambda entry: entry[0])]

    def _row(self, table: str, key: str, row: StoredRow) -> dict[str, Any]:
        entry: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": row.version}
        if row.value is None:
            return {**entry, "removed": True}
        return {**entry, "value": base64.b64encode(row.value).decode()}
