"""CONFIG: a machine that is added after a drill of the store serves a key that was taken away."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from standins.case import Record, play  # noqa: E402
from standins.client import Reply, ask, attempt_id, event_ids, stream_request  # noqa: E402
from standins.fleet import KEY, Fleet, Router, configuration  # noqa: E402
from standins.store import Store  # noqa: E402
from standins.worker import Run, Worker, chunk, event, head_of  # noqa: E402

ROUTERS, WORKERS = 3, 3
REVOKE_S = 5.0
"""The bound `revokeMs` of the settings."""

OTHER_KEY = "k7b2ex5wa5xwyhks8nbk"
COPY_AGE_S = 4.3
AWAY_S = 0.5
WRITTEN_AGAIN_S = 2.0
"""Age of the copy as the store comes back, its absence, and the time until the operator has written
again what was lost: the pages name no time for that, but two seconds for the workers' entries."""

BEFORE_S = 0.2
"""Time from the copy to the acknowledgement of the configuration that takes the key away."""

CLIENT_GAP_S = 0.1
EVENTS = 5


async def case(record: Record, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    store = Store()
    await store.start()
    both = [{"name": "hule930", "apiKeys": [KEY, OTHER_KEY], "priority": 1}]
    one = [{"name": "hule930", "apiKeys": [OTHER_KEY], "priority": 1}]
    await store.put("op", "config", configuration(7, tenants=both))

    async def answer(run: Run, writer: asyncio.StreamWriter) -> bool:
        record.note(f"{run.worker} runs {run.attempt}")
        kind = "Content-Type: text/event-stream"
        events = b"".join(event(number, run.worker) for number in range(1, EVENTS + 1))
        writer.write(head_of(run, kind, "Transfer-Encoding: chunked") + chunk(events) + chunk(b""))
        return True

    workers = [Worker(f"i-llm{number}", "llm-pool", answer) for number in range(WORKERS)]
    for worker in workers:
        await worker.start()
        await store.put("servers", worker.name, worker.entry())
    sent_s: dict[str, float] = {}

    async def send(router: Router, key: str) -> Reply:
        attempt = attempt_id()
        if key == KEY:
            sent_s[attempt] = time.monotonic()
        record.note(f"a client sends {attempt} to {router.name} with the key {key}")
        reply = await ask(router.front, stream_request("/replan/1", attempt, key=key), attempt)
        record.note(f"{attempt} is answered {reply.status}, events {event_ids(reply.body)}")
        return reply

    async with Fleet(ROUTERS, store.address) as fleet:
        # The routers hear each other, and both keys are served.
        await asyncio.sleep(1.0)
        for router in fleet.routers:
            for key in (KEY, OTHER_KEY):
                if (await send(router, key)).status != 200:
                    raise RuntimeError("a key is not served before anything has happened")
        copy = store.copy()
        copied_s = time.monotonic()
        await asyncio.sleep(BEFORE_S)
        await store.put("op", "config", configuration(8, tenants=one))
        revoked_s = time.monotonic()
        record.note(f"version 8 of the configuration, without the key {KEY}, is acknowledged")
        await asyncio.sleep(copied_s + COPY_AGE_S - AWAY_S - time.monotonic())
        if trouble:
            store.refusing = True
            record.note("the store is away")
            await asyncio.sleep(AWAY_S)
            await store.restore(copy)
            store.refusing = False
            age_s = time.monotonic() - copied_s
            record.note(f"the store is back from a copy {age_s:.2f} s old, as era {store.era}")
        else:
            await asyncio.sleep(AWAY_S)
        back_s = time.monotonic()
        added = await fleet.add()
        record.note(f"{added.name} is added")
        await added.until_ready()
        record.note(f"{added.name} is ready")
        written = False
        until_s = revoked_s + REVOKE_S + 4.0
        while time.monotonic() < until_s:
            if trouble and not written and time.monotonic() >= back_s + WRITTEN_AGAIN_S:
                written = True
                await store.put("op", "config", configuration(8, tenants=one))
                record.note("the operator writes version 8 again")
            for router in (added, fleet.routers[0]):
                await send(router, KEY)
            await asyncio.sleep(CLIENT_GAP_S)
        if (await send(added, OTHER_KEY)).status != 200:
            raise RuntimeError("the added machine does not serve the other key")
    late = []
    for run in (run for worker in workers for run in worker.runs if run.attempt in sent_s):
        after_s = sent_s[run.attempt] - revoked_s
        if after_s > REVOKE_S:
            late.append(run.attempt)
            record.note(
                f"CONFIG is broken: {run.attempt} ran, sent {after_s:.2f} s after the "
                "acknowledgement of the configuration that took its key away"
            )
    for worker in workers:
        await worker.crash()
    store.close()
    record.note(f"{len(sent_s)} requests with the key, {len(late)} ran that had to be refused")
    return not late


if __name__ == "__main__":
    play(FOLDER, case)
