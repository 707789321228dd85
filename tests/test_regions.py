"""Routes and workspaces whose requests must stay in some regions, in a deployment with two."""

from __future__ import annotations

from typing import Any

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

from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=2)
REGIONS = {"a": "north", "b": "south"}


def restricted(routes: list[str] | None, workspace: list[str] | None) -> dict[str, Any]:
    """A configuration with regions for the streaming routes, for the workspace, or for both."""
    changed = configuration(2)
    for route in changed["routes"]:
        if routes and route["kind"] == "streaming":
            route["allowedRegions"] = routes
    if workspace:
        changed["tenants"] = [{"name": "shop", "apiKeys": [KEY], "allowedRegions": workspace}]
    return changed


@pytest.mark.parametrize(
    ("routes", "workspace", "chosen"),
    [
        (["south"], None, {"e2"}),
        (None, ["north"], {"e1"}),
        (["north", "south"], ["south"], {"e2"}),
        (["north"], ["south"], set()),
        (["elsewhere"], None, set()),
    ],
)
def test_requests_reach_endpoints_of_allowed_regions_only(
    routes: list[str] | None, workspace: list[str] | None, chosen: set[str]
) -> None:
    """Failure: a request leaves the regions to which its route or its workspace is bound."""

    async def scenario() -> None:
        pool = [PlatformWorker(n, STREAM, zone=zone) for n, zone in (("e1", "a"), ("e2", "b"))]
        async with Fleet({"pool": pool}, regions=REGIONS) as fleet:
            await fleet.store.put("op", "config", restricted(routes, workspace))
            await until(lambda: fleet.gateway.state.rules.version == 2)
            statuses = {(await fleet.ask("/draft/1")).status for _ in range(6)}
            assert statuses == ({200} if chosen else {503})
            assert {worker.name for worker in pool if worker.received} <= chosen

    play(scenario())


def test_a_stream_does_not_resume_in_another_region() -> None:
    """Failure: a retry leaves the regions to which the first send kept."""

    async def scenario() -> None:
        cut = Script(events=6, cut_after=3)
        pool = [PlatformWorker("e1", cut, zone="a"), PlatformWorker("e2", STREAM, zone="b")]
        async with Fleet({"pool": pool}, regions=REGIONS) as fleet:
            await fleet.store.put("op", "config", restricted(["north"], None))
            await until(lambda: fleet.gateway.state.rules.version == 2)
            await fleet.try_ask("/draft/1")
            assert pool[0].received
            assert pool[1].received == []

    play(scenario())


@pytest.mark.parametrize(
    ("routes", "workspace", "region", "named"),
    [
        (None, None, "south", True),
        (["south"], None, "south", False),
        (["south"], None, "north", True),
        (["north"], None, "south", True),
        (None, ["north"], "south", False),
        (None, ["south"], "north", True),
    ],
)
def test_callers_are_sent_to_routers_of_their_own_or_an_allowed_region(
    routes: list[str] | None, workspace: list[str] | None, region: str, named: bool
) -> None:
    """Failure: the directory sends a restricted request to a router in another region.

    The fleet's only router is in the north.
    """

    async def scenario() -> None:
        async with Fleet({"pool": []}, regions=REGIONS) as fleet:
            await fleet.store.put("op", "config", restricted(routes, workspace))
            await until(lambda: fleet.gateway.state.rules.version == 2)
            target = f"/api/resolve?name={HOST}&region={region}&zone=x"
            request = f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode()
            reader, writer = await connect(fleet.gateway.site_addresses[0])
            writer.write(request)
            answer = await read_answer(reader)
            writer.close()
            assert answer.status == (200 if named else 503)
            if named:
                assert addresses_in(answer) == [fleet.gateway.callers]

    play(scenario())


def test_addresses_of_other_failure_domains_are_left_out() -> None:
    members = FleetMembers()
    for name, domain in (("r1", "a"), ("r2", "b")):
        members.record_summary(Member(name, 1, domain, f"{name}:1", True, 0.0))
    me = Member("r3", 1, "b", "r3:1", True, 0.0)
    assert members.addresses(me, "a", 0.0, domains={"a"}) == ["r1:1"]
    assert sorted(members.addresses(me, "a", 0.0)) == ["r1:1", "r2:1", "r3:1"]
