"""Runs a stand-in's routes until SIGTERM, and prints its address on standard output."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable

from aiohttp import web

from tamarack_standins.faults import Faults, set_faults
from tamarack_standins.run_log import RunLog

BACKLOG = 1_024
BODY_BYTES = 16_000_000


def make_app(faults: Faults, log: RunLog | None = None) -> web.Application:
    """An application with the routes that every stand-in has."""
    app = web.Application(middlewares=[faults.middleware], client_max_size=BODY_BYTES)

    async def on_faults(request: web.Request) -> web.Response:
        return await set_faults(request, faults)

    async def on_log(request: web.Request) -> web.Response:
        return web.json_response({"runs": log.records if log else []})

    app.router.add_post("/standin/faults", on_faults)
    app.router.add_get("/standin/log", on_log)
    return app


async def serve(
    app: web.Application, listen: str, task: Callable[[], Awaitable[None]] | None = None
) -> None:
    """Serve at `IP:PORT` until SIGTERM or SIGINT."""
    host, _, port = listen.rpartition(":")
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=BACKLOG)
    await site.start()
    bound = runner.addresses[0]
    background = asyncio.ensure_future(task()) if task else None
    print(json.dumps({"address": f"{bound[0]}:{bound[1]}"}), flush=True)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()
    if background is not None:
        background.cancel()
    await runner.cleanup()
