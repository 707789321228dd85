"""A router loses power just before the first worker of a new version: its streams are refused."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
case = import_module("standins-2.case")
client = import_module("standins-2.client")
worker_module = import_module("standins-2.worker")

ROUTERS = (1, 2, 3)
LOST = 1
DARK_S = 3.5
GAP_S = 3.2
"""Clients abandon a stream after the longest of 2 s, 4 x 800 ms and 8 x 400 ms."""
DEADLINE_S = 12.0
TRIES = 4
STREAMS = 30
EVENTS = 57
PACE_S = 0.12
NEW_VERSION_S = 1.0
"""Time from the loss of power to the first entry of a worker of the new version."""


async def take_up(run, progress, number, sent_s, attempts):
    """A client takes its stream up, and comes back after a refusal as it is told."""
    last = progress.events[-1][0]
    for attempt in range(TRIES):
        answer = await run.stream(
            2 + (number + attempt) % 2,
            Resumes=progress.attempt,
            Last_Event_Id=str(last),
            X_Deadline_Ms=str(int(1000 * (sent_s + DEADLINE_S - time.monotonic()))),
            until_events=3,
        )
        attempts.append(answer)
        if answer.status != 503:
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))


async def body(run):
    """Let a router lose power, and take up its streams at the others."""
    await run.begin()
    for number in range(1, 4):
        worker = worker_module.Worker(f"i-{number}", "llm-pool", events=EVENTS, pace_s=PACE_S)
        await run.add_worker(worker)
    await asyncio.gather(*(run.start_router(number) for number in ROUTERS))
    await run.until_ready(*ROUTERS)
    await asyncio.sleep(5.0)

    begun = [client.Attempt("", "") for _ in range(STREAMS)]
    sent_s = time.monotonic()
    calls = [asyncio.ensure_future(run.stream(LOST, progress=one)) for one in begun]
    await asyncio.sleep(1.5)
    lost_s = time.monotonic()
    if run.trouble:
        # Without power a machine does not answer and connections to it hang: it is stopped, and
        # killed before it could go on.
        run.signal(LOST, signal.SIGSTOP)
    await asyncio.sleep(NEW_VERSION_S)
    for number in (4, 5):
        worker = worker_module.Worker(
            f"i-{number}", "llm-pool", events=EVENTS, pace_s=PACE_S, version="v2"
        )
        await run.add_worker(worker)
    await asyncio.sleep(lost_s + GAP_S - time.monotonic())
    for call in calls:
        call.cancel()
    open_ones = [one for one in begun if one.events and not one.complete]
    run.note(f"clients abandon {len(open_ones)} open streams at router {LOST}")
    attempts, news = [], []
    ups = [
        asyncio.ensure_future(take_up(run, one, number, sent_s, attempts))
        for number, one in enumerate(open_ones)
    ]
    new = [asyncio.ensure_future(run.stream(2 + n % 2, until_events=3)) for n in range(STREAMS)]
    await asyncio.sleep(lost_s + DARK_S - time.monotonic())
    if run.trouble:
        run.signal(LOST, signal.SIGKILL)
        await run.ended(LOST)
        await run.start_router(LOST)
    await asyncio.gather(*ups)
    news = await asyncio.gather(*new)
    gone_on = [one for one in attempts if one.events]
    began = [one for one in news if one.events]
    run.note(f"take-ups by status: {case.by_status(attempts)}, new: {case.by_status(news)}")
    run.note(
        f"{len(gone_on)} of {len(open_ones)} streams go on, in {len(attempts)} take-ups; "
        f"{len(began)} of {len(news)} new ones begin"
    )
    if len(open_ones) < 12 or len(began) < len(news) // 2:
        raise RuntimeError("too few streams to judge")
    if len(gone_on) / len(attempts) < len(began) / len(news) / 2:
        raise case.Broken(
            f"LOST: {len(gone_on)} of {len(open_ones)} streams taken up at machines in touch go "
            f"on, {len(began)} of {len(news)} new ones begin"
        )


if __name__ == "__main__":
    sys.exit(case.play(Path(__file__).resolve().parent, body))
