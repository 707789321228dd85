"""Heads of requests up to the limit and beyond it, in pieces of any size."""

from __future__ import annotations

import pytest
from gateway_site import Answer, Fleet, configuration, connect, play, read_answer, until

from tamarack_standins.platform_worker import PlatformWorker

LIMIT = 16_384
"""Limit that the configuration sets for a request's head, in bytes."""


async def send(fleet: Fleet, data: bytes, pieces: int) -> Answer:
    """Send bytes in pieces that the router reads one by one, and read the answer."""
    reader, writer = await connect(fleet.gateway.callers)
    (connection,) = fleet.gateway._connections
    requests = connection._reader
    size = -(-len(data) // pieces)
    for start in range(0, len(data), size):
        read = requests.unparsed_bytes
        writer.write(data[start : start + size])
        if start + size < len(data):
            await until(lambda read=read: requests.stopped or requests.unparsed_bytes > read)
    try:
        return await read_answer(reader)
    finally:
        writer.close()


async def limited(fleet: Fleet) -> None:
    limits = {"maxBodyBytes": 100_000, "maxHeaderBytes": LIMIT, "tokensPerS": 300_000}
    await fleet.store.put("op", "config", configuration(2, limits=limits))
    await until(lambda: fleet.gateway.state.rules is not None)
    await until(lambda: fleet.gateway.state.rules.version == 2)  # type: ignore[union-attr]


@pytest.mark.parametrize("pieces", [1, 2, 4, 8, 16])
@pytest.mark.parametrize("size", [8_500, 12_000, LIMIT])
def test_heads_up_to_the_limit_are_served_in_any_pieces(size: int, pieces: int) -> None:
    """Guards against a proper request that is refused for good since its head came in pieces."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            await limited(fleet)
            bare = fleet.request("/page/1", Cookie="")
            # The line of the request, the end of the head and the body of 1 byte do not count.
            filler = "x" * (size - len(bare) + len(b"POST  HTTP/1.1\r\n\r\n") + 1)
            data = bare.replace(b"Cookie: ", b"Cookie: " + filler.encode())
            answer = await send(fleet, data, pieces)
        assert answer.status == 200

    play(scenario())


@pytest.mark.parametrize("pieces", [1, 2, 4, 8, 16])
@pytest.mark.parametrize("complete", [True, False], ids=["complete", "endless"])
def test_heads_over_the_limit_are_refused_in_any_pieces(pieces: int, *, complete: bool) -> None:
    """Guards against memory that a caller fills with a head."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            await limited(fleet)
            data = fleet.request("/page/1", Cookie="x" * LIMIT)
            if not complete:
                data = data.rstrip()[:-100] + b"x" * (2 * LIMIT)
            answer = await send(fleet, data, pieces)
        assert answer.status == 431
        assert worker.received == []

    play(scenario())


def test_a_request_behind_others_of_the_same_read_may_have_a_long_head() -> None:
    """Guards against bytes of earlier requests that count against a head."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            await limited(fleet)
            before = fleet.request("/page/1", body=b"x" * 60_000)
            last = fleet.request("/page/2", Cookie="x" * 15_000)
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(before + last[:8_000])
            first = await read_answer(reader)
            writer.write(last[8_000:])
            second = await read_answer(reader)
            writer.close()
        assert (first.status, second.status) == (200, 200)

    play(scenario())
