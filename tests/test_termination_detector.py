"""Tests which events count as the termination of an endpoint."""

from __future__ import annotations

import asyncio

from crashing_pool import CrashingPool
from gateway_site import Fleet, play, until

from tamarack_core.request_traits import is_block
from tamarack_core.terminations import TERMINATED_UNIDENTIFIED_MS
from tamarack_gateway.termination_detector import UNCONFIRMED_MS
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, Script

FATAL = b"ends whoever runs it"
STREAM = Script(events=3, echo=True)


def suspects(fleet: Fleet) -> int:
    """Number of suspected requests, of which all have one shared prefix block."""
    names = [reading.fingerprint for reading in fleet.gateway.state.quarantine.suspects(100)]
    requests = [name for name in names if not is_block(name)]
    assert set(names) - set(requests) == ({"block-aa"} if requests else set())
    return len(requests)


async def list_behind(fleet: Fleet, engine: PlatformWorker, link: FaultProxy) -> dict[str, object]:
    """List an engine at the address of a proxy, and wait until the router knows it."""
    entry = {**engine.entry("pool"), "address": link.address}
    await fleet.store.put("servers", engine.name, entry)
    registry = fleet.gateway.state.registry
    await until(lambda: any(e.address == link.address for e in registry.usable("pool")))
    return entry


def test_a_connection_reset_alone_is_no_termination() -> None:
    """Failure: requests that only got broken answers are quarantined.

    An endpoint resets connections in the middle of four answers to one request, and goes on
    serving. Taking each broken answer for a termination would quarantine the request.
    """

    async def run() -> None:
        bad = Script(reset=True)
        engine = PlatformWorker("e1", *[bad] * 4, STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            for _ in range(4):
                assert (await fleet.ask("/rewrite/x", body=b"same")).status == 502
            assert suspects(fleet) == 0
            assert (await fleet.ask("/rewrite/x", body=b"same")).status == 200
            assert [e.name for e in fleet.gateway.state.usable("pool")] == ["e1"]

    play(run())


def test_silence_and_malformed_answers_are_no_termination() -> None:
    async def run() -> None:
        spoilt = Script(events=8, cut_after=1)
        engine = PlatformWorker("e1", spoilt, Script(truncated=True), Script(attempt="x"), STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            for _ in range(3):
                await fleet.ask("/rewrite/x", body=b"same")
            assert suspects(fleet) == 0

    play(run())


def test_a_termination_behind_a_proxy_is_detected() -> None:
    """Failure: a request keeps crashing endpoints behind a proxy, and is never quarantined.

    After the crash the proxy accepts a connection to the endpoint's address and closes it at once.
    That must count as a termination, like a refused connection.
    """

    async def run() -> None:
        engine = PlatformWorker("e1", STREAM)
        engine.fatal = frozenset((FATAL,))
        async with Fleet({"pool": [engine]}) as fleet, FaultProxy(engine.address) as link:
            await list_behind(fleet, engine, link)
            assert (await fleet.ask("/rewrite/x", body=FATAL)).status == 502
            assert suspects(fleet) == 1
            # A full endpoint closes new connections as well and may accept requests again soon, so
            # the endpoint is only avoided for a while.
            assert fleet.gateway.state.usable("pool") == []
            await until(lambda: len(fleet.gateway.state.usable("pool")) == 1)

    play(run())


def test_requests_sent_after_a_termination_are_not_suspects() -> None:
    """Failure: requests that crashed nothing are quarantined because their callers retry them.

    An endpoint terminates behind a proxy that still accepts connections; requests sent there break
    off until it is back. Without a check of the send time each of them counts as running when the
    endpoint terminated: an unrelated request was counted at two terminations within 22 ms.
    """

    async def run() -> None:
        engine = PlatformWorker("e1", STREAM)
        engine.fatal = frozenset((FATAL,))
        async with Fleet({"pool": [engine]}) as fleet, FaultProxy(engine.address) as link:
            await list_behind(fleet, engine, link)
            await fleet.ask("/rewrite/x", body=FATAL)
            for _ in range(3):
                await until(lambda: len(fleet.gateway.state.usable("pool")) == 1)
                assert (await fleet.ask("/rewrite/x", body=b"later")).status in (502, 503)
            assert suspects(fleet) == 1

    play(run())


def test_a_new_incarnation_confirms_a_termination_behind_a_cut_path() -> None:
    """Failure: a request keeps crashing endpoints while the network paths to them fail.

    The endpoint terminates and its address does not answer; its next incarnation is listed under
    the same name. Broken answers must be kept until then, although nothing can be confirmed at
    first.
    """

    async def run() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet, FaultProxy(engine.address) as link:
            entry = await list_behind(fleet, engine, link)
            engine.answering.clear()
            asked = asyncio.ensure_future(fleet.try_ask("/rewrite/x", body=b"there"))
            await until(lambda: len(engine.received) == 1)
            link.reset_open()
            await asked
            assert suspects(fleet) == 0
            next_entry = {**entry, "born": BORN_MS + 1_000}
            await fleet.store.put("servers", "e1", next_entry)
            await until(lambda: suspects(fleet) == 1)

    play(run())


def test_broken_answers_that_expire_during_a_check_are_dropped() -> None:
    """Failure: every request whose answer breaks off is answered 500, at any endpoint, forever.

    An answer breaks off and no termination is confirmed. The endpoint's entry goes just before the
    answer expires, and the check outlasts it. An empty list of answers must not be kept, since the
    last item of each list is read on every check.
    """

    async def run() -> None:
        engines = [PlatformWorker(f"e{n}", Script(reset=True), STREAM) for n in (1, 2)]
        async with Fleet({"pool": engines}) as fleet:
            detector = fleet.gateway._detector
            await fleet.ask("/rewrite/x", body=b"breaks off")
            (check,) = detector._unconfirmed.values()
            check.lost = [one._replace(at_ms=one.at_ms - UNCONFIRMED_MS) for one in check.lost]
            detector._keep_unconfirmed(check)
            assert detector._unconfirmed == {}
            for number in range(2):
                assert (await fleet.ask("/rewrite/x", body=b"%d" % number)).status != 500

    play(run())


def test_a_terminated_endpoint_that_is_still_listed_gets_no_requests() -> None:
    """Failure: each router detects a termination seconds late, by its own refused connections.

    That happens if an entry that has not expired yet outweighs a confirmed termination.
    """

    async def run() -> None:
        async with (
            CrashingPool(3, FATAL, replacement_s=60.0) as pool,
            Fleet({"pool": pool.engines}) as fleet,
        ):
            pool.serve(fleet)
            await fleet.add_routers(1)
            assert (await fleet.ask("/rewrite/x", body=FATAL)).status == 502
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: all(len(r.state.usable("pool")) == 2 for r in routers))
            assert len(fleet.gateway.state.registry.usable("pool")) == 3

    play(run())


def test_an_endpoint_that_refuses_connections_stays_out_until_it_accepts_them() -> None:
    """Guards against requests that wait for a dead endpoint, which seems to be an idle one."""

    async def run() -> None:
        engine = PlatformWorker("e1", Script(events=100, event_pause_s=0.05), born=None)
        async with Fleet({"pool": [engine]}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            states = [router.state for router in (fleet.gateway, *fleet.others)]
            asking = asyncio.ensure_future(fleet.ask("/draft/x"))
            await until(lambda: bool(engine.received))
            await engine.end()
            await asking
            await until(lambda: not any(state.usable("pool") for state in states))
            until_ms = states[0].clock.now_ms + 3 * TERMINATED_UNIDENTIFIED_MS
            while states[0].clock.now_ms < until_ms:
                assert not any(state.usable("pool") for state in states)
                await asyncio.sleep(0.01)
            async with PlatformWorker("e1", STREAM, born=None, address=engine.address):
                await until(lambda: all(state.usable("pool") for state in states))

    play(run())
