"""A store that comes back from a copy some seconds old, and gives versions out again."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator
from typing import Any

import pytest
from gateway_site import Fleet, configuration, play, until
from test_table_follower import Listener

from tamarack_core.relay_plan import SMALL_FLEET
from tamarack_core.termination_evidence import QuarantinedRequest
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.http_messages import AnswerHead
from tamarack_gateway.store_epoch import epoch_of, with_epoch
from tamarack_gateway.table_follower import TableFollower
from tamarack_gateway.table_messages import PublishedRow, TableNews
from tamarack_platform.store import PlatformStore as StoreDialect
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import PlatformWorker, Script

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


async def until_read(fleet: Fleet, table: str) -> None:
    """Wait until the first router has read a table in the store's present epoch."""
    follower = fleet.gateway._feeds._followers[table]
    await until(lambda: epoch_of(follower.version or 0) == fleet.store.era)


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
            await until(lambda: sum(not r._reads() for r in everyone) == SMALL_FLEET - 2)
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


def news(epoch: int, version: int, *, whole: bool = False) -> TableNews:
    """A reader's message about one change, or with the whole table."""
    row = PublishedRow("a", b"1", with_epoch(epoch, version))
    after = with_epoch(epoch, 0 if whole else version - 1)
    return TableNews("op", after, row.version, 0.0, [row], {}, whole)


@pytest.mark.parametrize("epoch", [1, 3])
def test_a_listener_does_not_combine_changes_of_two_epochs(epoch: int) -> None:
    """Failure: a change of another epoch counts as the next one, or as known already."""
    listener = Listener()
    listener.follower._epoch.observe(2)
    listener.follower._version = with_epoch(2, 10)
    listener.follower.receive(news(epoch, 11), 0.0)
    assert listener.changes == []
    assert not listener.follower._listening()


def test_a_listener_takes_a_whole_table_of_a_newer_epoch_only() -> None:
    """Failure: a reader that missed a restore brings back what the store no longer holds."""
    listener = Listener()
    listener.follower._epoch.observe(2)
    listener.follower._version = with_epoch(1, 90)
    listener.follower.receive(news(1, 95, whole=True), 0.0)
    assert listener.changes == []
    listener.follower.receive(news(2, 11, whole=True), 0.0)
    assert [change.whole for change in listener.changes] == [True]
    assert listener.follower.version == with_epoch(2, 11)


# what the copy lacks


def test_an_endpoint_that_leaves_stays_out_of_use_when_a_copy_says_ready() -> None:
    """Failure: a copy from before an endpoint's notice makes routers use it again."""

    async def scenario() -> None:
        web = [PlatformWorker(f"w{number}") for number in (1, 2, 3)]
        async with Fleet({"web": web}) as fleet:
            state = fleet.gateway.state
            copy = fleet.store.copy()
            await fleet.store.put("servers", "w1", web[0].entry("web", state="draining"))
            await fleet.store.remove("servers", "w2")
            await until(lambda: [e.name for e in state.usable("web")] == ["w3"])
            async with away(fleet):
                await fleet.store.restore(copy)
            await until_read(fleet, "servers")
            assert state.registry.find("w2") is not None
            until_s = asyncio.get_running_loop().time() + 1.0
            while asyncio.get_running_loop().time() < until_s:
                assert [e.name for e in state.usable("web")] == ["w3"]
                await asyncio.sleep(0.01)
            await fleet.store.put("servers", "w1", web[0].entry("web", state="draining"))
            await fleet.store.put("servers", "w2", web[1].entry("web", slots=5))
            await until(lambda: {e.name for e in state.usable("web")} == {"w2", "w3"})

    play(scenario())


def test_an_evacuation_that_a_copy_lacks_stays_in_force_until_it_could_be_ordered_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: requests reach an evacuated domain because the store has lost the order."""
    monkeypatch.setattr("tamarack_gateway.fleet_feeds.LOST_CHANGES_MS", 1_500.0)
    monkeypatch.setattr("tamarack_gateway.store_epoch.LOST_CHANGES_MS", 1_500.0)

    async def scenario() -> None:
        web = [PlatformWorker("w1", zone="a"), PlatformWorker("w2", zone="b")]
        async with Fleet({"web": web}) as fleet:
            state = fleet.gateway.state
            copy = fleet.store.copy()
            await fleet.store.put("op", "evacuate/a", {})
            await until(lambda: state.evacuations.covers("a"))
            async with away(fleet):
                await fleet.store.restore(copy)
            await until_read(fleet, "op")
            until_s = asyncio.get_running_loop().time() + 0.5
            while asyncio.get_running_loop().time() < until_s:
                assert state.evacuations.covers("a")
                await asyncio.sleep(0.01)
            await until(lambda: not state.evacuations.covers("a"))

    play(scenario())


def test_a_copy_does_not_replace_a_newer_configuration() -> None:
    """Failure: a revoked key is accepted again, also if the newest version is unreadable."""

    async def scenario() -> None:
        engine = PlatformWorker("e1", Script(events=1))
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state
            copy = fleet.store.copy()
            unreadable = {**without_search(2), "routes": "none"}
            await fleet.store.put("op", "config", unreadable)
            await until(lambda: state.unreadable_rules is not None)
            assert (await fleet.ask("/draft/1")).status in (401, 503)
            async with away(fleet):
                await fleet.store.restore(copy)
            await until_read(fleet, "op")
            for _ in range(20):
                assert (await fleet.ask("/draft/1")).status in (401, 503)
                await asyncio.sleep(0.02)
            assert engine.received == []
            await fleet.store.put("op", "config", configuration(3))
            await follow_all([fleet.gateway], 3)

    play(scenario())


def test_routers_keep_serving_by_their_configuration_when_an_older_copy_comes_back() -> None:
    """Guards against a running router that refuses callers as if it knew no configuration."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            routers = [fleet.gateway, *fleet.others]
            copy = fleet.store.copy()
            for version in range(2, 8):
                await fleet.store.put("op", "config", configuration(version))
            await follow_all(routers, 7)
            statuses: list[set[int]] = [set() for _ in routers]
            over = asyncio.Event()

            async def call(router: Gateway, seen: set[int]) -> None:
                while not over.is_set():
                    seen.add((await fleet.ask("/page/1", at=router, method="GET")).status)

            calls = [
                asyncio.ensure_future(call(*one)) for one in zip(routers, statuses, strict=True)
            ]
            fleet.store.silent = True
            await asyncio.sleep(0.1)
            await fleet.store.restore(copy)
            fleet.store.silent = False
            await until(lambda: all(r._feeds._epoch.current == fleet.store.era for r in routers))
            await asyncio.sleep(0.3)
            await fleet.store.put("op", "config", configuration(8))
            await follow_all(routers, 8)
            over.set()
            await asyncio.gather(*calls)
            assert statuses == [{200}] * 2

    play(scenario())


def test_a_router_of_a_store_without_epochs_has_nothing_to_learn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against processor time for checks twenty times a second, for good."""

    async def names_no_epoch(store: PlatformStore, request: Any, response: Any) -> None:
        pass

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            assert not fleet.gateway._feeds._epoch.known
            assert not fleet.gateway._feeds.briefing._may_learn

    monkeypatch.setattr(PlatformStore, "_name_era", names_no_epoch)
    play(scenario())


def test_a_copy_does_not_confirm_keys() -> None:
    """Failure: a key whose revocation the store has lost is accepted past the bound.

    Nor must all keys expire because the next confirmation waits for a change.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            state, clock = fleet.gateway.state, fleet.gateway.state.clock
            copy = fleet.store.copy()
            async with away(fleet):
                lost_ms = clock.now_ms
                await fleet.store.restore(copy)
            await until_read(fleet, "op")
            await asyncio.sleep(1.2)
            assert state.freshness.age_ms(clock.now_ms) >= clock.now_ms - lost_ms
            async with asyncio.timeout(TableFollower.RETURN_MS / 1000 - 1.2 + 0.5):
                await until(lambda: state.freshness.age_ms(clock.now_ms) < 500.0)

    play(scenario())


async def restore_lost(fleet: Fleet, *, lost: Any) -> None:
    """Let the store lose what `lost` writes, after the first router has applied it."""
    copy = fleet.store.copy()
    await lost()
    async with away(fleet):
        await fleet.store.restore(copy)
    await until_read(fleet, "op")


async def revoke_key(fleet: Fleet) -> None:
    """Take the callers' key away."""
    await fleet.store.put("op", "config", without_search(2))
    await follow_all([fleet.gateway], 2)


async def evacuate_a(fleet: Fleet) -> None:
    """Evacuate a failure domain."""
    await fleet.store.put("op", "evacuate/a", {})
    await until(lambda: fleet.gateway.state.evacuations.covers("a"))


def test_a_router_that_starts_after_a_restore_does_not_serve_a_revoked_key() -> None:
    """Guards against a router that has just started and believes the copy."""

    async def scenario() -> None:
        engine = PlatformWorker("e1", Script(events=1))
        async with Fleet({"pool": [engine]}) as fleet:
            await restore_lost(fleet, lost=lambda: revoke_key(fleet))
            async with fleet.router("late") as late:
                await until(lambda: late.state.ready)
                for _ in range(20):
                    assert (await fleet.ask("/draft/1", at=late)).status in (401, 503)
                    await asyncio.sleep(0.02)
                await follow_all([late], 2)
                assert (await fleet.ask("/draft/1", at=late)).status in (401, 503)
                assert engine.received == []

    play(scenario())


def test_a_router_that_starts_after_a_restore_learns_of_an_evacuation_from_others() -> None:
    """Guards against requests to a failure domain whose evacuation the store has lost."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            await restore_lost(fleet, lost=lambda: evacuate_a(fleet))
            async with fleet.router("late") as late:
                await until(lambda: late.state.ready)
                assert late.state.evacuations.covers("a")

    play(scenario())


def test_a_router_learns_of_a_configuration_that_only_another_one_has_read() -> None:
    """Guards against keys of a copy that count although another router knows newer ones."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            value = json.dumps(without_search(2)).encode()
            fleet.gateway._feeds._configuration.put_told(value)
            await follow_all(fleet.others, 2)

    play(scenario())


@pytest.mark.parametrize("restored", [False, True])
def test_a_router_that_starts_alone_trusts_the_store_as_soon_as_it_may(restored: bool) -> None:
    """Guards against starts that wait without need, and against trust in a copy."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            rows = fleet.store.rows
            await until(lambda: b'"settled":1' in rows("versions").get("router-1", b""))
            copy = fleet.store.copy()
            await fleet.gateway.leave()
            await fleet.gateway.__aexit__(None, None, None)
            if restored:
                await fleet.store.restore(copy)
                await fleet.store.remove("routers", "router-1")
            async with fleet.router("late") as late:
                started_ms = late.state.clock.now_ms
                await until(lambda: late.state.ready and late.state.fresh)
                took_ms = late.state.clock.now_ms - started_ms
                assert (took_ms >= TableFollower.RETURN_MS) is restored

    play(scenario())


def test_a_foreign_row_does_not_hide_that_the_epoch_is_old() -> None:
    """Guards against starts that wait because one row among those of the routers is unreadable."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            rows = fleet.store.rows
            await until(lambda: b'"settled":1' in rows("versions").get("router-1", b""))
            await fleet.store.put("versions", "a-foreign-row", b"\xff")
            await fleet.gateway.leave()
            await fleet.gateway.__aexit__(None, None, None)
            async with fleet.router("late") as late:
                started_ms = late.state.clock.now_ms
                await until(lambda: late.state.ready and late.state.fresh)
                assert late.state.clock.now_ms - started_ms < TableFollower.RETURN_MS

    play(scenario())


def test_a_copy_from_before_the_first_router_ends_no_doubt() -> None:
    """Guards against a router that saw the restore, and takes an empty copy for a new store."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            feeds, state = fleet.gateway._feeds, fleet.gateway.state
            await until(lambda: b'"settled":1' in fleet.store.rows("versions").get("router-1", b""))
            copy = fleet.store.copy()
            copy.tables.pop("versions")
            await fleet.store.restore(copy)
            await until(lambda: feeds.store_epoch == 2)
            state.software_versions._since_ms = state.clock.now_ms
            await until(lambda: state.software_versions.complete)
            assert not state.vouching.settled(state.clock.now_ms)

    play(scenario())


def test_a_copy_does_not_end_a_warm_up() -> None:
    """Failure: an endpoint that turned cold after the copy was made gets all requests at once."""

    async def scenario() -> None:
        engine = PlatformWorker("e1", Script(events=1))
        async with Fleet({"pool": [engine]}) as fleet:
            state = fleet.gateway.state
            cold = configuration(2)
            cold["services"][1] |= {"coldStartS": 10.0, "coldPerS": 4.0}
            await fleet.store.put("op", "config", cold)
            await follow_all([fleet.gateway], 2)
            copy = fleet.store.copy()
            entry = {**engine.entry("pool"), "coldRemainingMs": 9_000}
            await fleet.store.put("servers", "e1", entry)
            await until(lambda: len(state.warm_ups.warming_endpoints(state.clock.now_ms)) == 1)
            async with away(fleet):
                await fleet.store.restore(copy)
            await until_read(fleet, "servers")
            assert len(state.warm_ups.warming_endpoints(state.clock.now_ms)) == 1

    play(scenario())


# rows of the routers' own


def test_routers_write_their_lost_rows_again() -> None:
    """Failure: routers that start after a restore do not find the others."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            copy = fleet.store.copy()
            row = fleet.store.rows("routers")["router-1"]
            former = {**json.loads(row), "boot": 7, "peers": "127.0.0.1:9"}
            copy.tables["routers"]["router-1"] = copy.tables["routers"]["router-1"]._replace(
                value=json.dumps(former).encode()
            )
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            for _ in range(2):
                async with away(fleet):
                    await fleet.store.restore(copy)
                await until(lambda: fleet.store.rows("routers").get("router-1") == row)
                await until(lambda: "router-2" in fleet.store.rows("routers"))
                peers = set(fleet.gateway._feeds.listed_routers)
                assert peers == {"router-1", "router-2"}

    play(scenario())


def test_quarantined_requests_that_a_copy_lacks_are_stored_again() -> None:
    """Failure: a quarantined request crashes endpoints again after the store was restored."""

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", Script(events=1))]}) as fleet:
            quarantine = fleet.gateway.state.quarantine
            copy = fleet.store.copy()
            request = QuarantinedRequest("f1", "shop", 0)
            quarantine.add(request, fleet.gateway.state.clock.now_ms)
            await until(lambda: "f1" in fleet.store.rows("quarantine"))
            await until(lambda: not quarantine.unstored())
            async with away(fleet):
                await fleet.store.restore(copy)
                assert "f1" not in fleet.store.rows("quarantine")
            await until(lambda: "f1" in fleet.store.rows("quarantine"))
            assert quarantine.contains("f1")

    play(scenario())


def test_a_stopping_router_does_not_remove_a_row_under_a_version_given_out_again() -> None:
    """Failure: the condition on a version holds for another write of the row."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            feeds = fleet.gateway._feeds
            await until(lambda: feeds._own_version is not None)
            feeds._epoch.observe(fleet.store.era + 1)
            await feeds.deregister()
            assert "router-1" in fleet.store.rows("routers")

    play(scenario())


# bad input


@pytest.mark.parametrize(
    ("value", "epoch"),
    [(b"3", 3), (b" 4 ", 4), (b"", None), (b"-1", None), (b"1.5", None), (b"x", None)]
    + [(b"9" * 40, None)],
)
def test_an_epoch_that_is_no_number_is_ignored(value: bytes, epoch: int | None) -> None:
    """Failure: an unreadable header ends the task that follows the store."""
    assert StoreDialect().epoch(AnswerHead(200, [(b"store-era", value)], 0, False)) == epoch


def test_an_implausible_epoch_does_not_hide_later_restores() -> None:
    """Failure: after one absurd header no later restore is noticed."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            feeds = fleet.gateway._feeds
            await until(lambda: feeds.store_epoch == 1)
            fleet.store.era = 10**15
            await fleet.store.put("op", "config", configuration(2))
            await follow_all([fleet.gateway], 2)
            assert feeds.store_epoch == 1

    play(scenario())
