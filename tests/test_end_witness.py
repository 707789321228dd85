"""What counts as the end of an endpoint, and what does not."""

from __future__ import annotations

import asyncio

from crashing_pool import CrashingPool
from gateway_site import Fleet, play, until

from tamarack_gateway.end_witness import UNCONFIRMED_MS
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, Script

FATAL = b"ends whoever runs it"
STREAM = Script(events=3, echo=True)


def suspects(fleet: Fleet) -> int:
    return len(fleet.gateway.state.quarantine.suspects(100))


async def list_behind(fleet: Fleet, engine: PlatformWorker, link: FaultProxy) -> dict[str, object]:
    """List an engine at a link's address, and wait until the router knows; returns the entry."""
    entry = {**engine.entry("pool"), "address": link.address}
    await fleet.store.put("servers", engine.name, entry)
    book = fleet.gateway.state.book
    await until(lambda: any(e.address == link.address for e in book.usable("pool")))
    return entry


def test_an_endpoint_that_only_resets_a_connection_has_not_ended() -> None:
    """Symptom: requests are quarantined that met spoilt answers only.

    Sequence: an endpoint resets connections in the middle of answers, four times to one request,
    and goes on. Cause: a broken answer is taken for the end of the endpoint.
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


def test_an_endpoint_that_is_silent_or_spoils_answers_has_not_ended() -> None:
    async def run() -> None:
        spoilt = Script(events=8, cut_after=1)
        engine = PlatformWorker("e1", spoilt, Script(truncated=True), Script(attempt="x"), STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            for _ in range(3):
                await fleet.ask("/rewrite/x", body=b"same")
            assert suspects(fleet) == 0

    play(run())


def test_an_end_is_seen_where_something_in_between_accepts_connections() -> None:
    """Symptom: behind a proxy of the platform a request ends endpoints for ever.

    Sequence: the endpoint ends; a connection to its address is accepted by what stands before it,
    and closed at once. Cause: only a refused connection counted as proof.
    """

    async def run() -> None:
        engine = PlatformWorker("e1", STREAM)
        engine.fatal = frozenset((FATAL,))
        async with Fleet({"pool": [engine]}) as fleet, FaultProxy(engine.address) as link:
            await list_behind(fleet, engine, link)
            assert (await fleet.ask("/rewrite/x", body=FATAL)).status == 502
            assert suspects(fleet) == 1
            # A full endpoint closes new connections as well, and may take work again soon.
            assert fleet.gateway.state.usable("pool") == []
            await until(lambda: len(fleet.gateway.state.usable("pool")) == 1)

    play(run())


def test_what_is_sent_to_an_endpoint_after_its_end_is_not_suspected() -> None:
    """Symptom: requests of callers who repeat them are quarantined, and have ended nothing.

    Sequence: an endpoint ends behind something that goes on to accept connections for it; requests
    are sent there and break off, again and again until it is back. Cause: each counted as one that
    the endpoint had when it ended. Evidence: a soak's logs with hundreds of lines of one end, and
    an innocent request at two ends within 22 ms.
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


def test_an_end_is_proved_by_the_next_life_where_nothing_else_could_be_asked() -> None:
    """Symptom: a request ends endpoints for ever while paths to these are disturbed.

    Sequence: the endpoint ends, and its address does not answer; its next life is listed under the
    same name. Cause: what could not be proved at once was forgotten.
    """

    async def run() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet, FaultProxy(engine.address) as link:
            entry = await list_behind(fleet, engine, link)
            engine.answering.clear()
            asked = asyncio.ensure_future(fleet.try_ask("/rewrite/x", body=b"there"))
            await until(lambda: len(engine.arrived) == 1)
            link.reset_open()
            await asked
            assert suspects(fleet) == 0
            next_life = {**entry, "born": BORN_MS + 1_000}
            await fleet.store.put("servers", "e1", next_life)
            await until(lambda: suspects(fleet) == 1)

    play(run())


def test_broken_answers_that_grow_old_while_they_are_looked_at_cost_nothing() -> None:
    """Symptom: requests whose answers break off are answered 500, at any endpoint, for good.

    Sequence: an answer breaks off and its endpoint's end is not proved; the entry goes just before
    the answer is too old to count, and the look that follows is longer. Cause: an empty list was
    kept of it, whose last item was asked for each time.
    """

    async def run() -> None:
        engines = [PlatformWorker(f"e{n}", Script(reset=True), STREAM) for n in (1, 2)]
        async with Fleet({"pool": engines}) as fleet:
            witness = fleet.gateway._witness
            await fleet.ask("/rewrite/x", body=b"breaks off")
            (look,) = witness._unconfirmed.values()
            look.lost = [one._replace(at_ms=one.at_ms - UNCONFIRMED_MS) for one in look.lost]
            witness._keep_unconfirmed(look)
            assert witness._unconfirmed == {}
            for number in range(2):
                assert (await fleet.ask("/rewrite/x", body=b"%d" % number)).status != 500

    play(run())


def test_an_endpoint_that_ended_gets_no_work_though_it_is_listed() -> None:
    """Symptom: after an end each router finds out by refused connections of its own, for seconds.

    Cause: an entry that has not lapsed yet was believed against proof.
    """

    async def run() -> None:
        async with (
            CrashingPool(3, FATAL, back_s=60.0) as pool,
            Fleet({"pool": pool.engines}) as fleet,
        ):
            pool.serve(fleet)
            await fleet.add_routers(1)
            assert (await fleet.ask("/rewrite/x", body=FATAL)).status == 502
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: all(len(r.state.usable("pool")) == 2 for r in routers))
            assert len(fleet.gateway.state.book.usable("pool")) == 3

    play(run())
