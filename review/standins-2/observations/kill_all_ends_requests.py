"""All routers are killed while two versions serve: some take-ups are answered 500 afterwards."""

from __future__ import annotations

import asyncio
import signal
import sys
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
case = import_module("standins-2.case")
worker_module = import_module("standins-2.worker")

ROUTERS = tuple(range(1, 9))
STREAMS, SPREAD_S = 240, 1.0


async def body(run):
    """Kill all routers, and take all streams up as soon as they are ready again."""
    await run.begin()
    for number in range(6):
        version = "v1" if number % 2 else "v2"
        worker = worker_module.Worker(f"i-{number}", "llm-pool", events=60, version=version)
        await run.add_worker(worker)
    await asyncio.gather(*(run.start_router(number) for number in ROUTERS))
    await run.until_ready(*ROUTERS)
    await asyncio.sleep(4.0)
    back = asyncio.Event()

    async def one(number):
        await asyncio.sleep(SPREAD_S * number / STREAMS)
        first = await run.stream(ROUTERS[number % len(ROUTERS)])
        if first.complete or not first.events:
            return None
        await back.wait()
        last = str(first.events[-1][0])
        router = run.random.choice(ROUTERS)
        return await run.stream(router, Resumes=first.attempt, Last_Event_Id=last)

    calls = [asyncio.ensure_future(one(number)) for number in range(STREAMS)]
    await asyncio.sleep(SPREAD_S)
    if run.trouble:
        for number in ROUTERS:
            run.signal(number, signal.SIGKILL)
        for number in ROUTERS:
            await run.ended(number)
        await asyncio.sleep(0.3)
        await asyncio.gather(*(run.start_router(number) for number in ROUTERS))
        await run.until_ready(*ROUTERS)
    back.set()
    again = [answer for answer in await asyncio.gather(*calls) if answer is not None]
    counts = case.by_status(again)
    errors = sum(run.log_of(number).count("RecursionError(") for number in ROUTERS)
    run.note(f"take-ups by status: {counts}; recursion errors in the logs: {errors}")
    if counts.get(500):
        raise case.Broken(f"{counts[500]} of {len(again)} take-ups got 500; {errors} errors logged")


if __name__ == "__main__":
    sys.exit(case.play(Path(__file__).resolve().parent, body))
