"""Background tasks that fail: none stays away from a router that looks ready."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import Any

from gateway_site import Fleet, configuration, connect, play, until

from tamarack_core.clock import BootClock
from tamarack_core.restart_policy import MAX_QUICK_ENDS, QUICK_MS, RestartPolicy
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.site import Row
from tamarack_gateway.table_messages import TableChange
from tamarack_gateway.task_owner import MAX_TRACEBACK_CHARS, TaskOwner
from tamarack_standins.platform_worker import PlatformWorker


class LinesOf(DecisionLog):
    """A log that keeps the facts of its events."""

    def __init__(self) -> None:
        super().__init__("r", BootClock(), output=2)
        self.events: list[tuple[str, dict[str, Any]]] = []

    def event(self, sentence: str, **facts: Any) -> None:
        self.events.append((sentence, facts))


async def metrics_page(address: str) -> str:
    reader, writer = await connect(address)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
    page = (await reader.read()).decode()
    writer.close()
    return page


def test_a_failed_task_is_told_counted_and_restarted_and_the_router_unready_meanwhile() -> None:
    """Guards against a router that looks ready while its housekeeping has ended for good."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            gateway = fleet.gateway
            poll, calls = gateway._members.poll_changes, 0
            ready: list[bool] = []

            def fail_once(now_ms: float) -> tuple[list[str], list[str]]:
                nonlocal calls
                calls += 1
                if calls == 1:
                    raise LookupError("broken")
                return poll(now_ms)

            gateway._members.poll_changes = fail_once  # type: ignore[method-assign]
            told = gateway._log.event

            def tell(sentence: str, **facts: Any) -> None:
                if sentence == "a background task failed":
                    ready.append(gateway.state.ready)
                told(sentence, **facts)

            gateway._log.event = tell  # type: ignore[method-assign]
            await until(lambda: calls >= 2)
            assert gateway.tasks.failures == {"housekeeping": 1}
            assert gateway.state.ready
            page = await metrics_page(gateway.metrics_address)
            assert 'state{name="task_failures",task="housekeeping"} 1' in page
            assert 'state{name="tasks_down"} 0' in page
            assert ready == [False]

    play(scenario())


FAILING_ROUTER = """
import sys
from tamarack_gateway import main
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.site import FleetBounds, GatewaySettings
from tamarack_platform.platform_site import platform_site

async def fail(self):
    raise LookupError("broken")

Gateway._sweep = fail
here = "127.0.0.1:0"
settings = GatewaySettings(
    router="r", failure_domain="a", callers=here, readiness=here, directory=here, peers=here,
    metrics=here, store="127.0.0.1:1", bounds=FleetBounds(), descriptors=1024, regions={},
)
site = platform_site()._replace(load_settings=lambda: settings)
sys.exit(main.run_site(lambda: site, "/nonexistent"))
"""


def test_a_process_ends_and_says_why_if_restarts_of_a_task_do_not_help() -> None:
    """Guards against a router that goes on for good without one of its parts."""
    ended = subprocess.run(
        [sys.executable, "-c", FAILING_ROUTER], capture_output=True, timeout=20, check=False
    )
    assert ended.returncode == 70, ended.stderr.decode()
    assert b"housekeeping fails again and again: LookupError('broken')" in ended.stderr
    assert b"a background task failed" in ended.stdout


def test_quick_ends_in_a_row_end_the_process_and_later_ones_do_not() -> None:
    policy = RestartPolicy()
    pauses = [policy.pause_ms(0.0) for _ in range(MAX_QUICK_ENDS)]
    assert pauses == [100.0, 200.0, 400.0, 800.0, None]
    policy = RestartPolicy()
    assert {policy.pause_ms(QUICK_MS) for _ in range(50)} == {100.0}


def test_a_cause_of_any_size_is_logged_with_a_bounded_traceback() -> None:
    """Guards against a cause that vanishes, or that fills the log."""

    async def scenario() -> None:
        log = LinesOf()

        async def fail() -> None:
            raise ValueError("x" * 100_000)

        async with TaskOwner(BootClock(), log) as owner:
            owner.start("part", fail)
            await until(lambda: bool(log.events))
            assert owner.down == ["part"]
        ((sentence, facts),) = log.events
        assert sentence == "a background task failed"
        assert facts["task"] == "part"
        assert len(facts["error"]) <= MAX_TRACEBACK_CHARS
        assert 0 < len(facts["traceback"]) <= MAX_TRACEBACK_CHARS

    play(scenario())


def test_failures_of_callbacks_and_of_tasks_of_requests_are_logged_and_counted() -> None:
    """Guards against exceptions of timers and of requests that only asyncio sees."""

    async def scenario() -> None:
        async def fail() -> None:
            raise LookupError("a request")

        def fail_late() -> None:
            raise LookupError("a timer")

        log = LinesOf()
        async with TaskOwner(BootClock(), log) as owner:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(owner.record_context)
            loop.call_soon(fail_late)
            request = asyncio.ensure_future(fail())
            await asyncio.wait([request])
            del request
            await until(lambda: owner.failures["event loop"] == 2)
        assert log.events[0][1]["error"] == "LookupError('a timer')"

    play(scenario())


def test_a_restarted_follower_reads_the_rows_again_that_it_could_not_apply() -> None:
    """Guards against changes of a table that are lost with the task that had taken them."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            gateway = fleet.gateway
            follower = gateway._feeds._followers["servers"]
            apply, failed = follower._on_change, False

            def fail_once(change: TableChange) -> None:
                nonlocal failed
                if change.rows and not failed:
                    failed = True
                    raise LookupError("broken")
                apply(change)

            follower._on_change = fail_once
            worker = PlatformWorker("w2")
            async with worker:
                await fleet.store.put("servers", "w2", worker.entry("web"))
                await until(lambda: gateway.state.registry.find("w2") is not None)
            assert failed
            assert gateway.tasks.failures == {"table servers": 1}

    play(scenario())


def test_a_row_that_cannot_be_removed_yet_is_removed_by_the_restarted_writer() -> None:
    """Guards against removals that are lost with the task that had taken them."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            feed, removed = fleet.gateway._quarantine, []

            async def write(key: str, value: bytes | None) -> bool:
                removed.append(Row("", key, value, 0).key)
                if len(removed) == 1:
                    raise LookupError("broken")
                return True

            feed._write_row = write
            feed._removals += ["one", "two"]
            feed._decision_event.set()
            await until(lambda: len(removed) == 3)
            assert removed == ["one", "one", "two"]

    play(scenario())


def test_a_slow_head_is_refused_once_and_the_housekeeping_goes_on() -> None:
    """Guards against one slow caller that ends a router's housekeeping."""

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            limits = {"maxBodyBytes": 100_000, "tokensPerS": 300_000, "headerTimeoutMs": 300}
            await fleet.store.put("op", "config", configuration(2, limits=limits))
            await until(lambda: fleet.gateway.state.bounds.header_ms == 300.0)
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(b"GET /page/1 HTTP/1.1\r\nHost: h\r\n")
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert answer.count(b"HTTP/1.1") == 1
            # The caller leaves its side open, and the next sweep meets the refused connection.
            await until(lambda: not fleet.gateway._connections)
            assert not fleet.gateway.tasks.failures
            writer.close()

    play(scenario())
