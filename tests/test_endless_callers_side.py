"""Answers without end at the own interface, in the client library and in peers' messages."""

from __future__ import annotations

import asyncio
import contextlib
import selectors
import socket
import threading
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import urllib3
import zmq
from gateway_site import play, until

from tamarack_client import client as client_module
from tamarack_client import http_pool
from tamarack_client.address_book import NoRouterError
from tamarack_client.admin import AdminClient, AdminError
from tamarack_client.answer import OutcomeUnknownError
from tamarack_client.client import Client
from tamarack_core.memory_budget import MemoryBudget
from tamarack_gateway import peer_sockets
from tamarack_gateway.peer_sockets import PeerSockets
from tamarack_router.endpoint_connection import ConnectionFailed, EndpointConnection
from tamarack_router.messages import EndpointCall
from tamarack_router.platform import InstanceList, ObjectStore, PlatformError, TableService
from tamarack_router.run import Run, RunLimits, Step
from tamarack_router.stored_answer import StoredAnswer
from tamarack_standins.endless_worker import Endless

LIMIT = 4_000_000
"""Limit of the tests on an answer, and far less than an endless one's server would send."""

SENDABLE = 64_000_000


class EndlessServer:
    """Answers each connection without end, in threads.

    Attributes
    ----------
    sent
        Most bytes written on one connection.
    """

    def __init__(self, endless: Endless, head: bytes = b"") -> None:
        self._shape = endless.value
        self._head = head
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent = 0

    def __enter__(self) -> EndlessServer:
        threading.Thread(target=self._accept, daemon=True).start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(target=self._answer, args=(connection,), daemon=True).start()

    def _answer(self, connection: socket.socket) -> None:
        shape = self._shape
        with connection, contextlib.suppress(OSError):
            connection.recv(65_536)
            if shape.signed:
                framing = b"transfer-encoding: chunked\r\n" if shape.chunked else b""
                connection.sendall(b"HTTP/1.1 200 OK\r\n" + self._head + framing + b"\r\n")
            connection.sendall(shape.once)
            sent = 0
            while sent < SENDABLE:
                connection.sendall(shape.again)
                sent += len(shape.again)
                self.sent = max(self.sent, sent)


@pytest.fixture(autouse=True)
def small_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let answers be small, so that the buffers of the system are most of what is sent."""
    monkeypatch.setattr(http_pool, "MAX_ANSWER_BYTES", LIMIT)
    monkeypatch.setattr(http_pool.HttpPool.fetch, "__kwdefaults__", {"limit_bytes": LIMIT})
    monkeypatch.setattr(client_module, "MAX_ANSWER_BYTES", LIMIT)


LINES = (Endless.TRAILERS, Endless.INFORMATIONAL)
"""Trailers are read line by line, and dropped; an interim answer counts as one without a body."""

ENDLESS = [shape for shape in Endless if shape not in LINES]

WHOLE = [(call, shape) for call in (Client.call, Client.state) for shape in ENDLESS]

STREAMED = [(Client.call_stream, shape) for shape in ENDLESS if not shape.is_body]
"""The body of a stream is passed on piece by piece."""


@pytest.mark.parametrize(("call", "endless"), WHOLE + STREAMED)
def test_the_client_ends_an_answer_without_end(call: Callable[..., Any], endless: Endless) -> None:
    """Guards against a router in trouble that fills the memory of a caller."""
    with (
        EndlessServer(endless, b"Tamarack-Outcome: ran\r\n") as server,
        Client([server.address], "key") as client,
    ):
        client.address_book._pinned = [server.address]
        arguments = ("r~1~1",) if call is Client.state else ("GET", "/x")
        options = {} if call is Client.state else {"key": "k", "deadline_s": 0.5}
        with pytest.raises((OutcomeUnknownError, urllib3.exceptions.HTTPError, NoRouterError)):
            list(call(client, *arguments, **options))
        assert server.sent < SENDABLE


@pytest.mark.parametrize("endless", ENDLESS)
def test_the_platform_s_clients_end_an_answer_without_end(endless: Endless) -> None:
    """Guards against a store in trouble that fills the memory of a router."""
    with EndlessServer(endless) as server:
        url = f"http://{server.address}"
        calls: list[Callable[[], Any]] = [
            lambda: TableService(url).read("t", "k"),
            lambda: ObjectStore(url).get("name"),
            lambda: InstanceList(url).read(),
        ]
        for call in calls:
            with pytest.raises(PlatformError):
                call()
        with pytest.raises(AdminError):
            AdminClient([server.address], "token").status()
        assert server.sent < SENDABLE


@contextlib.contextmanager
def connected(server: EndlessServer) -> Iterator[EndpointConnection]:
    """A connection of the own interface to a server."""
    connection = EndpointConnection(server.address, "POST", "/x", [], b"x")
    try:
        connection.start()
        yield connection
    finally:
        connection.close()


def read_to_end(connection: EndpointConnection, take: Callable[[Any], bool]) -> None:
    """Read until `take` returns False for an event."""
    with selectors.DefaultSelector() as selector:
        key = selector.register(connection.sock, connection.interest)
        while True:
            for _, mask in selector.select(5.0):
                for event in connection.ready(mask):
                    if not take(event):
                        return
            if key.events != connection.interest:
                key = selector.modify(connection.sock, connection.interest)


@pytest.mark.parametrize("endless", [shape for shape in Endless if not shape.is_body])
def test_the_own_interface_ends_a_head_or_framing_without_end(endless: Endless) -> None:
    """Guards against an endpoint in trouble whose single header fills a router's memory."""
    with EndlessServer(endless) as server, connected(server) as connection:
        read_to_end(connection, lambda event: not isinstance(event, ConnectionFailed))
        assert server.sent < SENDABLE / 4


def test_answers_of_the_own_interface_stay_within_the_budget_together() -> None:
    """Guards against running answers that are each within their limit and fill the memory."""
    budget = MemoryBudget(LIMIT)
    call = EndpointCall("POST", "/x", [], b"x", "plain", False, 0.0)
    steps = []
    with EndlessServer(Endless.EVENT) as server:
        for number in range(4):
            answer = StoredAnswer(f"r~1~{number}", "w", stream=False)
            holding, limits = budget.holding(), RunLimits(1_000, 1_000)
            run = Run(call, answer, server.address, limits, "", 0.0, holding=holding)
            connection, _ = run.open(0.0)

            def take(event: Any, run: Run = run) -> bool:
                steps.append(run.handle_event(event, 0.0))
                return steps[-1] is Step.DATA

            read_to_end(connection, take)
            run.close()
    assert steps.count(Step.FAILED) + steps.count(Step.BROKEN) == 4
    assert budget.held_bytes <= LIMIT


def test_a_peer_s_message_has_a_largest_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a peer in trouble whose message fills a router's memory."""
    monkeypatch.setattr(peer_sockets, "MAX_FRAME_BYTES", 10_000)

    async def scenario() -> None:
        heard: list[Any] = []
        malformed: list[int] = []
        context = zmq.Context()
        faulty = context.socket(zmq.PUB)
        port = faulty.bind_to_random_port("tcp://127.0.0.1")
        with PeerSockets(
            "127.0.0.1:0",
            lambda topic, message: heard.append(message),
            lambda topic, size: malformed.append(size),
        ) as sockets:
            sockets.subscribe(frozenset({f"127.0.0.1:{port}"}), frozenset({b"t"}))
            await asyncio.sleep(0.3)
            faulty.send_multipart([b"t", bytes(20_000)])
            await asyncio.sleep(0.3)
            sockets.reconnect(f"127.0.0.1:{port}")
            await asyncio.sleep(0.3)
            faulty.send_multipart([b"t", b"small"])
            await until(lambda: bool(malformed))
            assert malformed == [5]
        faulty.close(linger=0)
        context.term()

    play(scenario())
