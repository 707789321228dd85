"""A stand-in of the platform's store: rows, changes that a call waits for, and its era."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any
from urllib.parse import parse_qs

from standins.http import Head, read_body, read_head


class Store:
    """Serves the row calls on a loopback address.

    Attributes
    ----------
    address
        `IP:PORT` of the store.
    refusing
        Whether every call is answered 503 and does nothing.
    era
        Value of the header `Store-Era` in all answers.
    """

    def __init__(self) -> None:
        self.address = ""
        self.refusing = False
        self.era = 1
        self._rows: dict[tuple[str, str], tuple[bytes | None, int]] = {}
        self._version = 0
        self._oldest = 0
        self._changed = asyncio.Condition()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def put(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a worker does; returns once it is acknowledged."""
        await self._change(table, key, json.dumps(value).encode())

    async def remove(self, table: str, key: str) -> None:
        """Remove a row."""
        await self._change(table, key, None)

    def copy(self) -> tuple[dict[tuple[str, str], tuple[bytes | None, int]], int]:
        """A copy of all rows, with the store's version."""
        return dict(self._rows), self._version

    async def restore(
        self, copy: tuple[dict[tuple[str, str], tuple[bytes | None, int]], int]
    ) -> None:
        """Come back from a copy: later rows are gone, and the era rises by one."""
        async with self._changed:
            self._rows, self._version = dict(copy[0]), copy[1]
            self._oldest = min(self._oldest, self._version)
            self.era += 1
            self._changed.notify_all()

    async def _change(self, table: str, key: str, value: bytes | None) -> None:
        async with self._changed:
            self._version += 1
            self._rows[table, key] = (value, self._version)
            self._changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head)
                status, answer = await self._answer(head, body)
                data = json.dumps(answer).encode()
                lines = [
                    f"HTTP/1.1 {status} Status",
                    "Content-Type: application/json",
                    f"Store-Era: {self.era}",
                    f"Content-Length: {len(data)}",
                ]
                writer.write("\r\n".join([*lines, "", ""]).encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, head: Head, body: bytes) -> tuple[int, dict[str, Any]]:
        if self.refusing:
            return 503, {"error": "unavailable"}
        path, _, query = head.target.partition("?")
        fields = {name: values[0] for name, values in parse_qs(query).items()}
        if path == "/api/rows-get":
            return 200, self._get(fields["table"], fields.get("source", ""))
        if path == "/api/rows-feed":
            return await self._feed(
                fields["table"], int(fields["afterRevision"]), int(fields["waitMs"]) / 1000
            )
        if path == "/api/rows-tx":
            return await self._transact(json.loads(body))
        return 404, {"error": "no such call"}

    def _get(self, table: str, start: str) -> dict[str, Any]:
        rows = [
            _row(table, key, value, version)
            for (name, key), (value, version) in sorted(self._rows.items())
            if name == table and key >= start and value is not None
        ]
        return {"rows": rows, "hasMore": False, "ver": self._version, "nowMs": 0}

    async def _feed(self, table: str, after: int, wait_s: float) -> tuple[int, dict[str, Any]]:
        loop = asyncio.get_running_loop()
        until, era = loop.time() + wait_s, self.era
        async with self._changed:
            while True:
                if era != self.era or not self._oldest <= after <= self._version:
                    return 410, {"error": "history is gone"}
                found = [
                    (version, _row(table, key, value, version))
                    for (name, key), (value, version) in self._rows.items()
                    if name == table and version > after
                ]
                left_s = until - loop.time()
                if found or left_s <= 0 or self.refusing:
                    rows = [row for _, row in sorted(found, key=lambda one: one[0])]
                    return 200, {"rows": rows, "ver": self._version, "nowMs": 0}
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    continue

    async def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for condition in call.get("expectedRevision", []):
            value, version = self._rows.get((condition["table"], condition["key"]), (None, 0))
            if condition["ver"] != (0 if value is None else version):
                return 412, {"rows": [], "ver": self._version, "nowMs": 0}
        for row in call.get("puts", []):
            await self._change(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in call.get("remove", []):
            await self._change(row["table"], row["key"], None)
        return 200, {"ver": self._version, "nowMs": 0}


def _row(table: str, key: str, value: bytes | None, version: int) -> dict[str, Any]:
    row: dict[str, Any] = {"table": table, "part": "", "key": key, "ver": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": base64.b64encode(value).decode()}
