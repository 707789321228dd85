"""What a router that was told to stop still takes, and what it refuses."""

from __future__ import annotations

import asyncio

from gateway_site import Fleet, play, until

from tamarack_standins.platform_worker import Arrived, PlatformWorker, Script

TOKENS_PER_EVENT = 5
"""As the configuration of the fleet tells it."""

EVENT_S = 0.05


class SteadyEngine(PlatformWorker):
    """Generates as many tokens as a request allows, at an even pace."""

    def _next_script(self, arrived: Arrived) -> Script:
        tokens = int(arrived.headers["x-token-usage"].partition(",")[2])
        return Script(events=tokens // TOKENS_PER_EVENT, event_pause_s=EVENT_S)


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
            assert (await fleet.ask("/rewrite/1")).whole
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: fleet.gateway.state.leaving)
            short = await fleet.ask("/rewrite/2", X_Token_Usage="300,10")
            late = asyncio.ensure_future(fleet.ask("/rewrite/3", X_Token_Usage="300,400"))
            await leaving
        answer = await late
        assert (short.status, short.whole) == (200, True)
        assert (answer.status, answer.whole) == (503, True)
        assert float(answer.headers["retry-after"]) < 0.5
        assert answer.headers["connection"] == "close"
        assert len(engine.arrived) == 2

    play(story())
