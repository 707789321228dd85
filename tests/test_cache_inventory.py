"""Queries for the engines' cached prefix blocks when a router starts."""

from __future__ import annotations

from gateway_site import Fleet, play, until

from tamarack_core.prompt import PrefixBlock
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)


def is_cached(fleet: Fleet, worker: PlatformWorker, part: str) -> bool:
    return fleet.gateway.state.models[worker.name].caches(PrefixBlock(f"m/{part}", 12_000))


def test_a_router_that_starts_sends_requests_to_engines_that_have_cached_their_blocks() -> None:
    """After a restart of all routers, blocks were prefilled again that another engine had cached.

    Under load, blocks move away from their preferred engines. Routers knew the caches only from
    requests that they had sent, so restarted routers sent requests to the preferred engines.
    """

    async def scenario() -> None:
        workers = [PlatformWorker(name, STREAM) for name in ("w1", "w2", "w3")]
        parts = [f"s{number}" for number in range(8)]
        workers[1].kept = [(part, 12_000) for part in parts]
        async with Fleet({"pool": workers}) as fleet:
            await until(lambda: is_cached(fleet, workers[1], parts[-1]))
            for part in parts:
                answer = await fleet.ask(
                    "/draft/x",
                    X_Token_Usage="15000,80",
                    X_Prompt_Prefix=f"{part}:12000,own-{part}:3000",
                )
                assert answer.status == 200
            assert [len(worker.arrived) for worker in workers] == [0, len(parts), 0]

    play(scenario())


def test_a_silent_engine_does_not_delay_other_requests() -> None:
    """A router did not serve until each engine had answered the query for its cache.

    One engine is silent when the router starts.
    """

    async def scenario() -> None:
        silent, sound = PlatformWorker("w1"), PlatformWorker("w2", STREAM)
        silent.address = "127.0.0.1:9"
        async with Fleet({"pool": [sound]}) as fleet:
            await fleet.store.put("servers", "w1", silent.entry("pool"))
            answer = await fleet.ask("/draft/x")
            assert answer.status == 200

    play(scenario())
