"""Evacuated failure domains: their endpoints get no requests until the domain is restored."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Fleet, play, until

from tamarack_core.evacuations import Evacuations
from tamarack_ctl.main import main
from tamarack_gateway.gateway import Gateway
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)
EVACUATE_MS = 2_000.0


def worker(name: str, zone: str, *scripts: Script) -> PlatformWorker:
    return PlatformWorker(name, *(scripts or (STREAM,)), zone=zone)


async def evacuate(fleet: Fleet, domain: str, *routers: Gateway) -> None:
    """Evacuate a failure domain; routers must apply this within the bound."""
    await fleet.store.put("op", f"evacuate/{domain}", {})
    async with asyncio.timeout(EVACUATE_MS / 1000):
        await until(lambda: all(r.state.evacuations.covers(domain) for r in routers))


def test_endpoints_of_an_evacuated_domain_get_no_requests_until_it_is_restored() -> None:
    """Failure: requests reach endpoints that an operator has taken out of service."""

    async def scenario() -> None:
        pool = [worker("e1", "a"), worker("e2", "b")]
        web = [worker("w1", "a", Script()), worker("w2", "b", Script())]
        async with Fleet({"pool": pool, "web": web}, evacuate_ms=EVACUATE_MS) as fleet:
            await fleet.add_routers(1)
            await evacuate(fleet, "a", fleet.gateway, *fleet.others)
            before = len(pool[0].received) + len(web[0].received)
            for router in (fleet.gateway, *fleet.others):
                for _ in range(5):
                    assert (await fleet.ask("/draft/1", at=router)).status == 200
                    assert (await fleet.ask("/page/1", at=router)).status == 200
            assert len(pool[0].received) + len(web[0].received) == before
            await fleet.store.remove("op", "evacuate/a")
            await until(lambda: not fleet.gateway.state.evacuations.covers("a"))
            await evacuate(fleet, "b", fleet.gateway)
            assert (await fleet.ask("/draft/1")).status == 200
            assert len(pool[0].received) > 0

    play(scenario())


def test_a_request_is_refused_with_a_retry_delay_if_all_domains_are_evacuated() -> None:
    """Failure: a request waits for its deadline though no endpoint may get it."""

    async def scenario() -> None:
        pool = [worker("e1", "a")]
        async with Fleet({"pool": pool}, evacuate_ms=EVACUATE_MS) as fleet:
            await evacuate(fleet, "a", fleet.gateway)
            answer = await fleet.ask("/draft/1")
            assert answer.status == 503
            assert float(answer.headers["retry-after"]) > 0
            assert pool[0].received == []

    play(scenario())


def test_an_interrupted_stream_does_not_resume_in_an_evacuated_domain() -> None:
    """Failure: a retry reaches an endpoint of a domain that was evacuated after the first send."""

    async def scenario() -> None:
        cut = Script(events=20, cut_after=10, event_pause_s=0.1)
        pool = [worker("e1", "a", cut), worker("e2", "b", STREAM)]
        async with Fleet({"pool": pool}, evacuate_ms=EVACUATE_MS) as fleet:
            await evacuate(fleet, "b", fleet.gateway)
            answer = asyncio.ensure_future(fleet.try_ask("/draft/1"))
            await until(lambda: bool(pool[0].received))
            await fleet.store.remove("op", "evacuate/b")
            await until(lambda: not fleet.gateway.state.evacuations.covers("b"))
            await evacuate(fleet, "b", fleet.gateway)
            await answer
            assert pool[1].received == []

    play(scenario())


def test_a_router_that_starts_without_the_store_learns_of_an_evacuation_from_others() -> None:
    """Failure: a router that the store rejects sends requests to an evacuated domain."""

    async def scenario() -> None:
        pool = [worker("e1", "a"), worker("e2", "b")]
        async with Fleet({"pool": pool}, evacuate_ms=EVACUATE_MS) as fleet:
            await evacuate(fleet, "a", fleet.gateway)
            proxy = FaultProxy(fleet.store.address)
            async with proxy, fleet.router("late", store=proxy.address) as late:
                await until(lambda: late.state.ready)
                assert late.state.evacuations.covers("a")
                await until(lambda: bool(late._members.known()))
                proxy.block_to_target = True
                await fleet.store.remove("op", "evacuate/a")
                await evacuate(fleet, "b", fleet.gateway)
                await until(lambda: list(late.state.evacuations.domains) == ["b"])
                assert (await fleet.ask("/draft/1", at=late)).status == 200
                assert pool[1].received == []

    play(scenario())


def test_operators_see_evacuated_domains(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        async with Fleet({"pool": [worker("e1", "a")]}, evacuate_ms=EVACUATE_MS) as fleet:
            await evacuate(fleet, "a", fleet.gateway)
            await evacuate(fleet, "nowhere", fleet.gateway)
            address = fleet.gateway.metrics_address
            assert await asyncio.to_thread(main, ["router", address]) == 0

    play(scenario())
    shown = capsys.readouterr().out
    assert "failure domain a evacuated" in shown
    assert "failure domain nowhere evacuated" in shown


def test_a_complete_list_without_a_domain_restores_it() -> None:
    """Failure: a domain stays evacuated forever if the message about its restoration is lost."""
    evacuations = Evacuations()
    assert evacuations.begin("a", 10.0)
    assert not evacuations.begin("a", 20.0)
    assert evacuations.begin("b", 20.0)
    assert evacuations.domains == {"a": 10.0, "b": 20.0}
    assert evacuations.missing_from(["b", "c"]) == ["a"]
    assert evacuations.end("a", 30.0)
    assert not evacuations.end("a", 40.0)
    assert evacuations.restored_ms("a") == 30.0
    assert evacuations.restored_ms("b") == float("-inf")
