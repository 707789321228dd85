"""What operators see of one router of the platform."""

from __future__ import annotations

import asyncio
import json

import pytest
from gateway_site import Fleet, connect, play, read_answer, until

from tamarack_ctl.main import main
from tamarack_gateway.router_status import LARGEST_WORKSPACES
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)


def test_the_router_command_shows_local_state(capsys: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        workers = {"pool": [PlatformWorker("e1", STREAM)], "web": [PlatformWorker("w1")]}
        async with Fleet(workers) as fleet, fleet.router("router-2") as other:
            await until(lambda: bool(fleet.gateway._members.known()) and other.state.ready)
            assert (await fleet.ask("/draft/1")).status == 200
            address = fleet.gateway.metrics_address
            assert await asyncio.to_thread(main, ["router", address]) == 0
            assert await asyncio.to_thread(main, ["router", address, "--json"]) == 0

    play(scenario())
    *lines, machine = capsys.readouterr().out.splitlines()
    assert lines[0] == "router-1: ready"
    assert lines[1].startswith("configuration 1, confirmed ")
    assert lines[2].startswith("loop ")
    status = json.loads(machine)
    assert status["loop"]["overloaded"] is False
    assert status["loop"]["requests"] >= 0
    assert [member["router"] for member in status["members"]] == ["router-2"]
    assert {e["endpoint"]: e["service"] for e in status["endpoints"]} == {"e1": "pool", "w1": "web"}
    assert [entry["workspace"] for entry in status["workspaces"]] == ["shop"]


def test_metrics_count_decisions_by_their_reasons() -> None:
    """Guards against refusals without a visible reason, here while keys are not confirmed.

    On-call engineers see the reason only if refusals are counted by it.
    """

    async def scenario() -> None:
        workers = {"pool": [PlatformWorker("e1", STREAM)]}
        async with Fleet(workers, revoke_ms=900.0) as fleet:
            assert (await fleet.ask("/draft/1")).status == 200
            fleet.store.silent = True
            state = fleet.gateway.state
            await until(lambda: not state.freshness.trusted(state.clock.now_ms))
            assert (await fleet.ask("/draft/1")).status == 503
            reader, writer = await connect(fleet.gateway.metrics_address)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            text = (await read_answer(reader)).body.decode()
            writer.close()
        assert 'decisions{decision="refused",reason="keys are not confirmed"} 1' in text
        assert 'decisions{decision="answered",reason=""} 1' in text
        assert 'state{name="store_calls"}' in text
        assert 'state{name="loop_lag_ms"}' in text
        assert 'state{name="overloaded"}' in text

    play(scenario())


def test_metrics_show_demand_and_service_of_the_largest_workspaces() -> None:
    """Guards against metrics that cannot tell an overloading workspace from one denied its share.

    This happens when several workspaces are refused and the page only has totals over all of them.
    The page lists only the largest: a list of all would grow with the number of workspaces.
    """

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            assert (await fleet.ask("/draft/1")).status == 200
            shares, clock = fleet.gateway.state.shares.of("pool"), fleet.gateway.state.clock
            for number in range(40):
                shares.record_demand(f"other-{number}", 1e6 + number, clock.now_ms)
            reader, writer = await connect(fleet.gateway.metrics_address)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            text = (await read_answer(reader)).body.decode()
            writer.close()
        assert 'workspaces{name="asked_tokens",service="pool",workspace="other-39"} 1000039' in text
        assert 'workspaces{name="served_tokens",service="pool",workspace="other-39"} 0' in text
        assert text.count('name="asked_tokens"') == LARGEST_WORKSPACES

    play(scenario())


def test_an_address_without_a_router_is_reported(capsys: pytest.CaptureFixture[str]) -> None:
    assert main(["router", "127.0.0.1:9"]) == 3
    assert "does not answer" in capsys.readouterr().out


def test_callers_see_neither_metrics_nor_status() -> None:
    """Guards against callers that read which workspaces exist and what they request.

    This happens when a router serves its own pages at all its addresses, also at those for callers
    and for callers' address queries.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            for address in fleet.gateway.site_addresses:
                for path in ("/status", "/metrics"):
                    reader, writer = await connect(address)
                    writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    assert (await read_answer(reader)).status == 404
                    writer.close()

    play(scenario())
