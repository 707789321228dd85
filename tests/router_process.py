"""One router of the gateway as a real process, before a simulated store and workers."""

from __future__ import annotations

import contextlib
import os
import random
from collections.abc import AsyncIterator, Mapping
from pathlib import Path

from gateway_site import configuration

from tamarack_standins.claimed_ports import ClaimedPorts
from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import PlatformWorker
from tamarack_standins.soak_routers import SoakRouters


@contextlib.asynccontextmanager
async def router_process(
    folder: Path,
    services: Mapping[str, list[PlatformWorker]],
    *,
    caller_limits: dict[str, int],
    process_limits: dict[str, int],
) -> AsyncIterator[SoakRouters]:
    """Run a router until the context ends; fails if it broke a promise.

    Parameters
    ----------
    services
        Workers by service.
    caller_limits
        Limits of the configuration.
    process_limits
        Limits of the router's settings.
    """
    async with contextlib.AsyncExitStack() as stack:
        ports = stack.enter_context(ClaimedPorts(os.getpid()))
        store = await stack.enter_async_context(PlatformStore())
        limits = {**caller_limits, "tokensPerS": 300_000}
        await store.put("op", "config", configuration(limits=limits))
        for service, workers in services.items():
            for worker in workers:
                await stack.enter_async_context(worker)
                await store.put("servers", worker.name, worker.entry(service))
        broken: list[str] = []
        routers = await stack.enter_async_context(
            SoakRouters(
                1,
                folder,
                ports,
                store.address,
                rng=random.Random(1),
                broken=broken.append,
                limits=process_limits,
            )
        )
        await routers.until_ready()
        yield routers
        assert not broken
