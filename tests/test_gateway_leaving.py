"""Tests which requests a stopping router still accepts and which it refuses."""

from __future__ import annotations

import asyncio
import json
from asyncio import StreamReader, StreamWriter

import pytest
from gateway_site import Fleet, connect, play, read_answer, until

from tamarack_core.service_times import MIN_SAMPLES
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script

TOKENS_PER_EVENT = 5
"""The `stride` of the service in the configuration of the fleet."""

EVENT_S = 0.05


class SteadyEngine(PlatformWorker):
    """Generates as many tokens as a request allows at a constant rate; may reject some first."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.rejects = 0
        self.event_s = EVENT_S

    def _next_script(self, received: ReceivedRequest) -> Script:
        if self.rejects:
            self.rejects -= 1
            return Script(status=503, not_run=True, body=b"", pause_s=1.0)
        tokens = int(received.headers["x-token-usage"].partition(",")[2])
        return Script(events=tokens // TOKENS_PER_EVENT, event_pause_s=self.event_s)


async def observe_streams(fleet: Fleet, path: str, **more: str) -> None:
    """Have the router observe enough complete streams to predict their duration."""
    answers = await asyncio.gather(*(fleet.ask(path, **more) for _ in range(MIN_SAMPLES)))
    assert all(answer.whole for answer in answers)


def test_a_leaving_router_takes_no_stream_that_outlasts_it() -> None:
    """Failure: a stream is cut although its engine and the network work.

    A router that was told to stop still serves callers that have its address. A stream that runs
    for longer than the router has left is cut when the router exits, at 0.93 of the grace time. The
    router must compare the predicted duration with the time left before it sends the request.
    """

    async def scenario() -> None:
        engine = SteadyEngine("e1")
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0) as fleet:
            await observe_streams(fleet, "/rewrite/1")
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            short = await fleet.ask("/rewrite/2", X_Token_Usage="300,10")
            late = asyncio.ensure_future(fleet.ask("/rewrite/3", X_Token_Usage="300,400"))
            await leaving
        answer = await late
        assert (short.status, short.whole) == (200, True)
        assert (answer.status, answer.whole) == (503, True)
        assert float(answer.headers["retry-after"]) < 0.5
        assert answer.headers["connection"] == "close"
        assert len(engine.received) == MIN_SAMPLES + 1

    play(scenario())


def test_a_late_stream_is_taken_only_if_it_ends_before_the_exit_in_any_case() -> None:
    """Guards against a stream that is cut since it takes longer than those before it."""

    async def scenario() -> None:
        engine = SteadyEngine("e1")
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0, address_ttl_ms=500.0) as fleet:
            await observe_streams(fleet, "/rewrite/1")
            engine.event_s = 1.0
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            plan, clock = fleet.gateway.state.leaving, fleet.gateway.state.clock
            assert plan is not None
            await until(lambda: clock.now_ms > plan.requested_ms + 2.5 * 500.0)
            assert plan.lingers(clock.now_ms)
            late = asyncio.ensure_future(fleet.ask("/rewrite/2", X_Token_Usage="300,50"))
            brief = await fleet.ask("/rewrite/3", X_Token_Usage="300,5", X_Deadline_Ms="1300")
            await leaving
        answer = await late
        assert (answer.status, answer.whole) == (503, True)
        assert brief.status == 200

    play(scenario())


def test_streams_may_exceed_the_callers_length_estimate() -> None:
    """Failure: a stream that a stopping router accepted is cut.

    Callers expect fewer tokens than their streams have. The caller's estimate must not be used as
    an upper bound of the duration.
    """

    async def scenario() -> None:
        engine = SteadyEngine("e1")
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0) as fleet:
            short = {"X_Token_Usage": "300,100", "X_Length_Hint": "30"}
            await observe_streams(fleet, "/rewrite/1", **short)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            long = {"X_Token_Usage": "300,400", "X_Length_Hint": "120"}
            assert (await fleet.ask("/rewrite/2", **long)).status == 503
            assert len(engine.received) == MIN_SAMPLES
            await leaving

    play(scenario())


def test_the_time_left_is_checked_again_before_a_retry() -> None:
    """Failure: a stream that arrived before the router was told to stop is cut.

    The first engine rejects the request after a second. Meanwhile the router is told to stop, and
    at the retry has less time left than the stream takes. The time left must be checked again after
    each wait.
    """

    async def scenario() -> None:
        engines = [SteadyEngine("e1"), SteadyEngine("e2")]
        async with Fleet({"pool": list(engines)}, grace_ms=1_000.0) as fleet:
            await observe_streams(fleet, "/draft/1")
            for engine in engines:
                engine.rejects = 1
            sent = MIN_SAMPLES + 1
            held = asyncio.ensure_future(fleet.ask("/draft/2", X_Token_Usage="300,300"))
            await until(lambda: sum(len(engine.received) for engine in engines) == sent)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            answer = await held
            assert (answer.status, answer.whole) == (503, True)
            assert sum(len(engine.received) for engine in engines) == sent
            await leaving

    play(scenario())


@pytest.mark.parametrize(
    ("script", "became", "status"),
    [
        (Script(silent=True), "failed", 502),
        (Script(events=100, event_pause_s=EVENT_S), "cut", 200),
    ],
)
def test_requests_cancelled_at_exit_are_answered_and_logged(
    script: Script, became: str, status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    """Failure: a connection closes without an answer, and the log says that the caller left.

    A stream that arrived before the router was told to stop still runs when the router exits. The
    caller must get an answer, and the log must show the reason before it is closed.
    """

    async def scenario() -> None:
        engine = PlatformWorker("e1", script)
        async with Fleet({"pool": [engine]}, grace_ms=500.0) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1"))
            await until(lambda: bool(engine.received))
            await fleet.gateway.leave()
            state = fleet.gateway.state
        answer = await read_answer(reader)
        writer.close()
        assert (answer.status, answer.whole) == (status, became == "failed")
        assert state.log.decisions[became, "the router ends"] == 1

    play(scenario())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    (ended,) = [line for line in lines if line.get("reason") == "the router ends"]
    assert (ended["message"], ended["request"]) == (f"request: {became}", "attempt1")
    assert min(ended["stopping_ms"], ended["ran_ms"]) >= 0


async def use_once(fleet: Fleet) -> tuple[StreamReader, StreamWriter, CallerConnection]:
    """A caller's kept connection after one answer, and the router's side of it."""
    reader, writer = await connect(fleet.gateway.callers)
    writer.write(fleet.request("/page/1"))
    assert (await read_answer(reader)).status == 200
    (connection,) = fleet.gateway._connections
    return reader, writer, connection


def test_a_request_that_the_kernel_holds_unread_is_answered_before_its_connection_closes() -> None:
    """Failure: a stopping router that lags cuts requests which it has not read yet."""

    async def run() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            reader, writer, connection = await use_once(fleet)
            # Written to the kernel at once; the router's loop does not run before the close.
            writer.get_extra_info("socket").dup().send(fleet.request("/page/2"))
            connection.close_when_idle()
            answer = await read_answer(reader)
            assert answer.whole and answer.headers["connection"] == "close"
            writer.close()

    play(run())


def test_a_connection_with_an_unread_request_does_not_end_by_its_idle_timeout() -> None:
    """Failure: a router that lags closes a connection whose caller has just sent a request."""

    async def run() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            reader, writer, connection = await use_once(fleet)
            writer.get_extra_info("socket").dup().send(fleet.request("/page/2"))
            connection.close_if_idle(fleet.gateway.state.clock.now_ms + 1e6)
            assert (await read_answer(reader)).status == 200
            writer.close()

    play(run())


def test_a_router_does_not_leave_before_requests_that_the_kernel_holds() -> None:
    """Failure: a stopping router finds no connection busy, and exits with unread requests."""

    async def run() -> None:
        async with Fleet({"web": []}, grace_ms=3_000.0, address_ttl_ms=50.0) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            await until(lambda: bool(fleet.gateway._connections))
            (connection,) = fleet.gateway._connections
            connection._transport.pause_reading()
            writer.write(fleet.request("/page/1"))
            await until(lambda: not connection.idle)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await asyncio.sleep(0.8)
            assert not leaving.done()
            connection._transport.resume_reading()
            answer = await read_answer(reader)
            assert answer.whole and answer.headers["connection"] == "close"
            await leaving
            writer.close()

    play(run())


def test_a_connection_that_was_promised_to_be_kept_serves_while_callers_may_come() -> None:
    """Failure: a stopping router closes a connection while its caller sends the next request."""

    async def run() -> None:
        worker = PlatformWorker("w1", Script(events=4, event_pause_s=0.05))
        async with Fleet({"pool": [worker]}, grace_ms=3_000.0, address_ttl_ms=600.0) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1"))
            await until(lambda: any(c.begun for c in fleet.gateway._connections))
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            first = await read_answer(reader)
            assert first.whole and "connection" not in first.headers
            writer.write(fleet.request("/rewrite/2"))
            second = await read_answer(reader)
            assert second.whole and second.headers["connection"] == "close"
            await leaving
            writer.close()

    play(run())


def test_a_request_sent_as_its_connection_closes_is_told_apart_from_one_that_was_read(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a stop whose log does not tell whether callers' last requests were read."""

    async def scenario() -> None:
        bounds = {"grace_ms": 3_000.0, "address_ttl_ms": 200.0}
        async with Fleet({"web": [PlatformWorker("w1")]}, **bounds) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/page/1"))
            assert (await read_answer(reader)).status == 200
            (connection,) = fleet.gateway._connections
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: connection._finished)
            writer.write(fleet.request("/page/2"))
            await leaving
            assert await reader.read() == b""
            writer.close()

    play(scenario())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    (left,) = [line for line in lines if line["message"] == "router: left"]
    assert (left["unanswered"], left["half_read"], left["unread"]) == (1, 0, 0)


def test_a_cut_stream_tells_how_long_its_endpoint_was_silent_and_the_router_stopping(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a cut around a stop whose cause the log does not tell."""

    async def scenario() -> None:
        engine = PlatformWorker("e1", Script(events=5, cut_after=2))
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0) as fleet:
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            assert not (await fleet.ask("/rewrite/1", X_Deadline_Ms="1000")).whole
            await leaving

    play(scenario())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    (cut,) = [line for line in lines if line["message"] == "request: cut"]
    assert 0 <= cut["silent_ms"] <= cut["stopping_ms"] < 3_000
