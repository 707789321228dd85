"""Silence, suspension, late writes, and callers that leave or are too many."""

from __future__ import annotations

import asyncio
import contextlib
import json
from pathlib import Path

import pytest
from gateway_site import Fleet, configuration, connect, play, read_answer, until

from tamarack_core.clock import BootClock
from tamarack_gateway import main, store_client
from tamarack_gateway.site import GatewaySettings
from tamarack_standins.fault_proxy import FaultProxy
from tamarack_standins.platform_worker import PlatformWorker, Script

STREAM = Script(events=5)


class JumpingClock(BootClock):
    """A clock that a test moves ahead, as it is after a suspension."""

    def __init__(self) -> None:
        self.ahead_ms = 0.0

    @property
    def now_ms(self) -> float:
        return super().now_ms + self.ahead_ms


def test_a_change_comes_through_after_connections_to_the_store_have_gone_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Symptom: a router never hears of a new configuration, though the store works.

    Sequence: its open connections to the store go silent without a reset; the configuration
    changes; new connections work. Cause: a call was waited for without a timeout of its own.
    """
    monkeypatch.setattr(store_client, "CALL_MS", 300.0)

    async def story() -> None:
        async with (
            Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet,
            FaultProxy(fleet.store.address) as link,
            fleet.router("router-2", store=link.address) as router,
        ):
            await until(lambda: router.state.ready)
            link.silence_open()
            await fleet.store.put("op", "config", configuration(7))
            await until(lambda: router.state.rules.version == 7)

    play(story())


def test_a_kept_connection_that_went_silent_costs_an_idempotent_request_nothing() -> None:
    """Symptom: a request that may be repeated is never answered.

    Sequence: a connection to an endpoint is kept and goes silent while it is idle; the next request
    is sent on it. Cause: the router waits for its answer until the deadline.
    """

    async def story() -> None:
        worker = PlatformWorker("w1")
        async with (
            Fleet({"web": [PlatformWorker("w0"), worker]}) as fleet,
            FaultProxy(worker.address) as link,
        ):
            await fleet.store.remove("servers", "w0")
            entry = {**worker.entry("web"), "address": link.address}
            await fleet.store.put("servers", "w1", entry)
            book = fleet.gateway.state.book
            await until(
                lambda: [e.address for e in book.usable("web")] == [link.address],
            )
            assert (await fleet.ask("/search/1")).status == 200
            link.silence_open()
            other = PlatformWorker("w2")
            async with other:
                await fleet.store.put("servers", "w2", other.entry("web"))
                await until(lambda: len(book) == 2)
                assert (await fleet.ask("/search/2")).status == 200

    play(story())


def test_keys_are_not_trusted_after_a_suspension_until_they_are_confirmed() -> None:
    """Symptom: a router that was suspended runs a request under a key taken away meanwhile.

    Sequence: the instance is suspended for seconds; when it wakes up, the store cannot be asked.
    Cause: the age of the confirmation was taken by a clock that stands still in a suspension.
    """

    async def story() -> None:
        worker = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [worker], "web": [PlatformWorker("w1")]}) as fleet:
            clock = JumpingClock()
            async with fleet.router("router-2", clock=clock) as router:
                await until(lambda: router.state.ready)
                assert (await fleet.ask("/draft/1", at=router)).status == 200
                fleet.store.silent = True
                clock.ahead_ms = 10_000.0
                assert (await fleet.ask("/draft/2", at=router)).status == 503
                assert len(worker.arrived) == 1
                assert (await fleet.ask("/page/1", at=router)).status == 200

    play(story())


def test_a_late_removal_does_not_take_out_the_row_of_the_next_life() -> None:
    """Symptom: a restarted router is not heard by the others, for good.

    Sequence: a router leaves and removes its row; the answer is lost and the removal is done after
    the restarted router has written its row. Cause: the removal named no version.
    """

    async def story() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            rows = fleet.store.rows
            async with fleet.router("router-2") as router:
                await until(lambda: router._feeds._own_version is not None)
                first = rows("routers")["router-2"]
                fleet.store.late_s = 0.6
                await router._feeds.leave()
            fleet.store.late_s = 0.0
            async with fleet.router("router-2") as router:
                await until(lambda: rows("routers")["router-2"] != first)
                second = rows("routers")["router-2"]
                await asyncio.sleep(0.7)
                assert rows("routers").get("router-2") == second

    play(story())


def test_a_router_whose_row_is_gone_writes_it_again() -> None:
    """Symptom: routers that start later do not hear one that is there.

    Sequence: its row is removed while it runs. Cause: the row was written at the start only.
    """

    async def story() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            await until(lambda: fleet.gateway._feeds._own_version is not None)
            await fleet.store.remove("routers", "router-1")
            await until(lambda: "router-1" in fleet.store.rows("routers"))

    play(story())


def test_a_write_whose_answer_was_lost_is_made_again() -> None:
    """Symptom: a router starts and is never listed, or does not become ready.

    Sequence: the answers to its first writes are lost. Cause: one try was all.
    """

    async def story() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            fleet.store.losing_writes = True
            async with fleet.router("router-2") as router:
                await until(lambda: router.state.ready)
                await until(lambda: fleet.store.calls.count("/api/rows-tx") >= 3)
                fleet.store.losing_writes = False
                await until(lambda: "router-2" in fleet.store.rows("routers"))
                assert (await fleet.ask("/draft/1", at=router)).status == 200

    play(story())


def test_a_caller_that_leaves_early_is_told_of_in_the_log(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Symptom: the log has a request placed and never ended.

    Sequence: a caller closes its connection before its answer. Cause: nothing was logged of it.
    """

    async def story() -> None:
        async with Fleet({"web": [PlatformWorker("w1", Script(silent=True))]}) as fleet:
            _, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/page/1"))
            state = fleet.gateway.state
            await until(lambda: state.records["w1"].outstanding == 1)
            writer.close()
            await until(lambda: state.records["w1"].outstanding == 0)

    play(story())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    left = [line for line in lines if line["message"] == "request: abandoned"]
    assert len(left) == 1
    assert left[0]["waited_ms"] >= 0
    assert left[0]["reason"] == "after it was sent"


def test_callers_beyond_a_routers_descriptors_are_turned_away_at_once() -> None:
    """Symptom: requests that a router has read are never sent on, and it accepts nobody.

    Sequence: callers open connections until no descriptor is left. Cause: nothing kept descriptors
    for endpoints and the store.
    """

    async def story() -> None:
        worker = PlatformWorker("w1")
        async with (
            Fleet({"web": [worker]}) as fleet,
            fleet.router("router-2", descriptors=10) as router,
        ):
            await until(lambda: router.state.ready)
            kept = [await connect(router.callers) for _ in range(6)]
            await until(lambda: len(router._connections) == 6)
            reader, writer = await connect(router.callers)
            with contextlib.suppress(ConnectionError):
                assert await reader.read(1) == b""
            writer.close()
            kept[0][1].write(fleet.request("/page/1"))
            assert (await read_answer(kept[0][0])).status == 200
            for _, kept_writer in kept:
                kept_writer.close()
            await until(lambda: not router._connections)
            assert (await fleet.ask("/page/2", at=router)).status == 200

    play(story())


def test_settings_that_cannot_be_used_change_nothing_and_later_ones_take_hold(
    tmp_path: Path,
) -> None:
    """Symptom: a changed settings file is never taken in.

    Sequence: the file changes without a signal and is looked at half written; it is completed
    later. Cause: the error of the first reading ended the task that looks at the file.
    """

    async def story() -> None:
        path = tmp_path / "settings"
        path.write_text("first")
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            good = fleet.gateway.state.settings

            def load() -> GatewaySettings:
                text = path.read_text()
                if text == "half":
                    raise ValueError("half written")
                return good._replace(store=text)

            fleet.gateway._site = fleet.gateway._site._replace(load_settings=load)
            fleet.gateway.reload()
            assert fleet.gateway.state.settings.store == "first"
            watch = asyncio.ensure_future(main._watch_settings(fleet.gateway, str(path)))
            await asyncio.sleep(0)
            path.write_text("half")
            fleet.gateway.reload()
            assert fleet.gateway.state.settings.store == "first"
            await asyncio.sleep(0.05)
            path.write_text("complete")
            await until(lambda: fleet.gateway.state.settings.store == "complete")
            assert not watch.done()
            watch.cancel()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(main, "SETTINGS_CHECK_S", 0.02)
        play(story())
