"""Requests that offer an upgrade of the protocol, or follow one, and refused ones behind others."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from gateway_site import Fleet, connect, play, read_answer

from tamarack_gateway.caller_connection import DRAIN_BYTES
from tamarack_standins.platform_worker import PlatformWorker, Script

BODY = b'{"order": 1, "litres": 700}'
CHUNKS = b"9\r\n" + BODY[:9] + b"\r\n%x\r\n" % len(BODY[9:]) + BODY[9:] + b"\r\n0\r\n\r\n"

H2C = {"Connection": "Upgrade, HTTP2-Settings", "Upgrade": "h2c", "HTTP2_Settings": "AAMAAABk"}
WEBSOCKET = {"Connection": "keep-alive, Upgrade", "Upgrade": "websocket"}
UNNAMED = {"Connection": "Upgrade"}
OFFERS: dict[str, dict[str, Any]] = {"h2c": H2C, "websocket": WEBSOCKET, "unnamed": UNNAMED}

MALFORMED = b"GET \x00 HTTP/1.1\r\n\r\n"
CONNECT = b"CONNECT /page/1 HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: c\r\n\r\n"


async def send_in_pieces(writer: asyncio.StreamWriter, data: bytes, size: int) -> None:
    """Send bytes so that the router reads some of them in pieces of `size`."""
    for start in range(0, len(data), size):
        writer.write(data[start : start + size])
        await asyncio.sleep(0)


@pytest.mark.parametrize("size", [1, 7, 100_000])
@pytest.mark.parametrize("offer", OFFERS.values(), ids=OFFERS.keys())
def test_requests_with_an_offered_upgrade_run_as_they_are(offer: dict[str, Any], size: int) -> None:
    """Guards against a request that runs without its body."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(echo=True))
        async with Fleet({"web": [worker]}) as fleet:
            chunked = fleet.request("/page/2", body=b"", **offer)
            chunked = chunked.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked") + CHUNKS
            sent = (
                fleet.request("/page/1", body=BODY, **offer)
                + chunked
                + fleet.request("/page/3", method="GET", body=b"", **offer)
                + fleet.request("/page/4", body=BODY)
            )
            reader, writer = await connect(fleet.gateway.callers)
            await send_in_pieces(writer, sent, size)
            answers = [await read_answer(reader) for _ in range(4)]
            writer.close()
        assert [answer.status for answer in answers] == [200] * 4
        assert [answer.body for answer in answers] == [b"attempt%d" % n for n in (2, 1, 3, 4)]
        ran = [(request.method, request.target, request.body) for request in worker.received]
        assert ran == [
            ("POST", "/page/1", BODY),
            ("POST", "/page/2", BODY),
            ("GET", "/page/3", b""),
            ("POST", "/page/4", BODY),
        ]
        names = {name for request in worker.received for name in request.headers}
        assert not names & {"upgrade", "connection", "http2-settings"}

    play(scenario())


def test_a_stream_is_whole_on_a_connection_with_an_offered_upgrade() -> None:
    """Guards against an answer that is cut a second after its request offered an upgrade."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=5, event_pause_s=0.3))
        async with Fleet({"pool": [worker]}) as fleet:
            answer = await fleet.ask("/rewrite/1", body=BODY, **H2C)
        assert answer.whole
        assert answer.body.count(b"id: ") == 5
        assert worker.received[0].body == BODY

    play(scenario())


@pytest.mark.parametrize("refused", [MALFORMED, CONNECT], ids=["malformed", "connect"])
def test_a_refused_message_leaves_the_answers_before_it_whole(refused: bytes) -> None:
    """Guards against an answer that is cut a second after a message behind its request."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=5, event_pause_s=0.3))
        async with Fleet({"pool": [worker]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1") + refused)
            stream = await read_answer(reader)
            refusal = await read_answer(reader)
            assert await reader.read() == b""
            writer.close()
        assert stream.whole
        assert (refusal.status, refusal.headers["connection"]) == (400, "close")
        assert len(worker.received) == 1

    play(scenario())


def test_a_refused_body_of_any_size_leaves_the_answer_before_it_whole() -> None:
    """Guards against an answer that is cut by what its caller sends behind its request."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=5, event_pause_s=0.3))
        async with Fleet({"pool": [worker]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            large = fleet.request("/rewrite/2", body=b"x" * (2 * DRAIN_BYTES))
            writer.write(fleet.request("/rewrite/1") + large)
            stream = await read_answer(reader)
            writer.transport.abort()
        assert stream.whole
        assert len(worker.received) == 1

    play(scenario())


def test_bytes_after_the_last_request_of_a_connection_do_not_cut_its_answer() -> None:
    """Guards against an answer that is cut since its caller sent more after `Connection: close`."""

    async def scenario() -> None:
        worker = PlatformWorker("w1", Script(events=5, event_pause_s=0.3))
        async with Fleet({"pool": [worker]}) as fleet:
            reader, writer = await connect(fleet.gateway.callers)
            writer.write(fleet.request("/rewrite/1", Connection="close") + MALFORMED)
            answer = await read_answer(reader)
            assert await reader.read() == b""
            writer.close()
        assert answer.whole

    play(scenario())


def test_a_connection_request_is_refused() -> None:
    """Guards against a tunnel request that runs at an endpoint."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            answer = await fleet.send(CONNECT)
        assert answer.status == 400
        assert worker.received == []

    play(scenario())
