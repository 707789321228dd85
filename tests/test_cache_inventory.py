"""What a router learns from engines when it starts."""

from __future__ import annotations

from gateway_site import Fleet, play, until

from tamarack_core.prompt import PromptPart
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)


def kept_at(fleet: Fleet, worker: PlatformWorker, part: str) -> bool:
    return fleet.gateway.state.models[worker.name].keeps(PromptPart(f"m/{part}", 12_000))


def test_a_router_that_starts_sends_requests_to_engines_that_keep_their_parts() -> None:
    """Symptom: after a loss of all routers, engines read parts anew that others keep.

    Sequence: parts have moved from their homes under load; all routers start again, and send
    requests to the homes. Cause: what engines keep was known only from what routers had sent.
    """

    async def story() -> None:
        workers = [PlatformWorker(name, STREAM) for name in ("w1", "w2", "w3")]
        parts = [f"s{number}" for number in range(8)]
        workers[1].kept = [(part, 12_000) for part in parts]
        async with Fleet({"pool": workers}) as fleet:
            await until(lambda: kept_at(fleet, workers[1], parts[-1]))
            for part in parts:
                answer = await fleet.ask(
                    "/draft/x",
                    X_Token_Usage="15000,80",
                    X_Prompt_Prefix=f"{part}:12000,own-{part}:3000",
                )
                assert answer.status == 200
            assert [len(worker.arrived) for worker in workers] == [0, len(parts), 0]

    play(story())


def test_an_engine_that_does_not_tell_is_served_all_the_same() -> None:
    """Symptom: a router waits for an engine before it serves.

    Sequence: an engine is silent when a router starts. Cause: its answer was waited for.
    """

    async def story() -> None:
        silent, sound = PlatformWorker("w1"), PlatformWorker("w2", STREAM)
        silent.address = "127.0.0.1:9"
        async with Fleet({"pool": [sound]}) as fleet:
            await fleet.store.put("servers", "w1", silent.entry("pool"))
            answer = await fleet.ask("/draft/x")
            assert answer.status == 200

    play(story())
