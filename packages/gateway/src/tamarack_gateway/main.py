"""Runs one router of a site until it receives a signal to stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable
from functools import partial

from tamarack_core.clock import BootClock
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.event_loop import new_event_loop
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.quarantine_settings import quarantine_bounds
from tamarack_gateway.site import Site

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

TASK_FAILED = 70
"""Exit code of a process whose background task fails again and again: it should be started anew."""

SETTINGS_CHECK_S = 1.0
"""Seconds between two checks of the settings file, which may change without a signal."""


def run_site(make_site: Callable[[], Site], settings_path: str) -> int:
    """Run a router on an adapter's site; returns the exit code."""
    clock = BootClock()
    site = make_site()
    try:
        settings = site.load_settings()
        bounds = quarantine_bounds(os.environ)
    except (OSError, ValueError) as error:
        print(f"tamarackd: the settings cannot be used: {error}", file=sys.stderr)
        return 2
    seed = int.from_bytes(os.urandom(6), "big")
    boot = clock.wall_ms * 1_000 + seed % 1_000
    log = DecisionLog(settings.router, clock)
    gc.freeze()
    gateway = Gateway(site, clock, log, seed=boot, quarantine=bounds)
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(_run(gateway, settings_path))
    reason = gateway.tasks.give_up_reason
    if reason is None:
        return 0
    print(f"tamarackd: {reason}", file=sys.stderr)
    return TASK_FAILED


async def _run(gateway: Gateway, settings_path: str) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    async with gateway:
        tasks = gateway.tasks
        tasks.on_give_up = stop.set
        loop.set_exception_handler(tasks.record_context)
        tasks.start("settings watcher", partial(_watch_settings, gateway, settings_path))
        await stop.wait()
        if tasks.give_up_reason is None:
            await gateway.leave()
        # The loop removes its signal handlers as it closes: a second signal would then terminate
        # the process by its default action, and a clean stop would look like a crash.
        signal.pthread_sigmask(signal.SIG_BLOCK, STOP_SIGNALS)


async def _watch_settings(gateway: Gateway, path: str) -> None:
    seen = _file_version(path)
    while True:
        await asyncio.sleep(SETTINGS_CHECK_S)
        stamp = _file_version(path)
        if stamp != seen:
            seen = stamp
            gateway.reload()


def _file_version(path: str) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
