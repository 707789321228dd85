"""Faults that can be injected into a stand-in."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web

KINDS = ("down", "slow", "answer_lost", "silent_after", "crash", "paused", "reject")
CRASH_EXIT = 9

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    value
        Milliseconds for `slow` and `paused`, bytes for `silent_after`; for `crash`, 0 before the
        handler, 1 after it.
    times
        Number of requests that it applies to; negative for all.
    path
        Prefix of the paths that it applies to.
    method
        Method that it applies to; empty for all.
    """

    kind: str
    value: float = 0.0
    times: int = -1
    path: str = "/"
    method: str = ""


class Faults:
    """The active faults of one stand-in."""

    def __init__(self) -> None:
        self._faults: list[Fault] = []

    def set(self, faults: list[Fault]) -> None:
        """Replace all faults."""
        self._faults = faults

    def take(self, kind: str, path: str, method: str = "") -> Fault | None:
        """Consume one use of the first fault of a kind that applies to a path."""
        for index, fault in enumerate(self._faults):
            if fault.kind != kind or fault.times == 0 or not path.startswith(fault.path):
                continue
            if fault.method and method and fault.method != method:
                continue
            if fault.times > 0:
                self._faults[index] = fault._replace(times=fault.times - 1)
            return fault
        return None

    @web.middleware
    async def middleware(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        """Apply the faults to a request."""
        path, method = request.path, request.method
        # Calls that only the platform itself would make are exempt from faults.
        internal = method == "PUT" and path.startswith("/instances/")
        if internal or path.startswith("/standin/"):
            return await handler(request)
        if self.take("down", path, method):
            return _abort(request)
        if self.take("reject", path, method):
            return web.json_response({"error": "rejected"}, status=503)
        if fault := self.take("slow", path, method):
            await asyncio.sleep(fault.value / 1000)
        crash = self.take("crash", path, method)
        if crash and not crash.value:
            os._exit(CRASH_EXIT)
        response = await handler(request)
        if crash:
            os._exit(CRASH_EXIT)
        if self.take("answer_lost", path, method):
            return _abort(request)
        return response


def _abort(request: web.Request) -> web.StreamResponse:
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=503)


async def set_faults(request: web.Request, faults: Faults) -> web.Response:
    """Handle `POST /standin/faults`: a list of faults replaces the active ones."""
    body = await request.json()
    wanted = [Fault(**fault) for fault in body]
    unknown = [fault.kind for fault in wanted if fault.kind not in KINDS]
    if unknown:
        return web.json_response({"error": f"unknown kinds {unknown}"}, status=400)
    faults.set(wanted)
    return web.json_response({"faults": len(wanted)})
