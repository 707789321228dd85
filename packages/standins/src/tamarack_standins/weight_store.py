"""Stand-in of the weight store, which serves one model at a time at a limited rate."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from aiohttp import web


class WeightStore:
    """Serves one load at a time; each takes `load_ms`."""

    def __init__(self, load_ms: float) -> None:
        self._load_ms = load_ms
        self._lock = asyncio.Lock()
        self._loads: list[dict[str, Any]] = []

    def add_routes(self, app: web.Application) -> None:
        """Add the store's routes."""
        app.router.add_get("/weights/{model}", self._on_load)
        app.router.add_get("/standin/weight-loads", self._on_loads)

    async def _on_load(self, request: web.Request) -> web.Response:
        async with self._lock:
            started = time.time() * 1000
            await asyncio.sleep(self._load_ms / 1000)
            model = request.match_info["model"]
            self._loads.append({"model": model, "started": started, "ended": time.time() * 1000})
        return web.Response(body=b"weights")

    async def _on_loads(self, request: web.Request) -> web.Response:
        return web.json_response({"loads": self._loads})
