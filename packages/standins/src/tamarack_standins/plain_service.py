"""Stand-in of a plain service; some of its operations are not idempotent."""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from typing import Any

from aiohttp import web

from tamarack_standins.faults import Faults
from tamarack_standins.run_log import RunLog
from tamarack_standins.server import make_app, serve


class PlainService:
    """Answers every path after its work time, and logs each run."""

    def __init__(self, name: str, work_ms: float, faults: Faults, run_log: str = "") -> None:
        self._name = name
        self._work_ms = work_ms
        self._faults = faults
        self._log = RunLog(run_log)
        self._in_flight = 0
        self._leaving = False

    def app(self) -> web.Application:
        """The service's routes."""
        app = make_app(self._faults, self._log)
        app.router.add_get("/load", self._on_load)
        app.router.add_post("/orders", self._on_order)
        app.router.add_route("*", "/{path:.*}", self._on_call)
        return app

    async def _on_load(self, request: web.Request) -> web.Response:
        return web.json_response({"in_flight": self._in_flight, "leaving": self._leaving})

    async def _on_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        self._leaving = bool(order.get("leaving", self._leaving))
        return web.json_response({"leaving": self._leaving})

    async def _on_call(self, request: web.Request) -> web.StreamResponse:
        if self._leaving:
            headers = {"Endpoint-Outcome": "not-run"}
            return web.json_response({"error": "leaving"}, status=503, headers=headers)
        body = await request.read()
        request_id = request.headers.get("Tamarack-Request-Id", "")
        workspace = request.headers.get("Tamarack-Workspace", "")
        operation = f"{request.method} {request.path}"
        record = self._log.start(request_id, workspace, operation, _marker_of(body))
        self._in_flight += 1
        try:
            await asyncio.sleep(self._work_ms / 1000)
        finally:
            self._in_flight -= 1
            self._log.finish(record, "finished")
        answer: dict[str, Any] = {
            "request": request_id,
            "service": self._name,
            "operation": f"{request.method} {request.path}",
            "received": len(body),
            "query": request.query_string,
            "at": time.time(),
        }
        return web.json_response(answer)


def _marker_of(body: bytes) -> str:
    try:
        return str(json.loads(body).get("marker", ""))
    except (ValueError, AttributeError):
        return ""


def main() -> None:
    """Run one plain service."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--name", default="service")
    parser.add_argument("--work-ms", type=float, default=20.0)
    parser.add_argument("--run-log", default="")
    args = parser.parse_args()
    service = PlainService(args.name, args.work_ms, Faults(), args.run_log)
    asyncio.run(serve(service.app(), args.listen))


if __name__ == "__main__":
    main()
