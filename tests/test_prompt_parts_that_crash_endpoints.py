"""Tests the quarantine of prompt parts that crash the endpoints on which an answer begins.

Requests with such a part are never alike, so that none of them is seen to crash two endpoints.
Those without it share caller, route and all other parts with them, and must be served.
"""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

import pytest
from crashing_pool import CrashingPool
from gateway_site import KEY, Fleet, configuration, play

from tamarack_standins.platform_worker import Script

BAD = b"badbad01"

KNOWN_CRASHES = 5
"""Crashes after which a part counts as known."""

CONTACT_S = 3.0
"""Seconds after them from which on arrivals count."""

MAX_LATE = 3
"""Allowed arrivals after that time, over all routers."""

LEAST_SERVED = 0.5
"""Required fraction of the requests without the part that are served at the first attempt, from
twice `CONTACT_S` after those crashes on."""

FATAL = Script(fatal=True, pause_s=0.06)
SOUND = Script(events=5, event_pause_s=0.04, echo=True)
OTHER_KEY = "key-two"


class Case(NamedTuple):
    """Requests with and without the fatal part.

    Attributes
    ----------
    path
        Path of all requests; streams of `/rewrite/` may not be resumed.
    bad
        Prefix blocks of requests with the part, and `sound` those of successive others; each
        request gets a last block of its own.
    keys
        Keys of the callers of requests with the part.
    per_s
        Requests with the part per second.
    script
        How they are answered until the crash.
    """

    path: str = "/draft/x"
    bad: str = "aa:200,badbad01:100"
    sound: tuple[str, ...] = tuple(f"aa:200,c{number}:100" for number in range(6))
    keys: tuple[str, ...] = (KEY,)
    per_s: float = 5.0
    script: Script = FATAL


CASES = {
    "middle": Case(),
    "first": Case(bad="badbad01:100,c1:100"),
    "not-resumable": Case(path="/rewrite/x"),
    "companion": Case(
        bad="aa:200,dd:50,badbad01:100",
        sound=tuple(f"aa:200,c{number}:100{',dd:50' * (number == 3)}" for number in range(6)),
    ),
    "two-workspaces": Case(keys=(KEY, OTHER_KEY)),
    "seldom": Case(per_s=1.0),
    "many": Case(per_s=40.0),
    "two-events": Case(script=FATAL._replace(events=2)),
    "half-an-event": Case(script=FATAL._replace(events=1, cut_after=0)),
    "unframed-half-an-event": Case(script=FATAL._replace(events=1, cut_after=0, unframed=True)),
    "unframed-two-events": Case(script=FATAL._replace(events=2, unframed=True)),
}


class Load:
    """Callers that send both kinds of requests to all routers in turn."""

    def __init__(self, fleet: Fleet, case: Case) -> None:
        self._fleet = fleet
        self._case = case
        self._number = 0
        self.served: list[tuple[float, bool]] = []

    async def run(self, seconds: float, *, bad_after_s: float) -> None:
        """Send requests; waits for all answers."""
        until_s = time.monotonic() + seconds
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._sound(tasks, until_s))
            await asyncio.sleep(bad_after_s)
            tasks.create_task(self._bad(tasks, until_s))

    def served_after(self, at_s: float) -> float:
        """Fraction of the requests without the part sent after a time that were served."""
        outcomes = [served for sent_s, served in self.served if sent_s >= at_s]
        return sum(outcomes) / len(outcomes)

    async def _sound(self, tasks: asyncio.TaskGroup, until_s: float) -> None:
        sound = self._case.sound
        while time.monotonic() < until_s:
            tasks.create_task(self._ask_sound(sound[self._number % len(sound)]))
            await asyncio.sleep(0.04)

    async def _bad(self, tasks: asyncio.TaskGroup, until_s: float) -> None:
        keys = self._case.keys
        while time.monotonic() < until_s:
            key = keys[self._number % len(keys)]
            tasks.create_task(self._ask(self._case.bad, key))
            await asyncio.sleep(1.0 / self._case.per_s)

    async def _ask_sound(self, blocks: str) -> None:
        sent_s = time.monotonic()
        served = await self._ask(blocks, KEY)
        self.served.append((sent_s, served))

    async def _ask(self, blocks: str, key: str) -> bool:
        self._number += 1
        number = self._number
        routers = [self._fleet.gateway, *self._fleet.others]
        answer = await self._fleet.try_ask(
            self._case.path,
            at=routers[number % len(routers)],
            body=b"body %d" % number,
            X_Prompt_Prefix=f"{blocks},e{number:x}:50",
            Authorization=f"Token {key}",
        )
        return answer is not None and answer.status == 200 and answer.whole


def tenants() -> list[dict[str, object]]:
    """Two workspaces with a key each."""
    return [{"name": "shop", "apiKeys": [KEY]}, {"name": "other", "apiKeys": [OTHER_KEY]}]


@pytest.mark.parametrize("name", CASES)
def test_a_prompt_part_that_crashes_endpoints_is_quarantined_and_others_are_served(
    name: str,
) -> None:
    """Failure: requests that share one part crash endpoint after endpoint."""
    case = CASES[name]

    async def run() -> None:
        async with (
            CrashingPool(
                6,
                replacement_s=1.0,
                script=SOUND,
                fatal_blocks=frozenset((BAD.decode(),)),
                fatal_script=case.script,
            ) as pool,
            Fleet({"pool": pool.engines}) as fleet,
        ):
            await fleet.store.put("op", "config", configuration(2, tenants=tenants()))
            pool.serve(fleet)
            await fleet.add_routers(2)
            await fleet.until_acquainted()
            load = Load(fleet, case)
            await load.run(11.0, bad_after_s=1.0)
            late = pool.late_after_crashes(BAD, CONTACT_S, crashes=KNOWN_CRASHES)
            crashes = len(pool.ended_s)
            last_s = pool.ended_s[min(KNOWN_CRASHES, crashes) - 1]
            served = load.served_after(last_s + 2 * CONTACT_S)
            print(f"{name}: {crashes} crashes, {late} late, {served:.2f} served")
            assert late <= MAX_LATE, f"{crashes} crashes, {late} late, {served:.2f} served"
            assert served >= LEAST_SERVED, f"{crashes} crashes, {late} late, {served:.2f} served"

    play(run())
