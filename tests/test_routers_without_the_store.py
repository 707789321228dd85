"""Routers that the store turns away learn what others know."""

from __future__ import annotations

import contextlib
import random
from collections.abc import Callable

import pytest
from fleet_views import members_of, views
from gateway_site import Fleet, configuration, play, until

from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_gateway import table_follower
from tamarack_gateway.fleet_members import (
    READERS,
    STORE_BACK_MS,
    STORE_LOST_MS,
    FleetMembers,
    Member,
)
from tamarack_gateway.gateway import Gateway
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import PlatformWorker, Script

ENDPOINTS = "servers"
NEVER = 1_000.0
"""Waits without a message after which a listener calls the store: longer than a test."""


def readers(count: int, lost: set[str], *, now_ms: float) -> list[str]:
    """Routers that read tables, each by its own view; the `lost` have told a failure at 0 ms."""
    return [me.router for me, members in views(count, lost) if members.reads(me, now_ms)]


def test_routers_that_the_store_turns_away_are_replaced_as_readers() -> None:
    """Failure: all readers of a table are turned away, and nobody reads it."""
    first = readers(66, set(), now_ms=100.0)
    assert len(first) == READERS
    second = readers(66, set(first), now_ms=100.0)
    assert len(second) == READERS
    assert not set(first) & set(second)


def test_of_195_routers_of_which_most_are_turned_away_others_read() -> None:
    """Failure: readers are chosen among routers that cannot read while some can."""
    everyone = members_of(195)
    lost = {member.router for member in everyone[5:]}
    assert set(readers(195, lost, now_ms=100.0)) <= {m.router for m in everyone[:5]}


def test_a_store_that_is_away_for_all_is_tried_by_a_few() -> None:
    """Failure: nobody tries a store that has turned everybody away, or everybody does."""
    everyone = members_of(66)
    assert len(readers(66, {member.router for member in everyone}, now_ms=100.0)) == READERS


def test_a_router_that_was_turned_away_may_read_again(monkeypatch: pytest.MonkeyPatch) -> None:
    """Failure: a router that the store once failed never reads again."""
    monkeypatch.setattr("tamarack_gateway.fleet_members.RELAYED_SILENCE_MS", 1e9)
    first = readers(66, set(), now_ms=100.0)
    assert set(readers(66, set(first), now_ms=STORE_LOST_MS)) > set(first)
    assert readers(66, set(first), now_ms=STORE_LOST_MS + STORE_BACK_MS) == first


@pytest.mark.parametrize("away_ms", [1_000, 9_000, 25_000])
@pytest.mark.parametrize("heard", [1.0, 0.7])
def test_some_router_reads_at_any_time_while_others_are_turned_away_for_long(
    away_ms: int, heard: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against readers that others take to be back before they take themselves to be."""
    monkeypatch.setattr("tamarack_gateway.fleet_members.RELAYED_SILENCE_MS", 1e9)
    chance = random.Random(5)
    fleet = list(views(24))
    away = {me.router for me, members in fleet if members.reads(me, 0.0)}
    for now_ms in range(0, away_ms + 20_000, 100):
        for me, members in fleet:
            if me.router in away and now_ms < away_ms and members.reads(me, now_ms):
                tell(me, fleet, members, now_ms, lambda: chance.random() < heard)
        for me, members in fleet:
            # Those that do not read go on failing at other calls.
            if me.router in away and now_ms < away_ms and now_ms % 900 == 0:
                tell(me, fleet, members, now_ms, lambda: chance.random() < heard)
        reading = [me.router for me, members in fleet if members.reads(me, now_ms)]
        assert now_ms < 1_000 or [name for name in reading if name not in away or now_ms >= away_ms]


def tell(
    me: Member,
    fleet: list[tuple[Member, FleetMembers]],
    members: FleetMembers,
    now_ms: float,
    is_heard: Callable[[], bool],
) -> None:
    """Record a failed call of a router, as a gateway does, and let some of the others hear it."""
    if not members.record_own_store_lost(me.router, now_ms):
        return
    for other, others_members in fleet:
        if other is not me and is_heard():
            others_members.record_store_lost(me.router, now_ms)


class LargeFleet:
    """Routers of a fleet with relays, each with its own link to the store, and two workers."""

    def __init__(self) -> None:
        self._fleet = Fleet({})
        self.workers = [PlatformWorker(name, Script(events=1)) for name in ("e1", "e2")]
        self._stack = contextlib.AsyncExitStack()
        self.routers: list[Gateway] = []
        self.links: dict[Gateway, FaultProxy] = {}

    async def __aenter__(self) -> LargeFleet:
        enter, store = self._stack.enter_async_context, self.store
        await enter(store)
        await store.put("op", "config", configuration())
        for worker in self.workers:
            await enter(worker)
            await store.put(ENDPOINTS, worker.name, worker.entry("pool"))
        for number in range(SMALL_FLEET + 2):
            link = await enter(FaultProxy(store.address))
            domain = f"d{number % 2}"
            router = self._fleet.router(f"r{number}", store=link.address, domain=domain)
            self.routers.append(await enter(router))
            self.links[router] = link
        for router in self.routers:
            await until(lambda router=router: router.state.ready and router._peers.large)
        await until(lambda: len(self.readers()) == READERS)
        # Ends the calls that routers made before they had heard of the readers.
        await store.forget_history()
        await until(lambda: all(self._waits_for_messages(router) for router in self._listeners()))
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    @property
    def store(self) -> PlatformStore:
        """The store."""
        return self._fleet.store

    def readers(self) -> list[Gateway]:
        """Routers that read the table of endpoints by their own views."""
        heard = len(self.routers) - 1
        if any(len(r._members.recent_routers(r._clock.now_ms)) < heard for r in self.routers):
            return []
        return [router for router in self.routers if router._reads()]

    def _listeners(self) -> list[Gateway]:
        readers = self.readers()
        return [router for router in self.routers if router not in readers]

    @staticmethod
    def _waits_for_messages(router: Gateway) -> bool:
        follower = router._feeds._followers[ENDPOINTS]
        call = follower._call_task
        return follower._listening() and (call is None or call.done())

    def turn_away(self, routers: list[Gateway]) -> None:
        """Reset the calls of some routers to the store, and those that they make from now on."""
        for router in routers:
            link = self.links[router]
            link.block_to_target = link.block_from_target = True
            link.reset_open()

    def usable_at(self, name: str) -> list[str]:
        """Routers that may send requests to an endpoint."""
        found = [(router, router.state.registry.find(name)) for router in self.routers]
        return [r.state.settings.router for r, e in found if e is not None and not e.draining]


def test_a_change_reaches_all_routers_though_the_store_turns_all_readers_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: requests reach an endpoint seconds after its entry said that it leaves."""
    monkeypatch.setattr(table_follower, "SILENCE_WAITS", NEVER)

    async def scenario() -> None:
        async with LargeFleet() as large:
            large.turn_away(large.readers())
            entry = large.workers[0].entry("pool", state="draining")
            await large.store.put(ENDPOINTS, "e1", entry)
            await until(lambda: not large.usable_at("e1"))

    play(scenario())


def test_the_shortest_held_call_shows_that_a_silent_store_does_not_answer_a_reader() -> None:
    """Failure: a change is read when the longest held calls end, though another table is down."""

    async def scenario() -> None:
        async with LargeFleet() as large:
            silent = large.readers()
            for router in silent:
                large.links[router].block_to_target = True
                large.links[router].block_from_target = True
            await until(lambda: bool(large.readers()) and not set(silent) & set(large.readers()))
            followers = [router._feeds._followers for router in silent]
            # Usually that of `op`; another one that began well before it may end first.
            for by_table in followers:
                failed = {table for table, f in by_table.items() if f._last_call_failed}
                assert failed
                assert ENDPOINTS not in failed

    play(scenario())


def test_what_an_endpoint_says_in_an_answer_reaches_routers_without_the_store() -> None:
    """Failure: that an endpoint leaves is known to the one router that it answered."""

    async def scenario() -> None:
        leaving = PlatformWorker("w1", Script(leaving=True))
        async with Fleet({"web": [leaving, PlatformWorker("w2")]}) as fleet:
            await fleet.add_routers(2)
            await fleet.until_acquainted()
            fleet.store.silent = True
            while not leaving.received:
                await fleet.ask("/page/1")
            for other in fleet.others:
                await until(lambda other=other: other.state.registry.find("w1").draining)

    play(scenario())


def test_a_router_that_joins_learns_which_endpoints_said_that_they_leave() -> None:
    """Failure: a router that starts, or was cut off, sends requests to leaving endpoints."""

    async def scenario() -> None:
        leaving = PlatformWorker("w1", Script(leaving=True))
        async with Fleet({"web": [leaving, PlatformWorker("w2")]}) as fleet:
            while not leaving.received:
                await fleet.ask("/page/1")
            await fleet.add_routers(1)
            (other,) = fleet.others
            await until(lambda: other.state.registry.find("w1").draining)

    play(scenario())
