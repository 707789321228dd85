"""Objects of requests: freed as they end, not some time later by the collector of cycles."""

from __future__ import annotations

import asyncio
import contextlib
import gc

import pytest
from gateway_site import Fleet, connect, play, read_answer, until

from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.endpoint_connection import EndpointConnection
from tamarack_gateway.exchange import Exchange
from tamarack_gateway.http_messages import Request
from tamarack_standins.endless_worker import Endless, EndlessWorker
from tamarack_standins.platform_worker import PlatformWorker, Script

HOLDERS = (CallerConnection, EndpointConnection, Exchange, Request)
"""Classes whose objects hold bytes of requests or answers."""

WORKERS = {
    "stream": PlatformWorker("e1", Script(events=3)),
    "unframed": PlatformWorker("e1", Script(events=3, unframed=True)),
    "cut": PlatformWorker("e1", Script(events=3, cut_after=1)),
    "reset": PlatformWorker("e1", Script(reset=True)),
    "failure": PlatformWorker("e1", Script(status=500)),
    "endless event": EndlessWorker("e1", Endless.EVENT),
    "endless headers": EndlessWorker("e1", Endless.HEADERS),
}


@pytest.mark.parametrize("path", ["/draft/1", "/search/1"])
@pytest.mark.parametrize("case", WORKERS)
def test_what_a_request_held_is_freed_without_the_collector_of_cycles(case: str, path: str) -> None:
    """Guards against memory of ended requests that fills up until the collector runs."""

    async def scenario() -> None:
        service = "pool" if path == "/draft/1" else "web"
        async with Fleet({service: [WORKERS[case]]}) as fleet:
            await fleet.try_ask(path)
            gc.collect()
            gc.disable()
            try:
                for _ in range(5):
                    await fleet.try_ask(path)
                await asyncio.sleep(0.1)
                gc.set_debug(gc.DEBUG_SAVEALL)
                gc.collect()
                cyclic = {
                    type(freed).__name__ for freed in gc.garbage if isinstance(freed, HOLDERS)
                }
            finally:
                gc.set_debug(0)
                gc.garbage.clear()
                gc.enable()
            assert not cyclic

    play(scenario())


RETURNED = {
    "large body": Script(body=bytes(60_000)),
    "large events": Script(body=bytes(20_000), events=8),
    "unframed": Script(body=bytes(60_000), events=2, unframed=True),
    "failure": Script(status=500, body=bytes(60_000)),
    "cut": Script(body=bytes(60_000), events=3, cut_after=1),
}


@pytest.mark.parametrize("path", ["/draft/1", "/search/1"])
@pytest.mark.parametrize("case", RETURNED)
def test_what_a_request_took_of_the_budget_is_given_back(case: str, path: str) -> None:
    """Guards against a router that refuses more and more, for bytes that it holds no longer."""

    async def scenario() -> None:
        service = "pool" if path == "/draft/1" else "web"
        async with Fleet({service: [PlatformWorker("e1", RETURNED[case])]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            for _ in range(3):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    writer.write(fleet.request(path, body=bytes(50_000)))
                    await read_answer(reader)
            # The connection stays open, where its answers allow that.
            await until(lambda: fleet.gateway.state.memory.held_bytes == 0)
            writer.close()

    play(scenario())
