"""What a router that was told to stop still takes, and what it refuses."""

from __future__ import annotations

import asyncio
import json

import pytest
from gateway_site import Fleet, connect, play, read_answer, until

from tamarack_core.service_times import LEAST_READINGS
from tamarack_standins.platform_worker import Arrived, PlatformWorker, Script

TOKENS_PER_EVENT = 5
"""As the configuration of the fleet tells it."""

EVENT_S = 0.05


class SteadyEngine(PlatformWorker):
    """Generates as many tokens as a request allows, at an even pace; may reject some first."""

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.rejects = 0

    def _next_script(self, arrived: Arrived) -> Script:
        if self.rejects:
            self.rejects -= 1
            return Script(status=503, not_run=True, body=b"", pause_s=1.0)
        tokens = int(arrived.headers["x-token-usage"].partition(",")[2])
        return Script(events=tokens // TOKENS_PER_EVENT, event_pause_s=EVENT_S)


async def learn(fleet: Fleet, path: str, **more: str) -> None:
    """Let the router see streams end, as many as it needs to know how long they take."""
    answers = await asyncio.gather(*(fleet.ask(path, **more) for _ in range(LEAST_READINGS)))
    assert all(answer.whole for answer in answers)


def test_a_leaving_router_takes_no_stream_that_outlasts_it() -> None:
    """Symptom: a stream begins to arrive and breaks off; its engine and the network are sound.

    Sequence: a router is told to stop and goes on serving callers that still have its address; one
    sends a stream that runs for longer than the router has left; at its last exit the router ends
    whatever runs. Cause: what is taken after the request to stop was never compared with the time
    that is left. Evidence: cuts lie at the last exit, 0.93 of the grace time, whenever the stream
    began, and the log has them as `cut` because the router ends, with no failure of an endpoint.
    """

    async def story() -> None:
        engine = SteadyEngine("e1")
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0) as fleet:
            await learn(fleet, "/rewrite/1")
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
        assert len(engine.arrived) == LEAST_READINGS + 1

    play(story())


def test_estimates_that_are_exceeded_do_not_make_a_long_stream_short() -> None:
    """Symptom: a stream that a stopping router has taken breaks off.

    Sequence: callers expect fewer tokens than their streams come to. Cause: the time that a stream
    takes was bounded by the estimate, as if it held.
    """

    async def story() -> None:
        engine = SteadyEngine("e1")
        async with Fleet({"pool": [engine]}, grace_ms=3_000.0) as fleet:
            short = {"X_Token_Usage": "300,100", "X_Length_Hint": "30"}
            await learn(fleet, "/rewrite/1", **short)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving is not None)
            long = {"X_Token_Usage": "300,400", "X_Length_Hint": "120"}
            assert (await fleet.ask("/rewrite/2", **long)).status == 503
            assert len(engine.arrived) == LEAST_READINGS
            await leaving

    play(story())


def test_a_request_that_was_read_before_the_stop_is_asked_again_after_a_wait() -> None:
    """Symptom: a stream that came before the request to stop breaks off.

    Sequence: its first engine rejects it after a second; meanwhile the router is told to stop, and
    has less time than the stream takes when it would send it to the next engine. Cause: whether it
    can end was asked once, before the wait.
    """

    async def story() -> None:
        engines = [SteadyEngine("e1"), SteadyEngine("e2")]
        async with Fleet({"pool": list(engines)}, grace_ms=1_000.0) as fleet:
            await learn(fleet, "/draft/1")
            for engine in engines:
                engine.rejects = 1
            sent = LEAST_READINGS + 1
            held = asyncio.ensure_future(fleet.ask("/draft/2", X_Token_Usage="300,300"))
            await until(lambda: sum(len(engine.arrived) for engine in engines) == sent)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            answer = await held
            assert (answer.status, answer.whole) == (503, True)
            assert sum(len(engine.arrived) for engine in engines) == sent
            await leaving

    play(story())


@pytest.mark.parametrize(
    ("script", "became", "status"),
    [
        (Script(silent=True), "failed", 502),
        (Script(events=100, event_pause_s=EVENT_S), "cut", 200),
    ],
)
def test_what_a_router_ends_itself_is_answered_truthfully_and_told_of_in_the_log(
    script: Script, became: str, status: int, capfd: pytest.CaptureFixture[str]
) -> None:
    """Symptom: a caller's connection closes without an answer; the log says that the caller left.

    Sequence: a stream that came before the request to stop still runs at the router's last exit.
    Cause: connections were closed whatever ran on them, and the log was closed before.
    """

    async def story() -> None:
        engine = PlatformWorker("e1", script)
        async with Fleet({"pool": [engine]}, grace_ms=500.0) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1"))
            await until(lambda: bool(engine.arrived))
            await fleet.gateway.leave()
            state = fleet.gateway.state
        answer = await read_answer(reader)
        writer.close()
        assert (answer.status, answer.whole) == (status, became == "failed")
        assert state.log.decisions[became, "the router ends"] == 1

    play(story())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    (ended,) = [line for line in lines if line.get("reason") == "the router ends"]
    assert (ended["message"], ended["request"]) == (f"request: {became}", "attempt1")
    assert min(ended["stopping_ms"], ended["ran_ms"]) >= 0
