"""BUDGET: two rolling restarts make the routers forget a request that crashes its workers."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from standins.case import Record, play  # noqa: E402
from standins.client import ask, attempt_id, event_ids, stream_request  # noqa: E402
from standins.fleet import CONTACT_S, Fleet, Router, configuration  # noqa: E402
from standins.store import Store  # noqa: E402
from standins.worker import Run, Worker, chunk, event, head_of  # noqa: E402

ROUTERS, WORKERS = 3, 5
ALLOWED = 3
"""Retries of such a request that may reach workers late."""

FATAL = b"the request that crashes its worker"
CRASH_S, BACK_S = 0.06, 1.5
EVENTS, EVENT_S = 30, 0.1
ROLL_GAP_S, GRACE_S = 1.3, 8.0
RETRY_S = 2.5


class Pool:
    """Workers that a request crashes; they are back after a while under their ids."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self._returns: list[asyncio.Task[None]] = []
        self.workers: list[Worker] = []
        self.crashed_s: list[float] = []

    async def start(self) -> None:
        """Start all workers and register them."""
        for number in range(WORKERS):
            worker = Worker(f"i-llm{number}", "llm-pool", self._answer)
            await worker.start()
            self.workers.append(worker)
            await self._store.put("servers", worker.name, worker.entry())

    async def stop(self) -> None:
        """End all workers."""
        await asyncio.gather(*self._returns)
        for worker in self.workers:
            await worker.crash()

    async def _answer(self, run: Run, writer: asyncio.StreamWriter) -> bool:
        fatal = run.body == FATAL
        self._record.note(f"{run.worker} runs {run.attempt}{', which crashes it' * fatal}")
        kind = "Content-Type: text/event-stream"
        writer.write(head_of(run, kind, "Transfer-Encoding: chunked"))
        if fatal:
            await asyncio.sleep(CRASH_S)
            self.crashed_s.append(time.monotonic())
            worker = next(one for one in self.workers if one.name == run.worker)
            self._returns.append(asyncio.ensure_future(self._crash(worker)))
            await asyncio.sleep(1.0)
            return False
        for number in range(run.after + 1, EVENTS + 1):
            writer.write(chunk(event(number, run.worker)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(chunk(b""))
        return True

    async def _crash(self, worker: Worker) -> None:
        await worker.crash()
        self._record.note(f"{worker.name} has crashed")
        await asyncio.sleep(BACK_S)
        await worker.start()
        await self._store.put("servers", worker.name, worker.entry())
        self._record.note(f"{worker.name} is back")


async def roll(fleet: Fleet, record: Record) -> None:
    """Stop the routers in turn by SIGTERM; each is started again when it has ended."""

    async def restart(router: Router) -> None:
        record.note(f"{router.name} gets SIGTERM")
        router.signal(signal.SIGTERM)
        await router.ended(GRACE_S)
        await router.start()
        await router.until_ready()
        record.note(f"{router.name} is ready again")

    restarts = []
    for router in fleet.routers:
        restarts.append(asyncio.ensure_future(restart(router)))
        await asyncio.sleep(ROLL_GAP_S)
    await asyncio.gather(*restarts)
    await asyncio.sleep(CONTACT_S)


async def case(record: Record, trouble: bool) -> bool:
    """Play the case; returns whether the rule held."""
    store = Store()
    await store.start()
    rules = configuration(1)
    rules["routes"][0] |= {"resumeStreams": False, "maxAttempts": 1}
    await store.put("op", "config", rules)
    pool = Pool(store, record)
    await pool.start()
    late: list[str] = []
    cut = 0
    async with Fleet(ROUTERS, store.address) as fleet:

        async def sound(number: int) -> None:
            nonlocal cut
            attempt = attempt_id()
            data = stream_request(f"/replan/{number}", attempt)
            reply = await ask(fleet.routers[number % ROUTERS].front, data, attempt)
            if reply.status == 200 and not reply.whole:
                cut += 1
                record.note(f"the sound stream {attempt} is cut after {event_ids(reply.body)[-1:]}")

        async def fatal(number: int) -> None:
            others = [asyncio.ensure_future(sound(one)) for one in range(2 * WORKERS)]
            await asyncio.sleep(0.5)
            attempt, router = attempt_id(), fleet.routers[number % ROUTERS]
            third_s = pool.crashed_s[2] if len(pool.crashed_s) > 2 else None
            is_late = third_s is not None and time.monotonic() > third_s + CONTACT_S
            record.note(f"a client sends the request as {attempt} to {router.name}")
            data = stream_request("/replan/fatal", attempt).replace(
                b"Content-Length: 5\r\n", b"Content-Length: %d\r\n" % len(FATAL)
            )
            reply = await ask(router.front, data.removesuffix(b"draft") + FATAL, attempt)
            record.note(f"{attempt} is answered {reply.status}, whole: {reply.whole}")
            reached = any(run.attempt == attempt for w in pool.workers for run in w.runs)
            if is_late and reached:
                late.append(attempt)
                record.note(f"{attempt} has reached a worker late, the {len(late)}. one")
            await asyncio.gather(*others)
            await asyncio.sleep(RETRY_S)

        await fatal(0)
        await fatal(1)
        if trouble:
            await roll(fleet, record)
        await fatal(2)
        await asyncio.sleep(CONTACT_S)
        await fatal(3)
        if trouble:
            await roll(fleet, record)
        for number in range(4, 9):
            await fatal(number)
    await pool.stop()
    store.close()
    record.note(
        f"{len(pool.crashed_s)} workers crashed, {len(late)} retries late, {cut} sound streams cut"
    )
    if len(late) > ALLOWED:
        record.note(f"BUDGET is broken: {len(late)} retries reached workers late")
    return len(late) <= ALLOWED


if __name__ == "__main__":
    play(FOLDER, case)
