"""Trailers of chunked requests and answers."""

from __future__ import annotations

import asyncio
import socket

import pytest
from gateway_site import HOST, Fleet, play

from tamarack_gateway.endpoint_connection import EndpointConnection
from tamarack_standins.platform_worker import PlatformWorker

CHUNK = b"2\r\nhi\r\n0\r\n"


def chunked(fleet: Fleet, trailers: bytes) -> bytes:
    """A request whose body ends with trailers."""
    head = fleet.request("/page/1", body=b"", Trailer="x-sum")
    head = head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + CHUNK + trailers + b"\r\n"


@pytest.mark.parametrize(
    "trailers",
    [
        b"Host: evil.example\r\n",
        b"X-Attempt-Id: other\r\n",
        b"Authorization: Token other\r\nX-Tenant: other\r\n",
        b"X-Sum: 1\r\nX-Model: other\r\n",
    ],
)
def test_trailers_of_a_request_are_not_its_headers(trailers: bytes) -> None:
    """Guards against a second host or id that a caller adds behind its body."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            answer = await fleet.send(chunked(fleet, trailers))
        assert answer.status == 200
        (request,) = worker.received
        assert (request.body, request.headers["content-length"]) == (b"hi", "2")
        assert request.headers["host"] == HOST
        assert request.headers["x-attempt-id"] == "attempt1"
        assert not request.headers.keys() & {"x-sum", "x-model", "trailer"}

    play(scenario())


def test_framing_among_trailers_is_refused() -> None:
    """Guards against a body whose length its trailers change."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            answer = await fleet.send(chunked(fleet, b"Content-Length: 7\r\n"))
        assert answer.status == 400
        assert worker.received == []

    play(scenario())


@pytest.mark.parametrize("line", [b"X-Sum: 1\r\n", b"X-Sum: " + b"1" * 90_000 + b"\r\n"])
def test_trailers_are_bounded(line: bytes) -> None:
    """Guards against memory that a caller fills with trailers."""

    async def scenario() -> None:
        worker = PlatformWorker("w1")
        async with Fleet({"web": [worker]}) as fleet:
            answer = await fleet.send(chunked(fleet, line * (90_000 // len(line) + 1)))
        assert answer.status == 431
        assert worker.received == []

    play(scenario())


class _Pipe(asyncio.Transport):
    """Transport to an endpoint of which only the answers matter."""

    def write(self, data: bytes | bytearray | memoryview) -> None:
        pass

    def abort(self) -> None:
        pass

    def is_closing(self) -> bool:
        return False

    def get_write_buffer_size(self) -> int:
        return 0

    def resume_reading(self) -> None:
        pass


def test_trailers_of_an_answer_are_not_its_headers() -> None:
    """Guards against headers of an answer that come after the checks of its head."""

    async def scenario() -> None:
        connection = EndpointConnection()
        connection.connection_made(_Pipe({"socket": socket.socket()}))
        for number in (1, 2):
            connection.send(b"x")
            head = b"HTTP/1.1 200 OK\r\nX-Number: %d\r\nTransfer-Encoding: chunked\r\n\r\n" % number
            connection.data_received(head + CHUNK + b"X-Server-Stamp: late\r\n\r\n")
            answer = await connection.head()
            assert await connection.body() == b"hi"
            assert [name for name, _ in answer.headers] == [b"x-number", b"transfer-encoding"]
            assert answer.header(b"x-number") == b"%d" % number
            assert connection.finish(0.0)

    play(scenario())
