"""Stand-in of the transactional table service."""

from __future__ import annotations

import bisect
from typing import Any

from aiohttp import web

from tamarack_standins.rate_limit import RateLimit

WRITES_PER_S = 400.0
READS_PER_S = 2_000.0
SCAN_LIMIT = 1_000


class TableService:
    """Rows with versions; a transaction writes all rows or none."""

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, tuple[int, Any]]] = {}
        self._keys: dict[str, list[str]] = {}
        self._version = 0
        self._writes = RateLimit(WRITES_PER_S)
        self._reads = RateLimit(READS_PER_S)
        self._counts = {"reads": 0, "writes": 0, "conflicts": 0, "refused": 0}

    def add_routes(self, app: web.Application) -> None:
        """Add the service's routes."""
        app.router.add_get("/tables/{table}/rows/{key:.+}", self._on_read)
        app.router.add_get("/tables/{table}/rows", self._on_scan)
        app.router.add_post("/transact", self._on_transact)
        app.router.add_get("/standin/table-counts", self._on_counts)

    async def _on_read(self, request: web.Request) -> web.Response:
        if not self._reads.allow():
            return self._refuse()
        self._counts["reads"] += 1
        key = request.match_info["key"]
        row = self._tables.get(request.match_info["table"], {}).get(key)
        if row is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.json_response({"key": key, "version": row[0], "value": row[1]})

    async def _on_scan(self, request: web.Request) -> web.Response:
        if not self._reads.allow():
            return self._refuse()
        self._counts["reads"] += 1
        table = request.match_info["table"]
        keys = self._keys.get(table, [])
        limit = min(SCAN_LIMIT, int(request.query.get("limit", "200")))
        start = bisect.bisect_right(keys, request.query.get("after", ""))
        rows = []
        for key in keys[start : start + limit]:
            version, value = self._tables[table][key]
            rows.append({"key": key, "version": version, "value": value})
        return web.json_response({"rows": rows})

    async def _on_transact(self, request: web.Request) -> web.Response:
        body = await request.json()
        if not self._writes.allow(max(1, len(body["writes"]))):
            return self._refuse()
        for condition in body["conditions"]:
            row = self._tables.get(condition["table"], {}).get(condition["key"])
            if (row[0] if row else 0) != condition["version"]:
                self._counts["conflicts"] += 1
                return web.json_response({"error": "condition failed"}, status=409)
        for write in body["writes"]:
            self._write(write["table"], write["key"], write["value"])
        self._counts["writes"] += len(body["writes"])
        return web.json_response({"version": self._version})

    async def _on_counts(self, request: web.Request) -> web.Response:
        return web.json_response(self._counts)

    def _write(self, table: str, key: str, value: Any) -> None:
        rows = self._tables.setdefault(table, {})
        keys = self._keys.setdefault(table, [])
        self._version += 1
        if value is None:
            if rows.pop(key, None) is not None:
                keys.remove(key)
            return
        if key not in rows:
            bisect.insort(keys, key)
        rows[key] = (self._version, value)

    def _refuse(self) -> web.Response:
        self._counts["refused"] += 1
        return web.json_response({"error": "rate limit"}, status=429)
