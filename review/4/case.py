"""A router that has just been cut off lets streams go on at another software version."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from importlib import import_module
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
case = import_module("standins-2.case")
client = import_module("standins-2.client")
link = import_module("standins-2.link")
worker_module = import_module("standins-2.worker")

ROUTERS = (1, 2, 3)
KILLED, CUT = 1, 2
EVENTS = 57
"""As in `delivery-notice`; an event each 40 ms."""
STREAMS = 40
NEW_VERSION_S, STREAMS_S, KILL_S = 0.1, 0.4, 1.0
"""Times from the cut to the first workers of a new version, to the streams, and to the kill."""


class Links:
    """Links from one router to the store and, both ways, to the other routers.

    Each router's port for the others lies behind a link; rows of routers name the link's address.
    """

    def __init__(self, run):
        self.run = run
        self.all = []
        self.addresses = {}

    async def start(self):
        """Start the links, before any router."""
        run = self.run
        self.all = [link.Link(run.store.server.address)]
        run.store_links[CUT] = await self.all[0].start(run.host(190))
        for number in ROUTERS:
            one = link.Link(f"{run.host(number)}:7400")
            self.addresses[f"{run.host(number)}:7400"] = await one.start(run.host(190 + number))
            self.all.append(one)
        run.store.on_write = self._translate

    def _translate(self, table, value):
        if table != "routers":
            return value
        row = json.loads(value)
        return json.dumps({**row, "peers": self.addresses[row["peers"]]}).encode()

    def mark(self):
        """What connects from now on belongs to the router that will be cut off."""
        for one in self.all:
            one.mark()

    def cut(self):
        """Cut the router off from the store and from the other routers."""
        for one in self.all:
            one.cut()

    def stop(self):
        """End all links."""
        for one in self.all:
            one.stop()


async def take_up(run, one):
    """A client takes its stream up at a machine that has not failed it, drawn at random."""
    router = run.random.choice([number for number in ROUTERS if number != KILLED])
    last = one.events[-1][0]
    again = await run.stream(
        router, Resumes=one.attempt, Last_Event_Id=str(last), until_events=3
    )
    versions = {data.split()[-1] for _, data in one.events + again.events}
    if len(versions) > 1:
        run.note(f"{one.attempt}, {again.attempt} (router {router}): events of {sorted(versions)}")
    return again, len(versions) > 1


async def body(run):
    """Cut a router off, begin streams at a new version elsewhere, and kill that router."""
    await run.begin()
    links = Links(run)
    await links.start()
    try:
        await scene(run, links)
    finally:
        links.stop()


async def scene(run, links):
    """What happens, with the links started."""
    for number in range(1, 4):
        await run.add_worker(worker_module.Worker(f"i-{number}", "llm-pool", events=EVENTS))
    others = [number for number in ROUTERS if number != CUT]
    await asyncio.gather(*(run.start_router(number) for number in others))
    await run.until_ready(*others)
    await asyncio.sleep(3.0)
    links.mark()
    await run.start_router(CUT)
    await run.until_ready(CUT)
    await asyncio.sleep(5.0)

    if run.trouble:
        run.note(f"router {CUT} is cut off from the store and from the other routers")
        links.cut()
    cut_s = time.monotonic()
    await asyncio.sleep(NEW_VERSION_S)
    for number in (4, 5):
        worker = worker_module.Worker(f"i-{number}", "llm-pool", events=EVENTS, version="v2")
        await run.add_worker(worker)
    await asyncio.sleep(cut_s + STREAMS_S - time.monotonic())
    begun = [client.Attempt("", "") for _ in range(STREAMS)]
    calls = []
    for number, one in enumerate(begun):
        # Prompts of many kinds, by their first part, so that all workers get some.
        prefix = f"{16 + number:x}c1e07a2:800,{run.random.getrandbits(32):x}:250"
        call = run.stream(KILLED, progress=one, X_Prompt_Prefix=prefix)
        calls.append(asyncio.ensure_future(call))
    await asyncio.sleep(cut_s + KILL_S - time.monotonic())
    run.signal(KILLED, signal.SIGKILL)
    await asyncio.gather(*calls)
    open_ones = [one for one in begun if one.events and not one.complete]
    run.note(f"{len(open_ones)} streams are taken up, {time.monotonic() - cut_s:.2f} s on")
    results = await asyncio.gather(*(take_up(run, one) for one in open_ones))
    mixed = sum(is_mixed for _, is_mixed in results)
    run.note(f"take-ups by status: {case.by_status([again for again, _ in results])}")
    run.note(f"{mixed} streams hold events of two software versions")
    if len([again for again, _ in results if again.events]) < STREAMS // 4:
        raise RuntimeError("too few streams went on to judge")
    if mixed > 2:
        raise case.Broken(f"ORDER: {mixed} streams hold events of two software versions")


if __name__ == "__main__":
    sys.exit(case.play(Path(__file__).resolve().parent, body))
