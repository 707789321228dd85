"""Tests the path of a request through one router, with stand-ins for the platform."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import (
    HOST,
    KEY,
    Fleet,
    addresses_in,
    configuration,
    connect,
    play,
    read_answer,
    until,
)

from tamarack_core.clock import BootClock
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.leaving import plan_leaving
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.endpoint_connection import EndpointConnection
from tamarack_gateway.http_messages import Request
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=5)


def test_a_request_is_answered_by_its_service() -> None:
    async def scenario() -> None:
        web, pool = PlatformWorker("w1"), PlatformWorker("e1", STREAM)
        async with Fleet({"web": [web], "pool": [pool]}) as fleet:
            page = await fleet.ask("/page/1?q=2")
            draft = await fleet.ask("/draft/1")
            assert (page.status, page.body) == (200, b"hello")
            assert draft.whole
            assert draft.body.count(b"id: ") == 5
            received = pool.received[0].headers
            assert web.received[0].target == "/page/1?q=2"
            assert received["x-tenant"] == "shop"
            assert received["x-target-instance"] == "e1"
            assert "authorization" not in received
            assert 0 < int(received["x-deadline-ms"]) <= 4000

    play(scenario())


def test_router_headers_from_callers_are_dropped() -> None:
    """Failure: a worker runs a request for another workspace, or with another request's cache.

    A caller sends headers that only routers may set; they must not be passed on.
    """

    async def scenario() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet:
            await fleet.ask("/page/1", X_Tenant="other", X_Hold="h", Kv_From="1.2.3.4:5/x")
            received = web.received[0].headers
            assert not {"x-tenant", "x-hold", "kv-from"} & received.keys()

    play(scenario())


@pytest.mark.parametrize(
    "head",
    [
        "Transfer-Encoding: chunked\r\nContent-Length: 3",
        "Content-Length: 3\r\nContent-Length: 4",
        "Content-Length: +3",
        "Transfer-Encoding: gzip, chunked",
        "Content-Length : 3",
        "Host: other.example\r\nContent-Length: 3",
    ],
)
def test_a_request_with_ambiguous_framing_is_refused(head: str) -> None:
    """Failure: a worker runs a request that no caller sent.

    A request's framing can be parsed in two ways, and its body holds a second request. Router and
    worker parse it differently (request smuggling).
    """

    async def scenario() -> None:
        web = PlatformWorker("w1")
        async with Fleet({"web": [web]}) as fleet:
            raw = f"POST /page/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n{head}\r\n\r\nabc"
            answer = await fleet.send(raw.encode())
            assert answer.status == 400
            assert not web.received

    play(scenario())


def test_a_caller_reads_the_refusal_of_a_too_long_body() -> None:
    """Failure: a caller with a too long body gets a broken pipe instead of the refusal.

    The router answers 413 while the body still arrives. Closing with unread bytes resets the
    connection, and the caller never reads the answer.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            answer = await fleet.ask("/page/1", body=b"x" * 400_000)
            assert answer.status == 413

    play(scenario())


@pytest.mark.parametrize(
    "script",
    [
        Script(attempt="another"),
        Script(signed=False),
        Script(truncated=True),
        Script(truncated=True, unframed=True),
        Script(reset=True),
    ],
)
def test_an_answer_to_another_request_is_never_passed_on(script: Script) -> None:
    """Failure: a caller gets a success that belongs to another request or is incomplete.

    The worker answers for another attempt, unsigned, or breaks off. The router must not take
    whatever arrives next on the connection for the answer. The request may have run: it must
    neither be retried nor be refused as not run.
    """

    async def scenario() -> None:
        web, other = PlatformWorker("w1", script), PlatformWorker("w2", script)
        async with Fleet({"web": [web, other]}) as fleet:
            answer = await fleet.ask("/page/1")
            assert answer.status == 502
            assert len(web.received) + len(other.received) == 1

    play(scenario())


def test_an_answer_without_a_length_ends_with_an_orderly_close() -> None:
    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1", Script(unframed=True))]}) as fleet:
            answer = await fleet.ask("/page/1")
            assert (answer.status, answer.body) == (200, b"hello")

    play(scenario())


def test_bytes_after_an_answer_belong_to_no_request() -> None:
    """Failure: a caller gets the answer to another caller's request.

    A worker sends a second answer on a persistent connection, where the answer to the next request
    is expected. Such a connection must not be reused.
    """
    extra = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: stray\r\ncontent-length: 5\r\n\r\nwrong"

    async def scenario() -> None:
        web = PlatformWorker("w1", Script(extra=extra), Script())
        async with Fleet({"web": [web]}) as fleet:
            first, second = await fleet.ask("/page/1"), await fleet.ask("/page/2")
            assert (first.body, second.body) == (b"hello", b"hello")
            assert web.connections == 2

    play(scenario())


def test_a_request_that_a_worker_rejects_is_refused_as_not_run() -> None:
    async def scenario() -> None:
        shed = Script(status=503, not_run=True, body=b"")
        async with Fleet({"web": [PlatformWorker("w1", shed)]}) as fleet:
            answer = await fleet.ask("/page/1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0

    play(scenario())


def test_a_503_that_may_have_run_is_not_passed_on() -> None:
    """Failure: a caller repeats a request that has run.

    A worker runs a request and answers 503 without the header that says it has not run. To the
    caller the status alone would mean that.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1", Script(status=503))]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 502

    play(scenario())


def test_an_idempotent_request_is_retried_at_another_endpoint() -> None:
    async def scenario() -> None:
        bad, good = PlatformWorker("w1", Script(status=500)), PlatformWorker("w2")
        async with Fleet({"web": [bad, good]}) as fleet:
            answers = [await fleet.ask("/search/1", method="GET", body=b"") for _ in range(3)]
            assert [answer.status for answer in answers] == [200, 200, 200]

    play(scenario())


def test_an_early_answer_to_a_long_body_does_not_corrupt_the_next_request() -> None:
    """Failure: an endpoint reads the head of a request where the rest of a body is expected.

    An endpoint answers before it has read a long body, keeps the connection open and reads on. The
    next request must not be written before the rest of that body.
    """

    async def scenario() -> None:
        web = PlatformWorker("w1", Script(early=True))
        async with Fleet({"web": [web]}) as fleet:
            bodies = [bytes([65 + number]) * 90_000 for number in range(4)]
            for body in bodies:
                assert (await fleet.ask("/page/1", body=body)).status == 200
            await until(lambda: len(web.received) == len(bodies))
            assert [received.body for received in web.received] == bodies

    play(scenario())


def test_an_idempotent_request_is_retried_when_its_endpoint_is_silent() -> None:
    """Failure: a request that may be repeated waits until its deadline.

    An endpoint runs it and its answer is lost, or the connection stops responding. The router must
    not wait for that endpoint alone.
    """

    async def scenario() -> None:
        silent = [PlatformWorker(name) for name in ("w1", "w2")]
        silent[0]._scripts = silent[1]._scripts = [Script(silent=True), Script()]
        async with Fleet({"web": silent}) as fleet:
            answer = await fleet.ask("/search/1", method="GET", body=b"")
            assert answer.status == 200
            assert sum(len(worker.received) for worker in silent) == 2

    play(scenario())


def test_a_stream_that_stops_resumes_at_another_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a caller gives up a stream although another engine could resume it.

    An engine is gone and its open connection stops responding. The router must not wait for a
    reset, which never arrives.
    """

    async def scenario() -> None:
        from tamarack_gateway import answer_timeouts

        monkeypatch.setattr(answer_timeouts, "FIRST_EVENT_SLACK_MS", 100.0)
        engines = [PlatformWorker(name) for name in ("e1", "e2")]
        engines[0]._scripts = engines[1]._scripts = [Script(silent=True), STREAM]
        async with Fleet({"pool": engines}) as fleet:
            answer = await fleet.ask("/draft/1")
            assert (answer.status, answer.whole) == (200, True)
            await until(lambda: sum(engine.closed_early for engine in engines) == 1)

    play(scenario())


def test_a_broken_stream_resumes_at_another_worker() -> None:
    """Failure: a stream has a gap or a repeated part, or ends as if it were complete.

    A worker breaks off in the middle of an event. An incomplete event must not be passed on, and
    the second worker must not start from the beginning.
    """

    async def scenario() -> None:
        script = Script(events=5, cut_after=2)
        workers = [PlatformWorker("e1", script, STREAM), PlatformWorker("e2", script, STREAM)]
        workers[0]._scripts = workers[1]._scripts = [script, STREAM]
        async with Fleet({"pool": workers}) as fleet:
            answer = await fleet.ask("/draft/1")
            ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id: ")]
            assert answer.whole
            assert ids == [b"id: %d" % number for number in range(1, 6)]
            received = [arrival for worker in workers for arrival in worker.received]
            assert [a.headers.get("last-event-id") for a in received] in ([None, "2"], ["2", None])

    play(scenario())


def test_a_stream_that_may_not_resume_is_cut_detectably() -> None:
    async def scenario() -> None:
        workers = [PlatformWorker(name, Script(events=5, cut_after=2)) for name in ("e1", "e2")]
        async with Fleet({"pool": workers}) as fleet:
            answer = await fleet.ask("/rewrite/1")
            assert not answer.whole
            assert answer.body.endswith(b"\n\n")
            assert sum(len(worker.received) for worker in workers) == 1

    play(scenario())


def test_an_endpoint_stops_when_its_caller_has_gone() -> None:
    """Failure: engines work for callers that have left.

    A caller closes its connection while it waits. The connection to the endpoint must be closed as
    well.
    """

    async def scenario() -> None:
        pool = PlatformWorker("e1", Script(silent=True))
        async with Fleet({"pool": [pool]}) as fleet:
            _, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1"))
            await until(lambda: bool(pool.received))
            writer.close()
            await until(lambda: pool.closed_early == 1)

    play(scenario())


def test_a_request_gets_its_final_answer_at_the_routes_time_limit() -> None:
    async def scenario() -> None:
        pool = PlatformWorker("e1", Script(silent=True))
        async with Fleet({"pool": [pool]}) as fleet:
            answer = await fleet.ask("/rewrite/1", X_Deadline_Ms="120")
            assert answer.status == 504

    play(scenario())


def test_unknown_keys_and_routes_are_denied() -> None:
    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            wrong = await fleet.ask("/rewrite/1", Authorization="Token wrong")
            nowhere = await fleet.ask("/nowhere/1")
            assert (wrong.status, nowhere.status) == (401, 404)

    play(scenario())


def test_keys_expire_while_the_store_is_unreachable() -> None:
    """Failure: a request runs under a key that was revoked seconds ago.

    The store does not respond to one router, and the key is revoked meanwhile. The router must not
    trust its local state for longer. Routes without a key are still served.
    """

    async def scenario() -> None:
        workers = {"web": [PlatformWorker("w1")], "pool": [PlatformWorker("e1", STREAM)]}
        async with Fleet(workers, revoke_ms=900.0) as fleet:
            fleet.store.silent = True
            state = fleet.gateway.state
            await until(lambda: not state.freshness.trusted(state.clock.now_ms))
            assert (await fleet.ask("/draft/1")).status == 503
            assert (await fleet.ask("/page/1")).status == 200

    play(scenario())


def test_a_change_is_applied_and_an_older_version_is_ignored() -> None:
    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            state = fleet.gateway.state
            newer = configuration(5, tenants=[{"name": "shop", "apiKeys": ["key-two"]}])
            await fleet.store.put("op", "config", newer)
            await until(lambda: state.rules is not None and state.rules.version == 5)
            assert (await fleet.ask("/draft/1")).status == 401
            assert (await fleet.ask("/draft/1", Authorization="Token key-two")).status == 200
            await fleet.store.put("op", "config", configuration(4))
            await fleet.store.forget_history()
            calls = len(fleet.store.calls)
            await until(lambda: len(fleet.store.calls) > calls + 2)
            assert state.rules is not None
            assert state.rules.version == 5

    play(scenario())


def test_a_draining_endpoint_gets_no_new_work() -> None:
    async def scenario() -> None:
        leaving, staying = PlatformWorker("w1"), PlatformWorker("w2")
        async with Fleet({"web": [leaving, staying]}) as fleet:
            await fleet.store.put("servers", "w1", leaving.entry("web", state="draining"))
            await until(lambda: len(fleet.gateway.state.usable("web")) == 1)
            for _ in range(6):
                await fleet.ask("/page/1")
            assert len(staying.received) == 6

    play(scenario())


def test_a_reused_address_does_not_run_another_services_request() -> None:
    """Failure: a service runs a request for another service.

    A worker crashes and its address is given to a worker of another service, while the list still
    names the first one. Checking the address alone is not enough.
    """

    async def scenario() -> None:
        stranger = PlatformWorker("stranger")
        async with Fleet({"web": []}) as fleet, stranger:
            await fleet.store.put("servers", "w1", stranger.entry("web"))
            await until(lambda: len(fleet.gateway.state.usable("web")) == 1)
            assert (await fleet.ask("/page/1")).status == 503
            assert not stranger.received

    play(scenario())


def test_a_leaving_router_serves_callers_until_they_have_gone() -> None:
    """Failure: a request is accepted long after SIGTERM and cut when the process exits.

    A caller that still has the address sends a stream seconds after the router received SIGTERM.
    New requests must not be accepted until the end of the grace time.
    """

    async def scenario() -> None:
        workers = {
            "web": [PlatformWorker("w1")],
            "pool": [PlatformWorker("e1", Script(silent=True))],
        }
        async with Fleet(workers) as fleet:
            running = asyncio.ensure_future(fleet.ask("/rewrite/1"))
            await until(lambda: bool(workers["pool"][0].received))
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            assert (await ready(fleet)).status == 503
            served = await fleet.ask("/page/1")
            assert (served.status, served.headers["connection"]) == (200, "close")
            state = fleet.gateway.state
            assert state.leaving is not None
            state.leaving = state.leaving._replace(linger_until_ms=state.clock.now_ms)
            refused = await fleet.ask("/page/1")
            assert (refused.status, "retry-after" in refused.headers) == (503, True)
            assert len(workers["web"][0].received) == 1
            assert not leaving.done()
            running.cancel()
            await leaving

    play(scenario())


def test_the_directory_lists_all_ready_routers() -> None:
    """Failure: callers are directed to a router that has left.

    One of two routers stops. Its address must disappear from the answers of the other.
    """

    async def scenario() -> None:
        fleet = Fleet({"web": [PlatformWorker("w1")]})
        async with fleet, fleet.router("router-2") as second:
            await until(lambda: second.state.ready)
            both = {fleet.gateway.callers, second.callers}
            await until_listed(fleet, both)
            now_ms = second.state.clock.now_ms
            second.state.leaving = plan_leaving(now_ms, grace_ms=8_000.0, address_ttl_ms=1_000.0)
            await until_listed(fleet, {fleet.gateway.callers})

    play(scenario())


async def ready(fleet: Fleet) -> object:
    """Ask whether the router is ready."""
    return await site_call(fleet, "/api/ready")


async def until_listed(fleet: Fleet, expected: set[str]) -> None:
    """Wait until the directory lists exactly these addresses."""
    async with asyncio.timeout(10):
        while True:
            answer = await site_call(fleet, f"/api/resolve?name={HOST}&zone=a")
            if set(addresses_in(answer)) == expected:
                return
            await asyncio.sleep(0.02)


async def site_call(fleet: Fleet, target: str) -> object:
    """Make a request to the router's site address."""
    reader, writer = await connect(fleet.gateway.site_addresses[0])
    writer.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    answer = await read_answer(reader)
    writer.close()
    return answer


def test_the_key_itself_is_not_logged(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            await fleet.ask("/rewrite/1", Authorization="Token wrong")
            await fleet.ask("/rewrite/1")

    play(scenario())
    written = capfd.readouterr().err
    assert '"message":"request: denied"' in written
    assert KEY not in written


def test_an_endpoint_removed_shortly_after_an_outage_is_gone_at_once() -> None:
    """Failure: an endpoint that left gets new requests for more than two seconds.

    The store rejects a router's calls and serves it again; seconds later an entry is removed. If
    the first call after the outage waits for a change, the router takes the time of that change for
    the end of the outage, and the removal for an entry that expired during it.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1"), PlatformWorker("w2")]}) as fleet:
            feeds = fleet.gateway._feeds
            follower = feeds._followers["servers"]
            fleet.store.refusing = 503
            follower.restart_call()
            await until(lambda: follower._failures > 0)
            fleet.store.refusing = 0
            await until(lambda: follower._failures == 0)
            follower.RETURN_MS = 0.0
            await fleet.store.remove("servers", "w1")
            await until(lambda: len(fleet.gateway.state.registry) < 2)

    play(scenario())


def test_an_unexpected_exception_does_not_leave_a_caller_waiting() -> None:
    """Failure: a caller gets neither an answer nor a close, and its connection stays open.

    Handling its request raises an unexpected exception, which ends the task that serves the
    connection. The connection must be closed as well.
    """

    async def scenario() -> None:
        async def raise_error(request: Request, caller: CallerConnection) -> None:
            raise ZeroDivisionError

        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: CallerConnection(raise_error, BootClock(), CallerBounds, set()), "127.0.0.1", 0
        )
        host, port = server.sockets[0].getsockname()[:2]
        reader, writer = await connect(f"{host}:{port}")
        writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await read_answer(reader)).status == 500
        assert await reader.read() == b""
        writer.close()
        server.close()

    play(scenario())


def test_an_endpoint_removed_while_a_connection_is_made_gets_no_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: an endpoint gets a new request after all routers know that it is leaving.

    A router waits for a connection to it, and its entry is removed meanwhile. After the wait, not
    only keys and time must be checked again but also whether the endpoint may still get requests.
    """

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            take, gone = ConnectionPool.take, asyncio.Event()

            async def slowly(pool: ConnectionPool, endpoint: Endpoint) -> EndpointConnection:
                await gone.wait()
                return await take(pool, endpoint)

            monkeypatch.setattr(ConnectionPool, "take", slowly)
            asked = asyncio.ensure_future(fleet.ask("/page/1"))
            await until(lambda: any(c.busy for c in fleet.gateway._connections))
            await fleet.store.remove("servers", "w1")
            await until(lambda: not fleet.gateway.state.usable("web"))
            gone.set()
            assert (await asked).status == 503
            assert not worker.received

    play(scenario())
