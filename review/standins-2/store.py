"""The platform's metadata store: rows, conditional writes and long-polled changes."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .wire import Message, Server, answer


class Store:
    """A sound store; `put` and `remove` are the calls of the operator and the workers."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self.version = 1
        self.changed = asyncio.Condition()
        self.server = Server(self._handle)
        self.on_write: Callable[[str, bytes], bytes] = lambda table, value: value
        self.writes: list[tuple[str, str, bytes | None]] = []

    async def start(self, host: str) -> str:
        """Listen; returns the address."""
        return await self.server.start(host)

    async def put(self, table: str, key: str, value: Any) -> int:
        """Write a row; returns its version, the acknowledgement."""
        return await self._change(table, key, json.dumps(value).encode())

    async def remove(self, table: str, key: str) -> int:
        """Remove a row; returns the version."""
        return await self._change(table, key, None)

    async def _change(self, table: str, key: str, value: bytes | None) -> int:
        async with self.changed:
            self.version += 1
            self.rows[table, key] = (value, self.version)
            self.changed.notify_all()
            return self.version

    async def _handle(
        self, request: Message, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        status, body = 404, b"{}"
        if parts.path == "/api/rows-get":
            status, body = 200, self._get(query)
        elif parts.path == "/api/rows-feed":
            status, body = 200, await self._feed(query)
        elif parts.path == "/api/rows-tx":
            status, body = await self._transact(json.loads(request.body))
        writer.write(answer(status, body, Content_Type="application/json"))
        await writer.drain()
        return True

    def _get(self, query: dict[str, str]) -> bytes:
        start = query.get("source", "")
        found = sorted(
            (key, value, version)
            for (table, key), (value, version) in self.rows.items()
            if table == query["table"] and value is not None and key >= start
        )
        rows = [self._row(query["table"], key, value, version) for key, value, version in found]
        return self._page(rows[:500], hasMore=len(rows) > 500)

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["afterRevision"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query["waitMs"]) / 1000
        while True:
            found = sorted(
                (version, key, value)
                for (name, key), (value, version) in self.rows.items()
                if name == table and version > after
            )
            left = until - loop.time()
            if found or left <= 0:
                return self._page([self._row(table, k, value, ver) for ver, k, value in found])
            async with self.changed:
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    continue

    async def _transact(self, call: dict[str, Any]) -> tuple[int, bytes]:
        for row in call.get("expectedRevision", []):
            value, version = self.rows.get((row["table"], row["key"]), (None, 0))
            if (version if value is not None else 0) != row["ver"]:
                return 412, self._page([])
        for row in call.get("puts", []):
            value = self.on_write(row["table"], base64.b64decode(row["value"]))
            self.writes.append((row["table"], row["key"], value))
            await self._change(row["table"], row["key"], value)
        for row in call.get("remove", []):
            self.writes.append((row["table"], row["key"], None))
            await self._change(row["table"], row["key"], None)
        return 200, self._page([])

    def _page(self, rows: list[dict[str, Any]], **more: Any) -> bytes:
        now_ms = int(asyncio.get_running_loop().time() * 1000)
        return json.dumps({"rows": rows, "ver": self.version, "nowMs": now_ms, **more}).encode()

    def _row(self, table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
        row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
        if value is None:
            return {**row, "removed": True}
        return {**row, "value": base64.b64encode(value).decode()}
