"""BUDGET: routers that are killed again and again take their whole part of the budget each time."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
case = import_module("standins-2.case")
wire = import_module("standins-2.wire")
worker_module = import_module("standins-2.worker")

ROUTERS = (1, 2, 3)
KILLS, FAILING, REQUESTS, GAP_S, WINDOW_S = 4, 0.45, 900, 0.02, 10


async def body(run):
    """Send idempotent requests, of which workers fail a part, and kill all routers meanwhile."""

    async def fail(worker, request, writer):
        if run.random.random() >= FAILING:
            return None
        attempt = request.headers["x-attempt-id"]
        writer.write(wire.answer(500, b"no", X_Attempt_Id=attempt, X_Server_Stamp="stamp"))
        return True

    await run.begin()
    for number in range(3):
        await run.add_worker(worker_module.Worker(f"i-{number}", "office-api", hook=fail))
    await asyncio.gather(*(run.start_router(number) for number in ROUTERS))
    await run.until_ready(*ROUTERS)
    await asyncio.sleep(2.0)
    sent, calls = [], []

    async def load():
        for number in range(REQUESTS):
            sent.append(time.monotonic())
            calls.append(asyncio.ensure_future(run.call(ROUTERS[number % 3], "/record/2")))
            await asyncio.sleep(GAP_S)

    sending = asyncio.ensure_future(load())
    for _ in range(KILLS if run.trouble else 0):
        await asyncio.sleep(2.0)
        for number in ROUTERS:
            run.signal(number, signal.SIGKILL)
        for number in ROUTERS:
            await run.ended(number)
            await run.start_router(number)
    await sending
    await asyncio.gather(*calls)
    seen, repeats = set(), []
    for at_s, attempt in sorted((s, a) for worker in run.workers for a, s in worker.runs):
        if attempt in seen:
            repeats.append(at_s)
        seen.add(attempt)
    for start in repeats:
        count = sum(start <= one < start + WINDOW_S for one in repeats)
        asked = max(
            sum(start - back <= one < start - back + WINDOW_S for one in sent) for back in (0, 5, 10)
        )
        if count > 0.2 * asked + 56:
            raise case.Broken(f"BUDGET: {count} repeats in 10 s, {0.2 * asked + 56:.1f} allowed")


if __name__ == "__main__":
    sys.exit(case.play(Path(__file__).resolve().parent, body))
