"""Tables that listeners learn from readers: nothing is missed, and nothing old passes for new."""

from __future__ import annotations

import asyncio
from typing import Any, cast

import pytest
from gateway_site import Fleet, configuration, play, until

from tamarack_core.clock import HeldClock
from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_gateway.fleet_members import READERS, FleetMembers, Member
from tamarack_gateway.fleet_state import KEPT_PART
from tamarack_gateway.site import Row, RowsPage
from tamarack_gateway.store_client import StoreError
from tamarack_gateway.table_follower import (
    CopyWanted,
    RowNews,
    TableChange,
    TableFollower,
    TableNews,
)
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import PlatformWorker, Script


class Listener:
    """A follower that never asks; it starts as if it had read the table at version 10."""

    def __init__(self) -> None:
        self.clock = HeldClock(100_000.0)
        self.changes: list[TableChange] = []
        client: Any = None
        self.follower = TableFollower(
            client,
            self.clock,
            "op",
            wait_ms=1_000.0,
            pause_ms=0.0,
            took=self.changes.append,
            changed=lambda what, reason: None,
            reads=lambda: False,
        )
        self.follower._version = 10

    def hear(self, after: int, version: int, rows: list[RowNews] | None, **more: float) -> None:
        news = TableNews("op", after, version, more.get("age_ms", 0.0), rows, {})
        self.follower.hear(news, more.get("stamp_ms", self.clock.now_ms))


def test_news_in_a_row_are_taken_in_once() -> None:
    listener = Listener()
    listener.hear(10, 12, [RowNews("a", b"1", 12)])
    listener.hear(10, 12, [RowNews("a", b"1", 12)])
    listener.hear(11, 14, [RowNews("a", b"1", 12), RowNews("b", None, 14)])
    assert [[row.key for row in change.rows] for change in listener.changes] == [["a"], [], ["b"]]
    assert listener.follower.version == 14


def test_after_a_lost_message_the_store_is_asked() -> None:
    """Symptom: a router misses a change for good.

    Sequence: a message of a reader is lost; the next one begins after it. Cause: the next one was
    taken in as if nothing lay between.
    """
    listener = Listener()
    listener.hear(12, 14, [RowNews("b", b"2", 14)])
    assert listener.changes == []
    assert not listener.follower._listening()


def test_rows_that_are_too_large_to_be_told_are_asked_for() -> None:
    listener = Listener()
    listener.hear(10, 12, None)
    assert listener.changes == []
    assert not listener.follower._listening()


def test_a_configuration_of_the_largest_size_is_told() -> None:
    """Symptom: each change of a configuration brings a call of the store by every router.

    Sequence: a configuration with many routes changes; readers hear of it. Cause: they told others
    that it had changed, but not how, since it was above 8 KiB.
    """
    listener = Listener()
    told: list[TableNews] = []
    listener.follower._on_result = told.append
    row = Row("op", "config", b"x" * 65_536, 12)
    listener.follower._publish(10, 12, [row], 99_000.0)
    assert told[0].rows == [RowNews("config", row.value, 12)]


def test_news_that_were_held_up_confirm_nothing_new() -> None:
    """Symptom: a key that was taken away opens something seconds later.

    Sequence: messages of a reader are held up between the routers and come all at once. Cause:
    their time of arrival was taken for the time at which the store was asked.
    """
    listener = Listener()
    listener.clock.advance(20_000.0)
    listener.hear(10, 10, [], stamp_ms=100_000.0, age_ms=700.0)
    assert listener.changes[0].asked_ms == 99_300.0


def test_a_listener_that_hears_nothing_asks_itself() -> None:
    listener = Listener()
    listener.hear(10, 10, [])
    assert listener.follower._listening()
    listener.clock.advance(2_200.0)
    assert not listener.follower._listening()


def test_a_router_that_has_just_read_a_table_waits_for_news() -> None:
    """Symptom: routers of a large fleet that start at once ask the store three times each.

    Sequence: all read the whole table, then hear of each other. Cause: a router that had heard no
    news yet went on asking itself, though what it had read was as new.
    """

    class Pages:
        async def read_all(self, table: str) -> RowsPage:
            return RowsPage([], 10, False)

    listener = Listener()
    listener.follower._version = None
    listener.follower._client = cast(Any, Pages())
    asyncio.run(listener.follower._call_store())
    assert listener.follower._listening()
    listener.clock.advance(2_200.0)
    assert not listener.follower._listening()


def test_grace_for_lapsed_rows_runs_from_the_first_sign_of_the_store() -> None:
    """Symptom: an endpoint that left gets new work for more than two seconds.

    Sequence: the store is back; one task reaches it, another is in a pause between failed calls;
    an endpoint leaves meanwhile. Cause: the time of grace ran from the second task's own answer.
    """
    listener = Listener()
    follower = listener.follower
    follower._failures = 3
    follower.renew()
    listener.clock.advance(900.0)
    follower._store_answered()
    assert follower._recovered_ms == 100_000.0


def members_of(count: int) -> list[Member]:
    return [
        Member(f"r{number}", 1, f"domain-{number % 4}", f"c{number}", True, 0.0)
        for number in range(count)
    ]


def test_a_few_readers_in_different_domains_serve_a_large_fleet() -> None:
    for count in (SMALL_FLEET, 66):
        everyone = members_of(count)
        readers = []
        for me in everyone:
            members = FleetMembers()
            for other in everyone:
                if other is not me:
                    members.heard(other)
            if members.reads("op", me, 100.0):
                readers.append(me)
        if count <= SMALL_FLEET:
            assert len(readers) == count
        else:
            assert len(readers) == READERS
            assert len({reader.failure_domain for reader in readers}) == READERS


def test_callers_are_sent_past_a_router_that_the_store_turns_away() -> None:
    """Symptom: callers of one failure domain are refused for seconds, beside routers with room.

    Sequence: the store turns one router away; its keys lapse. Cause: its address stayed in the
    answers to callers. When the store is away for all, all are named.
    """
    members = FleetMembers()
    first, second, me = members_of(3)
    members.heard(first)
    members.heard(second._replace(fresh=False))
    assert set(members.addresses(me, "domain-1", 100.0)) == {"c0", "c2"}
    members.heard(first._replace(fresh=False))
    assert len(members.addresses(me._replace(fresh=False), "domain-1", 100.0)) == 3


def test_a_listening_router_learns_of_changes_and_stays_confirmed() -> None:
    """A second router that may not ask the store is told of a change by the first one."""

    async def story() -> None:
        fleet = Fleet({"pool": [PlatformWorker("e1", Script(events=1))]})
        async with fleet, fleet.router("router-2") as second:
            await until(lambda: second.state.ready and bool(second._members.stamps()))
            second._members.reads = lambda table, me, now_ms: False  # type: ignore[method-assign]
            followers = second._feeds._followers
            await until(followers["op"]._listening)
            await fleet.store.put("op", "config", configuration(7))
            await until(lambda: second.state.rules is not None and second.state.rules.version == 7)
            await asyncio.sleep(0)
            assert second.state.freshness.trusted(second.state.clock.now_ms)

    play(story())


def test_callers_are_spread_where_most_routers_have_not_confirmed_lately() -> None:
    """Symptom: one router of 66 gets three quarters of all requests, and runs out of descriptors.

    Sequence: confirmations come by other routers and are a little too old at most routers; one that
    asks the store itself is always fresh. Cause: callers were sent to fresh routers only.
    """
    members = FleetMembers()
    everyone = members_of(66)
    for number, member in enumerate(everyone[1:], 1):
        members.heard(member._replace(fresh=number % 8 == 0))
    found = members.addresses(everyone[0], "domain-0", 100.0)
    near = [m for m in everyone if m.failure_domain == "domain-0"]
    assert len(found) >= len(near)
    for number, member in enumerate(everyone[1:], 1):
        members.heard(member._replace(fresh=number % 4 != 0 or number < 12))
    found = members.addresses(everyone[0], "domain-0", 100.0)
    assert len(found) >= len(near) // 2
    stale = {m.callers for n, m in enumerate(everyone[1:], 1) if n % 4 == 0 and n >= 12}
    assert not stale & set(found)


def test_a_router_that_the_store_turns_away_gets_a_large_change_from_the_others() -> None:
    """Symptom: a third of the routers refuse all callers with keys for seconds; the others serve.

    Sequence: the store turns just these routers away; a change of the configuration is larger than
    what routers tell each other of by themselves. Cause: the router was to read it from the store,
    and news that came after it were of no use without it. Evidence: 22 of 66 routers had confirmed
    their keys 8.4 s before, with three readers telling the others each second.
    """

    async def story() -> None:
        async with (
            Fleet({"web": [PlatformWorker("w1")]}) as fleet,
            FaultProxy(fleet.store.address) as link,
            fleet.router("router-2", store=link.address) as second,
        ):
            state = second.state
            await until(lambda: state.ready)
            await until(lambda: bool(fleet.gateway._members.known() and second._members.known()))
            link.cut_back = True
            link.reset_open()
            others = [{"name": f"w{n}", "apiKeys": [f"{n:0>200}"]} for n in range(80)]
            tenants = [{"name": "shop", "apiKeys": ["key-two"]}, *others]
            await fleet.store.put("op", "config", configuration(2, tenants=tenants))
            await until(lambda: state.rules is not None and state.rules.version == 2)
            seen_ms = state.clock.now_ms
            await until(lambda: state.freshness.age_ms(seen_ms) < 0.0)

    play(story())


def test_one_copy_serves_all_who_ask() -> None:
    listener = Listener()
    listener.hear(10, 12, [RowNews("a", b"1", 12)])
    reader = listener.follower
    reader._reads = lambda: True
    assert reader.copy(12) is None
    copy = reader.copy(11)
    assert copy is not None
    assert (copy.whole, copy.version, [row.key for row in copy.rows or []]) == (True, 12, ["a"])
    assert reader.copy(10) is None
    behind = Listener()
    behind.hear(11, 12, [])
    behind.follower.hear(copy, behind.clock.now_ms)
    assert behind.follower.version == 12
    assert [change.whole for change in behind.changes] == [True]


def test_a_late_answer_does_not_undo_what_others_told() -> None:
    """Symptom: an endpoint that drains gets new work again for a while.

    Sequence: a router waits for the store's answer; others tell it of a newer change; the answer,
    of an older version, comes then. Cause: its rows were taken in whatever was known.
    """

    class Store:
        def __init__(self) -> None:
            self.answer = asyncio.get_running_loop().create_future()

        async def watch(self, table: str, after: int, wait_ms: float) -> RowsPage:
            return await self.answer

    async def story() -> None:
        listener, store = Listener(), Store()
        listener.follower._client = cast(Any, store)
        step = asyncio.ensure_future(listener.follower._call_store())
        await asyncio.sleep(0)
        listener.hear(10, 12, [RowNews("e", b"draining", 12)])
        store.answer.set_result(RowsPage([Row("op", "e", b"ready", 11)], 11, False))
        await step
        believed = {row.key: row.value for change in listener.changes for row in change.rows}
        assert believed == {"e": b"draining"}
        assert listener.follower.version == 12

    play(story())


def test_a_router_whose_history_is_gone_gets_a_copy() -> None:
    """Symptom: a router that the store turns away hears of nothing any more.

    Sequence: the store forgets its history and then turns the router away. Cause: one that knows
    no version neither asked the others for the table nor took what they told.
    """

    async def story() -> None:
        wanted: list[CopyWanted] = []
        listener = Listener()
        listener.follower._request_copy = wanted.append
        listener.follower._version = None
        await listener.follower._store_failed(StoreError("status 503"))
        assert [want.after for want in wanted] == [0]
        copy = TableNews("op", 0, 12, 0.0, [RowNews("a", b"1", 12)], {}, whole=True)
        listener.follower.hear(copy, listener.clock.now_ms)
        assert listener.follower.version == 12

    play(story())


def test_a_router_that_starts_after_its_time_of_day_was_set_back_is_named() -> None:
    """Symptom: a router is ready and no caller is sent there, for as long as it runs.

    Sequence: its time of day is set back, and it starts again. Cause: lives are told apart by the
    time of day at their start, and the new one was taken for a former one for good.
    """

    def told(boot: int, heard_ms: float) -> Member:
        return Member("r", boot, "d", "127.0.0.1:1", True, heard_ms)

    members = FleetMembers()
    members.heard(told(2_000, 0.0))
    assert not members.heard(told(1_000, 100.0))
    for at_ms in range(250, 6_000, 250):
        members.heard(told(1_000, float(at_ms)))
    assert [member.boot for member in members.live(6_000.0)] == [1_000]


@pytest.mark.parametrize("drain_ms", [2_000.0, 3_000.0, 4_000.0])
def test_a_missed_word_of_a_leaving_endpoint_is_noticed_while_it_may_get_work(
    drain_ms: float,
) -> None:
    """Failure: a listener learns of a gap by the readers' next answers, a whole wait later."""

    async def story() -> None:
        workers = {"pool": [PlatformWorker("e1", Script(events=1))]}
        async with Fleet(workers, drain_ms=drain_ms) as fleet:
            assert fleet.gateway._feeds._followers["servers"]._wait_ms < KEPT_PART * drain_ms

    play(story())
