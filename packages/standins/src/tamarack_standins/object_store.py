"""Stand-in of the object store."""

from __future__ import annotations

from aiohttp import web


class ObjectStore:
    """Objects by name, in memory."""

    def __init__(self) -> None:
        self._objects: dict[str, bytes] = {}

    def add_routes(self, app: web.Application) -> None:
        """Add the store's routes."""
        app.router.add_put("/objects/{name:.+}", self._on_put)
        app.router.add_get("/objects/{name:.+}", self._on_get)

    async def _on_put(self, request: web.Request) -> web.Response:
        self._objects[request.match_info["name"]] = await request.read()
        return web.json_response({"stored": True})

    async def _on_get(self, request: web.Request) -> web.Response:
        data = self._objects.get(request.match_info["name"])
        if data is None:
            return web.json_response({"error": "absent"}, status=404)
        return web.Response(body=data, content_type="application/octet-stream")
