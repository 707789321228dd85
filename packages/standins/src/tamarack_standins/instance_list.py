"""Stand-in of the platform's list of live and leaving instances, which readers see delayed."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web


class InstanceList:
    """Instances by name; readers see them as they were `lag_ms` ago."""

    def __init__(self, lag_ms: float) -> None:
        self._lag_ms = lag_ms
        self._history: list[tuple[float, dict[str, Any]]] = [(0.0, {})]

    def add_routes(self, app: web.Application) -> None:
        """Add the list's routes; only the platform itself would call PUT and DELETE."""
        app.router.add_get("/instances", self._on_read)
        app.router.add_put("/instances/{name}", self._on_put)
        app.router.add_delete("/instances/{name}", self._on_delete)

    async def _on_read(self, request: web.Request) -> web.Response:
        due = time.monotonic() * 1000 - self._lag_ms
        while len(self._history) > 1 and self._history[1][0] <= due:
            self._history.pop(0)
        return web.json_response({"instances": list(self._history[0][1].values())})

    async def _on_put(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        entry = {**await request.json(), "name": name}
        self._change({**self._history[-1][1], name: entry})
        return web.json_response(entry)

    async def _on_delete(self, request: web.Request) -> web.Response:
        name = request.match_info["name"]
        self._change({n: e for n, e in self._history[-1][1].items() if n != name})
        return web.json_response({"deleted": name})

    def _change(self, instances: dict[str, Any]) -> None:
        self._history.append((time.monotonic() * 1000, instances))
