"""Many concurrent, timed streams on one event loop."""

from __future__ import annotations

import asyncio
import time
from typing import NamedTuple

import aiohttp


class StreamTimes(NamedTuple):
    """Times of one stream in milliseconds.

    Attributes
    ----------
    first_ms
        From sending the request until the first byte.
    gaps_ms
        Times between one chunk and the next.
    """

    first_ms: float
    gaps_ms: list[float]
    tokens: int


def run_streams(
    addresses: list[str], key: str, model: str, *, streams: int, tokens: int
) -> list[StreamTimes]:
    """Open all streams concurrently, spread over the addresses, and read them to the end."""
    return asyncio.run(_run(addresses, key, model, streams, tokens))


async def _run(
    addresses: list[str], key: str, model: str, streams: int, tokens: int
) -> list[StreamTimes]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        calls = [
            _read_stream(session, addresses[n % len(addresses)], key, model, n, tokens)
            for n in range(streams)
        ]
        return await asyncio.gather(*calls)


async def _read_stream(
    session: aiohttp.ClientSession, address: str, key: str, model: str, number: int, tokens: int
) -> StreamTimes:
    body = {
        "model": model,
        "prompt": f"stream {number}",
        "stream": True,
        "standin_tokens": tokens,
    }
    headers = {"Authorization": f"Bearer {key}"}
    started = time.perf_counter()
    times: list[float] = []
    count = 0
    async with session.post(f"http://{address}/v1/completions", json=body, headers=headers) as r:
        r.raise_for_status()
        async for data in r.content.iter_any():
            times.append(time.perf_counter())
            count += data.count(b"data: ")
    gaps = [(b - a) * 1000 for a, b in zip(times, times[1:], strict=False)]
    return StreamTimes((times[0] - started) * 1000, gaps, count - 1)
