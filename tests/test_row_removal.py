"""A router that stops is no longer listed, whenever it is told to stop."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from gateway_site import Fleet, play, until

from tamarack_gateway import fleet_feeds
from tamarack_standins.platform_worker import PlatformWorker


def test_a_router_that_is_stopped_as_it_starts_is_not_listed_afterwards() -> None:
    """Guards against a row that is written after its removal was due, and stays."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}, address_ttl_ms=600.0) as fleet:
            async with fleet.router("router-2") as router:
                await router.leave()
            assert set(fleet.store.rows("routers")) == {"router-1"}

    play(scenario())


@pytest.mark.parametrize("fault", ["silent", "refusing"])
def test_a_router_that_stops_while_the_store_fails_removes_its_row_later(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a row that stays since its removal is tried once."""
    monkeypatch.setattr(fleet_feeds, "LEAVE_WRITE_MS", 100.0)

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}, address_ttl_ms=1_000.0) as fleet:
            feeds = fleet.gateway._feeds
            await until(lambda: feeds._own_version is not None)
            setattr(fleet.store, fault, 503)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            calls = len(fleet.store.calls)
            await until(lambda: "/api/rows-tx" in fleet.store.calls[calls:])
            setattr(fleet.store, fault, 0)
            await leaving
            assert not fleet.store.rows("routers")

    play(scenario())


def test_a_stopping_router_leaves_the_row_of_its_successor() -> None:
    """Guards against a router that is not listed since the one before it removed its row."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}, address_ttl_ms=1_000.0) as fleet:
            feeds = fleet.gateway._feeds
            await until(lambda: feeds._own_version is not None)
            leaving = asyncio.ensure_future(fleet.gateway.leave())
            await until(lambda: not fleet.store.rows("routers"))
            async with fleet.router("router-1") as successor:
                await until(lambda: bool(fleet.store.rows("routers")))
                await leaving
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1):
                        await until(lambda: not fleet.store.rows("routers"))
                assert fleet.store.rows("routers")["router-1"] == successor._feeds._own_row

    play(scenario())
