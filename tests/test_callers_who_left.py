"""Requests whose callers have left before they were sent on, and routers that fall behind."""

from __future__ import annotations

import asyncio
import itertools
import socket
import time
from typing import Any

import pytest
from gateway_site import Fleet, addresses_in, connect, play, read_answer, until

from tamarack_core import admitted_placement, loop_lag
from tamarack_core.admission import Admission, Decision
from tamarack_core.loop_lag import LATE_MS, LATE_SAMPLES
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.listeners import ACCEPTS, BACKLOG
from tamarack_gateway.send_notes import SendNotes
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)
DELIVERED_S = 0.02
"""Seconds in which loopback has delivered what was written."""


async def dial(router: Gateway) -> socket.socket:
    """A caller whose calls block the loop: what it does is done before the loop's next round."""
    host, _, port = router.callers.rpartition(":")
    known = set(router._connections)
    caller = socket.create_connection((host, int(port)))
    await until(lambda: bool(router._connections - known))
    return caller


def send_and_leave(callers: list[tuple[socket.socket, bytes]]) -> None:
    """Have callers send a whole request and close, all before the loop's next round."""
    for caller, request in callers:
        caller.sendall(request)
        caller.close()
    time.sleep(DELIVERED_S)


async def all_left(router: Gateway) -> None:
    """Wait until the router has noticed that its callers left."""
    await until(lambda: not router._connections)


def test_a_request_whose_caller_has_left_is_not_sent() -> None:
    """Symptom: endpoints get requests over half a second after their callers have left.

    Sequence: a router's loop is behind for a second. A caller sends a whole request, waits for a
    second to be read, and closes. The loop goes on: it reads the request, and sends it on an idle
    connection to an endpoint before it reads the close, which lay in the same buffer.

    Cause: the loop runs tasks that are ready before it reads sockets in each round. The task that
    the request began was ready one round after the request had been read; the close was read later
    in that same round. Evidence: the router that broke the rule had a full processor and 3,576
    connections; no load is needed, as here, but the order of the two.
    """

    async def story() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet:
            router = fleet.gateway
            kept = await dial(router)
            kept.sendall(fleet.request("/page/kept"))
            await until(lambda: len(web.arrived) == 1 and not next(iter(router._connections)).busy)
            callers = [kept, *[await dial(router) for _ in range(5)]]
            send_and_leave([(caller, fleet.request("/page/left")) for caller in callers])
            await all_left(router)
            assert (await fleet.ask("/page/stays")).status == 200
            assert [a.target for a in web.arrived] == ["/page/kept", "/page/stays"]

    play(story())


def test_a_held_request_whose_caller_has_left_is_not_sent(monkeypatch: pytest.MonkeyPatch) -> None:
    """Symptom: the same, of requests that were held back for an engine's queue.

    Sequence: the loop falls behind while a request is held; in the round in which the holding ends
    its caller closes. Cause: the held task was ready before the close was read.
    """

    async def story() -> None:
        engine = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [engine]}) as fleet:
            assert (await fleet.ask("/draft/1")).status == 200
            loop, admit = asyncio.get_running_loop(), admitted_placement.admit
            caller = await dial(fleet.gateway)

            def hold_once(**facts: Any) -> Decision:
                monkeypatch.setattr(admitted_placement, "admit", admit)
                loop.call_later(0.031, caller.close)
                loop.call_soon(time.sleep, 0.06)
                return Decision(Admission.HELD, "the queue will shrink", 30.0)

            monkeypatch.setattr(admitted_placement, "admit", hold_once)
            caller.sendall(fleet.request("/draft/2"))
            await all_left(fleet.gateway)
            assert (await fleet.ask("/draft/3")).status == 200
            assert [a.target for a in engine.arrived] == ["/draft/1", "/draft/3"]

    play(story())


def test_a_request_is_not_sent_again_for_a_caller_that_has_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: a second endpoint gets a request after its caller has left.

    Sequence: the first endpoint fails a request that may be repeated; its caller closes just before
    the router reads that. Cause: the request was sent again before the close was read.
    """

    async def story() -> None:
        workers = [PlatformWorker(name) for name in ("w1", "w2")]
        async with Fleet({"web": workers}) as fleet:
            records = fleet.gateway.state.records
            while not all(worker.arrived for worker in workers):
                assert (await fleet.ask("/page/1")).status == 200
                for worker in workers:
                    slow_ms = 10_000.0 * len(worker.arrived)
                    records[worker.name].succeeded(0.0, slow_ms)
            for worker in workers:
                worker.arrived.clear()
                worker._scripts = [Script(status=500)]
            caller = await dial(fleet.gateway)
            failure = SendNotes.failure

            def leave_and_fail(notes: SendNotes, *facts: Any, **more: Any) -> None:
                caller.close()
                time.sleep(DELIVERED_S)
                failure(notes, *facts, **more)

            monkeypatch.setattr(SendNotes, "failure", leave_and_fail)
            caller.sendall(fleet.request("/search/1"))
            await all_left(fleet.gateway)
            await asyncio.sleep(DELIVERED_S)
            assert sum(len(worker.arrived) for worker in workers) == 1

    play(story())


def test_a_connection_that_was_not_used_is_as_old_as_before() -> None:
    """Symptom: a request that must not be repeated is answered 502, and may have run.

    Sequence: a connection to an endpoint is taken for a caller that turns out to have left, and is
    kept; the next request is sent on it while the endpoint closes it for its age. Cause: its idle
    time began anew, though the endpoint's had not.
    """

    async def story() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 200
            pool = fleet.gateway._pool
            ((idle,),) = pool._idle.values()
            idle_since_ms = idle.idle_since_ms
            send_and_leave([(await dial(fleet.gateway), fleet.request("/page/left"))])
            await all_left(fleet.gateway)
            assert list(pool._idle.values()) == [[idle]]
            assert idle.idle_since_ms == idle_since_ms

    play(story())


def overload(router: Gateway, monkeypatch: pytest.MonkeyPatch) -> None:
    """Have a router find its loop far behind, and not recover."""
    monkeypatch.setattr(loop_lag, "CALM_SAMPLES", 1_000_000)
    monkeypatch.setattr(loop_lag, "TAKE_MS", 0.0)
    for _ in range(LATE_SAMPLES):
        assert router._watch._timer is not None
        router._watch._timer.cancel()
        router._watch._sample(router.state.clock.now_ms - 10 * LATE_MS)
    assert router._watch.overloaded


async def addresses_told(router: Gateway) -> list[str]:
    """What a caller that asks for addresses is told."""
    reader, writer = await connect(router.site_addresses[-1])
    writer.write(b"GET /api/resolve?name=x&region=r&zone=a HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await read_answer(reader)
    writer.close()
    return addresses_in(answer)


def test_an_overloaded_router_sends_callers_elsewhere(monkeypatch: pytest.MonkeyPatch) -> None:
    """Symptom: callers wait for a second to be read at one router, while the others are idle.

    Sequence: a caller with hundreds of requests a second keeps to one router, which is small. Its
    processor is full and its loop falls seconds behind; all its callers give up, unread. Cause: it
    read all that came, and was named to callers as before. Evidence: the one router took 962 new
    connections in the second in which the others took 8 each, and held 3,576.

    Those that come all the same are answered, not closed: a caller whose connection is reset takes
    the address for dead. Where it keeps to that address it has no other, and all its requests fail
    until it asks for addresses again. Evidence: 1,144 tries cut without an answer in twelve seconds
    at one such router, and 6 once it answered.
    """

    async def story() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet, fleet.router("router-2") as router:
            other = fleet.gateway
            await until(
                lambda: router.state.ready and router.callers in str(other._members.known())
            )
            kept_reader, kept_writer = await connect(router.callers)
            await until(lambda: len(router._connections) == 1)
            overload(router, monkeypatch)
            told = [await addresses_told(other)]
            while len(told) < 100 and told[-1] != [other.callers]:
                await asyncio.sleep(0.01)
                told.append(await addresses_told(other))
            assert told[-1] == [other.callers]
            assert await addresses_told(router) == [other.callers]
            new_reader, new_writer = await connect(router.callers)
            for reader, writer in ((new_reader, new_writer), (kept_reader, kept_writer)):
                for number in range(2):
                    writer.write(fleet.request(f"/page/{number}"))
                    answer = await read_answer(reader)
                    assert answer.status == 503
                    assert "connection" not in answer.headers
                    assert 0 < float(answer.headers["retry-after"]) < 0.5
                writer.close()
            assert not web.arrived

    play(story())


def test_where_most_routers_are_overloaded_all_are_named() -> None:
    """Symptom: callers are told no address, or those of a few routers that are then overrun.

    Sequence: so much is asked that most loops fall behind. Cause: whoever was behind was left out.
    """
    members = FleetMembers()
    for number in range(5):
        members.heard(Member(f"r{number}", 1, "a", f"c{number}", True, 0.0, overloaded=number > 1))
    me = Member("me", 1, "a", "c-me", True, 0.0, overloaded=True)
    assert len(members.addresses(me, "a", 0.0)) == 6
    members.heard(Member("r2", 1, "a", "c2", True, 0.0))
    assert sorted(members.addresses(me, "a", 0.0)) == ["c0", "c1", "c2"]


def test_a_listener_has_its_whole_queue_from_the_first_call_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: callers of one router find no connection, though it is alive and has room.

    Sequence: hundreds connect within a tenth of a second, while its loop is busy for as long.
    Cause: the loop's server opened the queue for as many as it accepts in one round, 32, and a
    second call that made it longer had no effect there. Evidence: of the tries of twelve seconds
    477 found no connection, nearly all at the router with most callers; 16 with one length.
    """
    lengths: list[int] = []
    listen = socket.socket.listen

    def noted(self: socket.socket, backlog: int = 0, /) -> None:
        lengths.append(backlog)
        listen(self, backlog)

    async def story() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet:
            lengths.clear()
            async with fleet.router("router-2") as router:
                assert lengths and set(lengths) == {BACKLOG}
                await until(lambda: router.state.ready)
                assert (await fleet.ask("/page/1", at=router)).status == 200

    monkeypatch.setattr(socket.socket, "listen", noted)
    play(story())


def test_few_connections_are_accepted_in_one_round() -> None:
    """Symptom: a router notices seconds later that it is overloaded, and reads nothing meanwhile.

    Sequence: a thousand callers connect at once. Cause: the loop accepts as many connections in one
    round as may wait, and each brings work that is done before the next reading.
    """

    async def story() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            host, _, port = fleet.gateway.callers.rpartition(":")
            waiting = 3 * ACCEPTS
            callers = [socket.create_connection((host, int(port))) for _ in range(waiting)]
            counts = [0]
            async with asyncio.timeout(5):
                while counts[-1] < waiting:
                    await asyncio.sleep(0)
                    counts.append(len(fleet.gateway._connections))
            assert max(b - a for a, b in itertools.pairwise(counts)) <= ACCEPTS
            for caller in callers:
                caller.close()

    play(story())
