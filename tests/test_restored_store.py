"""A store that comes back from a copy some seconds old, and gives versions out again."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import pytest
from gateway_site import Fleet, configuration, play, until

from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_gateway.gateway import Gateway
from tamarack_standins.platform_worker import PlatformWorker

DRAIN_MS = 2_000.0


@contextlib.asynccontextmanager
async def away(fleet: Fleet) -> AsyncIterator[None]:
    """The store is away: it refuses calls, and cuts those that wait."""
    fleet.store.refusing = 503
    await fleet.store.forget_history()
    await asyncio.sleep(0.05)
    yield
    fleet.store.refusing = 0


async def write_much(fleet: Fleet, count: int = 40) -> None:
    """Write rows that no router follows, so that the store's versions rise."""
    for number in range(count):
        await fleet.store.put("status", f"s{number}", {})


async def follow_all(routers: list[Gateway], version: int) -> None:
    """Wait until routers have applied a version of the configuration."""
    await until(
        lambda: all((r.state.rules.version if r.state.rules else 0) == version for r in routers)
    )


async def within_drain(condition: Any) -> None:
    """Wait for a condition for as long as a leaving endpoint may get work."""
    async with asyncio.timeout(DRAIN_MS / 1000):
        while not condition():
            await asyncio.sleep(0.01)


def without_search(version: int) -> dict[str, Any]:
    """A configuration without the route of searches, and with another key."""
    changed = configuration(version)
    changed["routes"] = [r for r in changed["routes"] if r["prefix"] != "/search/"]
    changed["tenants"] = [{"name": "shop", "apiKeys": ["key-two"]}]
    return changed


# versions that are given out again


@pytest.mark.parametrize("routers", [1, 2])
def test_changes_under_versions_given_out_again_are_applied(routers: int) -> None:
    """Failure: a router misses that endpoints leave, routes go and keys are revoked, for good."""

    async def scenario() -> None:
        web = [PlatformWorker("w1"), PlatformWorker("w2")]
        async with Fleet({"web": web}) as fleet:
            await fleet.add_routers(routers - 1)
            everyone = [fleet.gateway, *fleet.others]
            copy = fleet.store.copy()
            await write_much(fleet, 20)
            await fleet.store.put("op", "config", configuration(2))
            await fleet.store.put("servers", "w2", web[1].entry("web", slots=5))
            await follow_all(everyone, 2)
            await until(lambda: all(r.state.registry.find("w2").slots == 5 for r in everyone))
            async with away(fleet):
                await fleet.store.restore(copy)
                await fleet.store.put("op", "config", without_search(3))
                await fleet.store.put("servers", "w1", web[0].entry("web", state="draining"))
                await write_much(fleet)
            await within_drain(
                lambda: all([e.name for e in r.state.usable("web")] == ["w2"] for r in everyone)
            )
            for router in everyone:
                assert (await fleet.ask("/search/1", at=router)).status == 404
                assert (await fleet.ask("/draft/1", at=router)).status == 401

    play(scenario())


def test_listeners_of_a_large_fleet_apply_changes_under_versions_given_out_again() -> None:
    """Failure: routers that do not call the store miss what readers have read after a restore."""

    async def scenario() -> None:
        web = [PlatformWorker("w1"), PlatformWorker("w2")]
        async with Fleet({"web": web}) as fleet:
            await fleet.add_routers(SMALL_FLEET)
            everyone = [fleet.gateway, *fleet.others]
            await until(lambda: sum(not r._reads("servers") for r in everyone) == SMALL_FLEET - 2)
            copy = fleet.store.copy()
            await write_much(fleet, 20)
            await fleet.store.put("servers", "w2", web[1].entry("web", slots=5))
            await until(lambda: all(r.state.registry.find("w2").slots == 5 for r in everyone))
            async with away(fleet):
                await fleet.store.restore(copy)
                await fleet.store.put("servers", "w1", web[0].entry("web", state="draining"))
                await write_much(fleet)
            await within_drain(
                lambda: all([e.name for e in r.state.usable("web")] == ["w2"] for r in everyone)
            )

    play(scenario())


def test_a_restore_that_no_call_failed_in_is_noticed() -> None:
    """Failure: a call that waits for changes after a version of the former epoch sees none."""

    async def scenario() -> None:
        web = [PlatformWorker("w1"), PlatformWorker("w2")]
        async with Fleet({"web": web}) as fleet:
            copy = fleet.store.copy()
            await write_much(fleet, 20)
            await fleet.store.put("servers", "w2", web[1].entry("web", slots=5))
            await until(lambda: fleet.gateway.state.registry.find("w2").slots == 5)
            await fleet.store.restore(copy)
            await fleet.store.put("servers", "w1", web[0].entry("web", state="draining"))
            await write_much(fleet)
            await within_drain(lambda: len(fleet.gateway.state.usable("web")) == 1)

    play(scenario())
