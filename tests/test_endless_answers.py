"""Bytes that are no answer without end: broken answers of bounded size."""

from __future__ import annotations

import asyncio
import contextlib

import pytest
from gateway_site import Fleet, play, until

from tamarack_core.clock import BootClock
from tamarack_gateway.endpoint_connection import MAX_BODY_BYTES
from tamarack_gateway.site import StoreCall
from tamarack_gateway.store_client import StoreClient, StoreError
from tamarack_gateway.store_epoch import StoreEpoch
from tamarack_platform.store import PlatformStore
from tamarack_standins.endless_worker import Endless, EndlessWorker
from tamarack_standins.platform_worker import PlatformWorker

BUFFERS = 12_000_000
"""Bytes that a worker may have written beyond what the router read: buffers of both hosts."""


@pytest.mark.parametrize("path", ["/page/1", "/rewrite/1"])
@pytest.mark.parametrize("endless", Endless)
def test_an_answer_without_end_is_broken_before_it_fills_the_memory(
    endless: Endless, path: str
) -> None:
    """Guards against a worker in trouble that fills a router's memory until the deadline."""

    async def scenario() -> None:
        worker = EndlessWorker("w1", endless)
        service = "web" if path == "/page/1" else "pool"
        async with Fleet({service: [worker]}) as fleet:
            answer = await fleet.ask(path)
            assert answer.status == 502
            await until(lambda: worker.closed_early == 1)
            plain_body = endless.is_body and service == "web"
            assert worker.sent < BUFFERS + (MAX_BODY_BYTES if plain_body else 0)
            assert not fleet.gateway.tasks.failures

    play(scenario())


@pytest.mark.parametrize("endless", Endless)
def test_a_repeatable_request_goes_on_at_a_sound_worker(endless: Endless) -> None:
    """Guards against an endless answer that costs a request that another worker can serve."""

    async def scenario() -> None:
        workers = [EndlessWorker("w1", endless), PlatformWorker("w2")]
        async with Fleet({"web": workers}) as fleet:
            for _ in range(3):
                assert (await fleet.ask("/search/1")).status == 200

    play(scenario())


@pytest.mark.parametrize("endless", Endless)
def test_a_store_that_answers_without_end_counts_as_unavailable(endless: Endless) -> None:
    """Guards against a store in trouble that fills a router's memory."""

    async def scenario() -> None:
        clock = BootClock()
        async with EndlessWorker("store", endless) as store:
            client = StoreClient(lambda: store.address, PlatformStore(), clock, StoreEpoch(clock))
            with pytest.raises(StoreError):
                await client.call(StoreCall(b"GET", b"/x"), wait_ms=8_000.0)
            await until(lambda: store.closed_early == 1)
            assert store.sent < BUFFERS + (MAX_BODY_BYTES if endless.is_body else 0)

    play(scenario())


def test_a_table_of_endless_pages_counts_as_unavailable() -> None:
    """Guards against a store that repeats a page for good while its rows are collected."""

    async def scenario() -> None:
        clock = BootClock()
        page = b'{"rows":[{"table":"t","key":"k","value":"eA==","ver":1}],"ver":1,"hasMore":true}'

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            head = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(page)
            with contextlib.closing(writer), contextlib.suppress(asyncio.IncompleteReadError):
                while await reader.readuntil(b"\r\n\r\n"):
                    writer.write(head + page)

        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()[:2]
            address = f"{host}:{port}"
            client = StoreClient(lambda: address, PlatformStore(), clock, StoreEpoch(clock))
            with pytest.raises(StoreError):
                await client.read_all("t")
            client.close()
            await asyncio.sleep(0)

    play(scenario())
