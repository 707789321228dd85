"""Stand-in of a model engine: continuous batching, streams that resume, orders.

Every token contains the id of its request, so that an answer mixed up with another is detected.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import time
from collections import deque
from typing import Any, NamedTuple

from aiohttp import ClientSession, web

from tamarack_standins.faults import Faults
from tamarack_standins.generation import Generation, event_bytes, last_bytes
from tamarack_standins.prefix_cache import PrefixCache
from tamarack_standins.run_log import RunLog
from tamarack_standins.server import make_app, serve

MAX_GENERATIONS = 2_000
"""Maximum number of generations kept for resumption; the oldest finished ones are dropped."""

PREFILL_TOKENS_PER_STEP = 512
PREFIX_CHARACTERS = 256


class EngineOptions(NamedTuple):
    """Options of an engine; times in milliseconds.

    Attributes
    ----------
    batch
        Number of generations that step together.
    crowding
        Relative increase of the step time at a full batch.
    load_lag_ms
        Age of the load reports and of the cache events.
    """

    name: str
    model: str
    step_ms: float
    batch: int
    crowding: float
    load_lag_ms: float
    cache_tokens: int
    checks_fencing: bool
    can_resume: bool
    weights: str
    run_log: str = ""


class Engine:
    """A batch of generations that step together."""

    def __init__(self, options: EngineOptions, faults: Faults) -> None:
        self._options = options
        self._faults = faults
        self._log = RunLog(options.run_log)
        self._cache = PrefixCache(options.cache_tokens, options.load_lag_ms)
        self._generations: dict[str, Generation] = {}
        self._queue: deque[Generation] = deque()
        self._active: list[Generation] = []
        self._model = options.model
        self._role = "serve"
        self._leaving = False
        self._accepting = True
        self._fence = 0
        self._orders: list[dict[str, Any]] = []
        self._loading = False
        self._reports: deque[tuple[float, dict[str, Any]]] = deque()
        self._wake = asyncio.Event()
        self._busy_ms = 0.0

    def app(self) -> web.Application:
        """The engine's routes."""
        app = make_app(self._faults, self._log)
        app.router.add_post("/v1/completions", self._on_completion)
        app.router.add_post("/v1/chat/completions", self._on_completion)
        app.router.add_get("/v1/streams/{request}", self._on_resume)
        app.router.add_delete("/v1/streams/{request}", self._on_cancel)
        app.router.add_get("/v1/models", self._on_models)
        app.router.add_get("/v1/cache-events", self._on_cache_events)
        app.router.add_get("/load", self._on_load)
        app.router.add_post("/orders", self._on_order)
        app.router.add_get("/standin/orders", self._on_orders)
        return app

    async def run(self) -> None:
        """Run batch steps until cancelled."""
        options = self._options
        while True:
            if not self._active and not self._queue:
                self._wake.clear()
                await self._wake.wait()
            started = time.monotonic()
            self._admit()
            load = len(self._active) / options.batch
            step_s = options.step_ms * (1 + options.crowding * load) / 1000
            if fault := self._faults.take("paused", "/"):
                await asyncio.sleep(fault.value / 1000)
            await asyncio.sleep(max(0.0, step_s - (time.monotonic() - started)))
            self._busy_ms += step_s * 1000 * len(self._active)
            self._step()

    def _admit(self) -> None:
        while self._queue and len(self._active) < self._options.batch:
            generation = self._queue.popleft()
            if generation.cancelled:
                continue
            prefix = generation.prompt[:PREFIX_CHARACTERS]
            hit = self._cache.hit(prefix, generation.prompt_tokens, time.time() * 1000)
            if not hit:
                generation.prefill_steps = generation.prompt_tokens // PREFILL_TOKENS_PER_STEP
            self._active.append(generation)

    def _step(self) -> None:
        for generation in list(self._active):
            if generation.cancelled:
                self._active.remove(generation)
                self._finish(generation, "cancelled")
                continue
            if generation.prefill_steps > 0:
                generation.prefill_steps -= 1
                continue
            self._emit(generation)
            if generation.produced >= generation.wanted:
                self._active.remove(generation)
                self._finish(generation, "finished")
            generation.notify()

    def _emit(self, generation: Generation) -> None:
        text = generation.token()
        generation.text.append(text)
        generation.produced += 1
        if generation.record is not None:
            generation.record["tokens"] = generation.produced
        if generation.stream:
            generation.out += event_bytes(generation, text)

    def _finish(self, generation: Generation, state: str) -> None:
        generation.done = True
        if generation.record is not None:
            self._log.finish(generation.record, state)
        if state == "finished":
            generation.out += last_bytes(generation)
        generation.notify()
        self._drop_oldest_finished()

    def _drop_oldest_finished(self) -> None:
        while len(self._generations) > MAX_GENERATIONS:
            oldest = next(iter(self._generations))
            if not self._generations[oldest].done:
                return
            del self._generations[oldest]

    # Routes

    async def _on_completion(self, request: web.Request) -> web.StreamResponse:
        if self._leaving or self._loading or not self._accepting:
            return _not_run("leaving")
        body = await request.json()
        if body.get("model") != self._model:
            return _not_run("other model")
        request_id = request.headers.get("Tamarack-Request-Id", f"direct~{random.random()}")
        workspace = request.headers.get("Tamarack-Workspace", "")
        generation = Generation(request_id, workspace, body, "chat" in request.path)
        generation.record = self._log.start(
            request_id, workspace, request.path, str(body.get("user", "")), generation.prompt_tokens
        )
        self._generations[request_id] = generation
        self._queue.append(generation)
        self._wake.set()
        return await self._write(request, generation, 0)

    async def _on_resume(self, request: web.Request) -> web.StreamResponse:
        generation = self._generations.get(request.match_info["request"])
        if generation is None or not self._options.can_resume:
            return web.json_response({"error": "unknown stream"}, status=404)
        return await self._write(request, generation, int(request.query.get("offset", "0")))

    async def _on_cancel(self, request: web.Request) -> web.StreamResponse:
        generation = self._generations.get(request.match_info["request"])
        if generation is None:
            return web.json_response({"error": "unknown stream"}, status=404)
        generation.cancelled = True
        return web.json_response({"cancelled": True})

    async def _on_models(self, request: web.Request) -> web.Response:
        return web.json_response({"object": "list", "data": [{"id": self._model}]})

    async def _on_cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return web.json_response({"events": self._cache.events_after(after, time.time() * 1000)})

    async def _on_load(self, request: web.Request) -> web.Response:
        now = time.monotonic() * 1000
        self._reports.append((now, self._report()))
        while len(self._reports) > 1 and self._reports[1][0] <= now - self._options.load_lag_ms:
            self._reports.popleft()
        report = dict(self._reports[0][1])
        # Only the load figures lag; effects of orders are reported at once.
        leaving = self._leaving or self._loading or not self._accepting
        in_flight = len(self._active) + len(self._queue)
        report.update(leaving=leaving, in_flight_now=in_flight, **self._observed())
        return web.json_response(report)

    def _report(self) -> dict[str, Any]:
        options = self._options
        load = len(self._active) / options.batch
        return {
            "in_flight": len(self._active) + len(self._queue),
            "step_ms": options.step_ms * (1 + options.crowding * load),
            "idle_step_ms": options.step_ms,
            "busy_slot_ms": self._busy_ms,
        }

    def _observed(self) -> dict[str, Any]:
        return {
            "model": self._model,
            "role": self._role,
            "fence": self._fence,
            "accepting": self._accepting,
            "loading": self._loading,
        }

    async def _on_order(self, request: web.Request) -> web.Response:
        order = await request.json()
        fence = int(order.get("fence", 0))
        if self._options.checks_fencing and fence < self._fence:
            return web.json_response({"error": "stale fence", "fence": self._fence}, status=409)
        self._orders.append({**order, "at": time.time() * 1000})
        self._fence = max(fence, self._fence)
        if "leaving" in order:
            self._leaving = bool(order["leaving"])
        if "accepting" in order:
            self._accepting = bool(order["accepting"])
        if "role" in order:
            self._role = str(order["role"])
        wanted = order.get("model")
        if wanted and wanted != self._model and not self._loading:
            self._loading = True
            asyncio.ensure_future(self._load_model(str(wanted)))
        return web.json_response(self._observed())

    async def _load_model(self, model: str) -> None:
        try:
            if self._options.weights:
                async with ClientSession() as session:
                    url = f"http://{self._options.weights}/weights/{model}"
                    async with session.get(url) as response:
                        await response.read()
                        if response.status != 200:
                            return
            self._model = model
        finally:
            self._loading = False

    async def _on_orders(self, request: web.Request) -> web.Response:
        return web.json_response({"orders": self._orders})

    async def _write(
        self, request: web.Request, generation: Generation, offset: int
    ) -> web.StreamResponse:
        if not generation.stream:
            while not generation.done:
                await generation.changed.wait()
        content_type = "text/event-stream" if generation.stream else "application/json"
        response = web.StreamResponse(headers={"Content-Type": content_type})
        await response.prepare(request)
        silent = self._faults.take("silent_after", request.path, request.method)
        position = offset
        while True:
            changed = generation.changed
            data = bytes(generation.out[position:])
            if data:
                if silent and position - offset + len(data) > silent.value:
                    await asyncio.sleep(3600)
                position += len(data)
                await response.write(data)
            elif generation.done:
                if generation.cancelled and request.transport is not None:
                    request.transport.abort()
                return response
            else:
                await changed.wait()


def _not_run(reason: str) -> web.Response:
    return web.json_response({"error": reason}, status=503, headers={"Endpoint-Outcome": "not-run"})


def main() -> None:
    """Run one engine."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", default="127.0.0.1:0")
    parser.add_argument("--name", default="engine")
    parser.add_argument("--model", default="model")
    parser.add_argument("--step-ms", type=float, default=3.0)
    parser.add_argument("--batch", type=int, default=4)
    parser.add_argument("--crowding", type=float, default=0.2)
    parser.add_argument("--load-lag-ms", type=float, default=300.0)
    parser.add_argument("--cache-tokens", type=int, default=20_000)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--no-resume", action="store_true")
    parser.add_argument("--weights", default="")
    parser.add_argument("--run-log", default="")
    args = parser.parse_args()
    options = EngineOptions(
        args.name,
        args.model,
        args.step_ms,
        args.batch,
        args.crowding,
        args.load_lag_ms,
        args.cache_tokens,
        not args.ignores_fencing,
        not args.no_resume,
        args.weights,
        args.run_log,
    )
    asyncio.run(_serve(options, args.listen))


async def _serve(options: EngineOptions, listen: str) -> None:
    engine = Engine(options, Faults())
    await serve(engine.app(), listen, engine.run)


if __name__ == "__main__":
    main()
