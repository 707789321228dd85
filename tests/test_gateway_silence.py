"""Tests unresponsive peers, suspension, late writes, and callers that leave or are too many."""

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
    """A clock that a test moves ahead, as after a suspension."""

    def __init__(self) -> None:
        self.ahead_ms = 0.0

    @property
    def now_ms(self) -> float:
        return super().now_ms + self.ahead_ms


def test_a_change_arrives_after_store_connections_stop_responding(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a router never receives a new configuration although the store works.

    Its open connections to the store stop responding without a reset, and new connections work. A
    call without its own timeout would wait on the old connection forever.
    """
    monkeypatch.setattr(store_client, "CALL_MS", 300.0)

    async def scenario() -> None:
        async with (
            Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet,
            FaultProxy(fleet.store.address) as link,
            fleet.router("router-2", store=link.address) as router,
        ):
            await until(lambda: router.state.ready)
            link.block_open()
            await fleet.store.put("op", "config", configuration(7))
            await until(lambda: router.state.rules.version == 7)

    play(scenario())


def test_an_idempotent_request_survives_an_unresponsive_idle_connection() -> None:
    """Failure: a request that may be repeated is never answered.

    An idle connection to an endpoint stops responding, and the next request is sent on it. The
    router must not wait for its answer until the deadline.
    """

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with (
            Fleet({"web": [PlatformWorker("w0"), worker]}) as fleet,
            FaultProxy(worker.address) as link,
        ):
            await fleet.store.remove("servers", "w0")
            entry = {**worker.entry("web"), "address": link.address}
            await fleet.store.put("servers", "w1", entry)
            registry = fleet.gateway.state.registry
            await until(
                lambda: [e.address for e in registry.usable("web")] == [link.address],
            )
            assert (await fleet.ask("/search/1")).status == 200
            link.block_open()
            other = PlatformWorker("w2")
            async with other:
                await fleet.store.put("servers", "w2", other.entry("web"))
                await until(lambda: len(registry) == 2)
                assert (await fleet.ask("/search/2")).status == 200

    play(scenario())


def test_keys_are_not_trusted_after_a_suspension_until_they_are_confirmed() -> None:
    """Failure: a router that was suspended runs a request under a key that was revoked meanwhile.

    The instance is suspended for seconds, and the store is unreachable when it resumes. The age of
    the confirmation must be taken from a clock that includes the suspension.
    """

    async def scenario() -> None:
        worker = PlatformWorker("e1", STREAM)
        async with Fleet({"pool": [worker], "web": [PlatformWorker("w1")]}) as fleet:
            clock = JumpingClock()
            async with fleet.router("router-2", clock=clock) as router:
                await until(lambda: router.state.ready)
                assert (await fleet.ask("/draft/1", at=router)).status == 200
                fleet.store.silent = True
                clock.ahead_ms = 10_000.0
                assert (await fleet.ask("/draft/2", at=router)).status == 503
                assert len(worker.received) == 1
                assert (await fleet.ask("/page/1", at=router)).status == 200

    play(scenario())


def test_a_late_removal_does_not_delete_the_row_of_the_next_incarnation() -> None:
    """Failure: the other routers never listen to a restarted router.

    A router leaves and removes its row; the answer is lost, and the removal is done after the
    restarted router has written its row. The removal must name the row's version.
    """

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            rows = fleet.store.rows
            async with fleet.router("router-2") as router:
                await until(lambda: router._feeds._own_version is not None)
                first = rows("routers")["router-2"]
                fleet.store.apply_delay_s = 0.6
                await router._feeds.deregister()
            fleet.store.apply_delay_s = 0.0
            async with fleet.router("router-2") as router:
                await until(lambda: rows("routers")["router-2"] != first)
                second = rows("routers")["router-2"]
                await asyncio.sleep(0.7)
                assert rows("routers").get("router-2") == second

    play(scenario())


def test_a_router_whose_row_is_gone_writes_it_again() -> None:
    """Failure: routers that start later do not listen to a running one.

    Its row is removed while it runs. Writing the row only at the start is not enough.
    """

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            await until(lambda: fleet.gateway._feeds._own_version is not None)
            await fleet.store.remove("routers", "router-1")
            await until(lambda: "router-1" in fleet.store.rows("routers"))

    play(scenario())


def test_a_write_whose_answer_was_lost_is_retried() -> None:
    """Failure: a router starts and is never listed, or does not become ready.

    The answers to its first writes are lost, and the writes must be retried.
    """

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            fleet.store.dropping_write_answers = True
            async with fleet.router("router-2") as router:
                await until(lambda: router.state.ready)
                await until(lambda: fleet.store.calls.count("/api/rows-tx") >= 3)
                fleet.store.dropping_write_answers = False
                await until(lambda: "router-2" in fleet.store.rows("routers"))
                assert (await fleet.ask("/draft/1", at=router)).status == 200

    play(scenario())


def test_a_caller_that_leaves_early_is_logged(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Failure: the log shows that a request was placed, but not how it ended.

    The caller closes its connection before its answer; that must be logged.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1", Script(silent=True))]}) as fleet:
            _, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/page/1"))
            state = fleet.gateway.state
            await until(lambda: state.records["w1"].outstanding == 1)
            writer.close()
            await until(lambda: state.records["w1"].outstanding == 0)

    play(scenario())
    lines = [json.loads(line) for line in capfd.readouterr().err.splitlines() if line[:1] == "{"]
    left = [line for line in lines if line["message"] == "request: abandoned"]
    assert len(left) == 1
    assert left[0]["waited_ms"] >= 0
    assert left[0]["reason"] == "after it was sent"


def test_callers_above_the_descriptor_limit_are_rejected_at_once() -> None:
    """Failure: requests that a router has read are never sent on, and it accepts no connections.

    Callers open connections until no file descriptor is left. Some must be reserved for endpoints
    and the store.
    """

    async def scenario() -> None:
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

    play(scenario())


def test_invalid_settings_are_ignored_and_later_ones_are_applied(
    tmp_path: Path,
) -> None:
    """Failure: a changed settings file is never applied.

    The file changes without a signal and is read when half written; it is completed later. The
    error of the first read must not end the task that polls the file.
    """

    async def scenario() -> None:
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
        play(scenario())
