"""Workers spoil an event of some streams; the sound event before it never reaches the client."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
case = import_module("standins-2.case")
worker_module = import_module("standins-2.worker")

STREAMS = 400
GAP_S = 0.05
EVENTS = 20
ROUTERS = (1, 2, 3)
SPOILERS = 2
"""Of four workers: share 0.5, the default of `garble`."""
SPOILED_EACH = 20
"""They spoil each 20th of their answers, the largest x of the site's own days, 0.05."""


def wrong(event: bytes) -> bytes:
    """The event with one wrong byte: the first digit of its id."""
    start = event.index(b"id: ") + 4
    digit = event[start : start + 1]
    return event[:start] + (b"7" if digit != b"7" else b"3") + event[start + 1 :]


def spoiler(run):
    """Behaviour of a worker that spoils some of its streams."""

    streams: Counter[str] = Counter()

    async def answer(worker, request, writer):
        streams[worker.name] += 1
        if streams[worker.name] % SPOILED_EACH != SPOILED_EACH // 2:
            return None
        first = int(request.headers.get("last-event-id", "0")) + 1
        if first > EVENTS - 2:
            return None
        spoiled = run.random.randrange(first + 1, EVENTS)
        run.note(f"worker {worker.name} spoils {request.headers['x-attempt-id']} at {spoiled}")
        writer.write(worker.stream_head(request))
        await asyncio.sleep(worker.first_s)
        for number in range(first, spoiled - 1):
            writer.write(worker_module.chunk(worker.event(number)))
            await writer.drain()
            await asyncio.sleep(worker.pace_s)
        pair = worker.event(spoiled - 1) + wrong(worker.event(spoiled))
        writer.write(worker_module.chunk(pair))
        await writer.drain()
        for number in range(spoiled + 1, EVENTS + 1):
            await asyncio.sleep(worker.pace_s)
            writer.write(worker_module.chunk(worker.event(number)))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    return answer


async def body(run):
    """Send streams to three routers, and check the pieces of those that end as complete."""
    await run.begin()
    for number in range(1, 5):
        worker = worker_module.Worker(f"i-{number}", "llm-pool", events=EVENTS)
        await run.add_worker(worker)
    await asyncio.gather(*(run.start_router(number) for number in ROUTERS))
    await run.until_ready(*ROUTERS)
    await asyncio.sleep(1.0)
    if run.trouble:
        for worker in run.workers[:SPOILERS]:
            worker.hook = spoiler(run)
        run.note(f"workers i-1 and i-2 spoil each {SPOILED_EACH}th of their streams")
    calls = []
    for number in range(STREAMS):
        # Twelve kinds of prompt, by their first part, so that all workers get some.
        prefix = f"{5 + number % 12:x}c1e07a2:800,{run.random.getrandbits(32):x}:250"
        router = ROUTERS[number % len(ROUTERS)]
        calls.append(asyncio.ensure_future(run.stream(router, X_Prompt_Prefix=prefix)))
        await asyncio.sleep(GAP_S)
    answers = await asyncio.gather(*calls)
    whole = [one for one in answers if one.status == 200 and one.complete]
    lacking = []
    for one in whole:
        ids = [number for number, _ in one.events]
        missing = sorted(set(range(1, EVENTS + 1)) - set(ids))
        if missing:
            lacking.append(one)
            run.note(f"{one.attempt} ended as complete without events {missing}: {ids}")
    run.note(f"{len(whole)} of {STREAMS} streams ended as complete, {len(lacking)} lack a piece")
    if len(whole) < STREAMS * 3 // 4:
        raise RuntimeError("too few streams were served to judge")
    if lacking:
        raise case.Broken(f"ORDER: {len(lacking)} streams ended as complete and lack a piece")


if __name__ == "__main__":
    sys.exit(case.play(Path(__file__).resolve().parent, body))
