"""Tests the quarantine of requests that crash the endpoints they run on, over all routers.

Without it up to eight of nine engines are down for seconds at a time, and streams are cut and
requests refused or answered 502 over a whole day.

A request crashes the engine that begins to run it, within a tenth of a second, and everything that
runs there. Its router retries it at the next engine, which crashes as well. The caller gets a 502
and repeats the request under another id at another router, which does not know it. The engines are
back after some seconds, as new incarnations, and crash again. An id names one attempt only, so that
requests must be recognized by their fingerprint.
"""

from __future__ import annotations

import asyncio
import json
import time

import pytest
import urllib3
from crashing_pool import CrashingPool
from gateway_site import KEY, Answer, Fleet, play, until

from tamarack_core.fingerprint import fingerprint
from tamarack_ctl.main import main
from tamarack_gateway.gateway import Gateway
from tamarack_standins.platform_worker import PlatformWorker, Script

CONTACT_S = 1.0
"""Seconds after the third crash from which on arrivals count; the required bound is 3."""

MAX_LATE = 3
"""Allowed arrivals after that time, over all routers."""

FATAL = b"ends whoever runs it"


async def repeat(fleet: Fleet, body: bytes, seconds: float, *, path: str = "/draft/x") -> None:
    """Send one request again and again with new ids, to the routers in turn."""
    routers = [fleet.gateway, *fleet.others]
    until_s, number = time.monotonic() + seconds, 0
    while time.monotonic() < until_s:
        number += 1
        answer = await fleet.try_ask(path, at=routers[number % len(routers)], body=body)
        assert answer is None or answer.status != 200
        await asyncio.sleep(0.05)


@pytest.mark.parametrize("path", ["/draft/x", "/rewrite/x"])
def test_a_request_that_crashes_endpoints_is_quarantined_by_all_routers(path: str) -> None:
    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await fleet.add_routers(2)
            await repeat(fleet, FATAL, 4.0, path=path)
            assert pool.late(FATAL, CONTACT_S) <= MAX_LATE
            answer: Answer = await fleet.ask("/draft/y", body=b"another one")
            assert answer.status == 200

    play(run())


def quarantined(router: Gateway) -> int:
    return router.state.quarantine.quarantined_count


async def until_quarantined(fleet: Fleet, body: bytes = FATAL) -> None:
    """Send a request until all routers quarantine it."""
    routers = [fleet.gateway, *fleet.others]
    while not all(quarantined(router) for router in routers):
        await fleet.try_ask("/draft/x", at=routers[0], body=body)
        await asyncio.sleep(0.05)


def test_a_quarantined_request_is_refused_at_once_as_not_run() -> None:
    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await until_quarantined(fleet)
            arrivals = pool.ends(FATAL)
            answer = await fleet.ask("/draft/x", body=FATAL)
            assert answer.status == 503
            assert "retry-after" not in answer.headers
            assert answer.body.startswith(b"quarantined")
            assert pool.ends(FATAL) == arrivals

    play(run())


def test_others_are_served_while_one_crashes_endpoints() -> None:
    """Failure: a request that only ran on crashing endpoints is refused for minutes.

    One request crashes endpoints; others that run there are cut, and their callers retry them.
    Three crashes under a request must not be enough to make it the culprit.
    """

    async def ask(fleet: Fleet, number: int) -> int:
        body = b"innocent %d" % number
        for _ in range(8):
            answer = await fleet.try_ask("/draft/x", body=body)
            if answer is not None and answer.status == 200 and answer.whole:
                return 1
            await asyncio.sleep(0.1)
        return 0

    async def run() -> None:
        slow = Script(events=6, event_pause_s=0.05, echo=True)
        async with (
            CrashingPool(4, FATAL, script=slow) as pool,
            Fleet({"pool": pool.engines}) as fleet,
        ):
            pool.serve(fleet)
            await fleet.add_routers(1)
            fatal = asyncio.ensure_future(repeat(fleet, FATAL, 3.0))
            asked = []
            for number in range(60):
                asked.append(asyncio.ensure_future(ask(fleet, number)))
                await asyncio.sleep(0.05)
            assert sum(await asyncio.gather(*asked)) == 60
            await fatal
            assert [quarantined(router) for router in (fleet.gateway, *fleet.others)] == [1, 1]

    play(run())


def test_routers_that_start_later_know_the_quarantine() -> None:
    """Failure: after all routers were replaced, a quarantined request crashes endpoints again.

    Its row is in the store, but a new router accepts callers before it has read which requests are
    quarantined.
    """

    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await until_quarantined(fleet)
            await until(lambda: len(fleet.store.rows("quarantine")) == 1)
            arrivals = pool.ends(FATAL)
            await fleet.add_routers(1)
            assert (await fleet.ask("/draft/x", at=fleet.others[0], body=FATAL)).status == 503
            assert pool.ends(FATAL) == arrivals

    play(run())


def test_crashes_seen_by_a_leaving_router_reach_the_others() -> None:
    """Failure: unrelated requests are quarantined while routers are replaced in turn.

    A router that was asked to stop removes itself from the list and serves for its grace time. If
    the others no longer listen to it, they miss the crashes that it detects, and another router
    confirms an unrelated request at a crash under which the leaving router had the culprit.
    """

    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await fleet.add_routers(1)
            leaving = fleet.others[0]
            await until(lambda: len(fleet.gateway._members.known()) == 1)
            left = asyncio.ensure_future(leaving.leave())
            await until(lambda: len(fleet.store.rows("routers")) == 1)
            await asyncio.sleep(0.3)
            await fleet.try_ask("/draft/x", at=leaving, body=FATAL)
            # The request and its shared prefix block.
            assert leaving.state.quarantine.suspect_count == 2
            await until(lambda: fleet.gateway.state.quarantine.suspect_count == 2)
            await left

    play(run())


def test_others_learn_of_a_request_while_the_store_is_down() -> None:
    """Failure: while the store is down, a request crashes endpoints via one router after another.

    A quarantine decision must not reach the others through the store only. It is written once the
    store is back.
    """

    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await fleet.add_routers(2)
            routers = [fleet.gateway, *fleet.others]
            fleet.store.refusing = 503
            for _ in range(2):
                await fleet.try_ask("/draft/x", body=FATAL)
            await until(lambda: all(quarantined(router) for router in routers))
            assert fleet.store.rows("quarantine") == {}
            fleet.store.refusing = 0
            await until(lambda: len(fleet.store.rows("quarantine")) == 1)
            assert [quarantined(router) for router in routers] == [1, 1, 1]

    play(run())


def test_a_plain_request_that_crashes_endpoints_is_quarantined() -> None:
    async def run() -> None:
        async with (
            CrashingPool(3, FATAL, service="web", script=Script()) as pool,
            Fleet({"web": pool.engines}) as fleet,
        ):
            pool.serve(fleet)
            await repeat(fleet, FATAL, 3.0, path="/search/x")
            assert pool.late(FATAL, CONTACT_S) <= MAX_LATE
            assert (await fleet.ask("/search/x", body=b"another one")).status == 200

    play(run())


def test_a_complete_answer_releases_a_quarantined_request_everywhere() -> None:
    """Failure: a request that was answered is quarantined again when the next router starts.

    It is wrongly quarantined while it runs, and is answered completely at a router that is not the
    one to write its row. That router must remove the row from the store as well.
    """

    async def run() -> None:
        slow = Script(events=3, pause_s=0.6, echo=True)
        async with Fleet({"pool": [PlatformWorker("e1", slow)]}) as fleet:
            await fleet.add_routers(2)
            routers = [fleet.gateway, *fleet.others]
            for router in routers:
                body = b"runs at " + router.callers.encode()
                name = fingerprint("shop", "shop.example", b"POST", b"/draft/x", body)
                asked = asyncio.ensure_future(fleet.ask("/draft/x", at=router, body=body))
                await asyncio.sleep(0.2)
                await fleet.store.put("quarantine", name, {"workspace": "shop", "trials": 0})
                await until(lambda: all(quarantined(one) for one in routers))
                assert (await asked).status == 200
                await until(lambda: not any(quarantined(one) for one in routers))
                await until(lambda: fleet.store.rows("quarantine") == {})

    play(run())


def test_operators_list_and_release_quarantined_requests(
    capsys: pytest.CaptureFixture[str],
) -> None:
    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await fleet.add_routers(1)
            await until_quarantined(fleet)
            await until(lambda: len(fleet.store.rows("quarantine")) == 1)
            address = fleet.others[0].metrics_address
            name = fingerprint("shop", "shop.example", b"POST", b"/draft/x", FATAL)
            for command in (["quarantine", address], ["quarantine", address, "--json"]):
                assert await asyncio.to_thread(main, command) == 0
            assert await asyncio.to_thread(main, ["release", address, "unknown"]) == 1
            assert await asyncio.to_thread(main, ["release", address, name]) == 0
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: not any(quarantined(router) for router in routers))
            assert fleet.store.rows("quarantine") == {}
            assert main(["release", "127.0.0.1:9", name]) == 3
            printed = capsys.readouterr().out
            assert name in printed
            assert KEY not in printed
            assert FATAL.decode() not in printed

    play(run())


def test_a_release_that_the_store_does_not_record_is_reported(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Failure: a released request is quarantined again, because its row was still in the store."""

    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await until_quarantined(fleet)
            await until(lambda: len(fleet.store.rows("quarantine")) == 1)
            fleet.store.refusing = 503
            name = next(iter(fleet.store.rows("quarantine")))
            address = fleet.gateway.metrics_address
            assert await asyncio.to_thread(main, ["release", address, name]) == 1
            assert quarantined(fleet.gateway) == 1

    play(run())
    assert "try again" in capsys.readouterr().out


def test_metrics_and_status_show_quarantined_requests() -> None:
    async def run() -> None:
        async with CrashingPool(4, FATAL) as pool, Fleet({"pool": pool.engines}) as fleet:
            pool.serve(fleet)
            await until_quarantined(fleet)
            await fleet.ask("/draft/x", body=FATAL)
            address = fleet.gateway.metrics_address
            url = f"http://{address}/metrics"
            page = (await asyncio.to_thread(urllib3.request, "GET", url)).data.decode()
            assert 'state{name="quarantined_requests"} 1.0' in page
            url = f"http://{address}/quarantine"
            status = json.loads((await asyncio.to_thread(urllib3.request, "GET", url)).data)
            assert status["refused"] >= 1
            assert status["quarantined"][0]["workspace"] == "shop"

    play(run())


def test_an_unreadable_row_quarantines_nothing() -> None:
    async def run() -> None:
        engine = PlatformWorker("e1", Script(events=3))
        async with Fleet({"pool": [engine]}) as fleet:
            for number, row in enumerate((b"\xff", {"trials": -1}, {"trials": 2**70}, [])):
                await fleet.store.put("quarantine", f"f{number}", row)
            await fleet.store.put("quarantine", "good", {"workspace": "shop", "trials": 0})
            await until(lambda: quarantined(fleet.gateway) == 1)
            assert (await fleet.ask("/draft/x")).status == 200

    play(run())
