"""Sockets between routers: what is received is dispatched in turns, whatever handlers do."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
import zmq
from gateway_site import play, until

from tamarack_core.stream_origins import OriginAnswer, OriginQuery
from tamarack_gateway import peer_sockets
from tamarack_gateway.peer_sockets import PeerSockets

TOPIC = b"r/a/"
BACKLOG = 1_500
"""Frames that wait for a router, as after a freeze of some seconds; more than a stack is deep."""


def ignore(topic: bytes, message: Any) -> None:
    pass


def query(number: int) -> OriginQuery:
    return OriginQuery("asker", number, f"attempt{number}", "pool")


def connect_to(sender: PeerSockets, receiver: PeerSockets) -> None:
    """Subscribe, and wait until the sender knows of it."""
    receiver.subscribe(frozenset((sender.address,)), frozenset((b"r/",)))
    while not receiver._in.poll(10):
        sender.publish(TOPIC)


def test_a_backlog_whose_handlers_publish_is_dispatched_in_turns(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a router that ends its reports, or stands still, after a freeze."""
    monkeypatch.setattr(peer_sockets, "SEND_LIMIT", 2 * BACKLOG)
    numbers: list[int] = []
    turns: list[int] = []

    async def scenario() -> None:
        depth = 0

        def answer(topic: bytes, message: OriginQuery) -> None:
            nonlocal depth
            assert not depth
            depth += 1
            number = message.number
            receiver.publish(TOPIC, OriginAnswer("me", message.router, number, None, None, True))
            numbers.append(number)
            depth -= 1

        with PeerSockets("127.0.0.1:0", ignore) as sender:
            receiver = PeerSockets("127.0.0.1:0", answer)
            connect_to(sender, receiver)
            for number in range(BACKLOG):
                sender.publish(TOPIC, query(number))
            with receiver:
                while len(numbers) < BACKLOG:
                    turns.append(len(numbers))
                    await asyncio.sleep(0)

    play(scenario())
    assert numbers == list(range(BACKLOG))
    steps = [later - former for former, later in zip(turns, turns[1:], strict=False)]
    assert max(steps) <= peer_sockets.FRAMES_PER_TURN


@pytest.mark.parametrize("use", ["publish", "subscribe"])
def test_a_frame_is_read_though_its_event_was_consumed(use: str) -> None:
    """Guards against a message that stays unread until the next one arrives."""
    numbers: list[int] = []

    async def scenario() -> None:
        with (
            PeerSockets("127.0.0.1:0", ignore) as sender,
            PeerSockets(
                "127.0.0.1:0", lambda topic, message: numbers.append(message.number)
            ) as receiver,
        ):
            connect_to(sender, receiver)
            # No await between the send and the use of the socket: the loop sees no event.
            sender.publish(TOPIC, query(1))
            assert receiver._in.poll(5_000)
            if use == "publish":
                receiver.publish(TOPIC)
            else:
                receiver.subscribe(frozenset((sender.address,)), frozenset((b"r/", b"x/")))
            await until(lambda: numbers == [1])

    play(scenario())


class CountedReads:
    """A receiving socket that counts the reads that found nothing."""

    def __init__(self, socket: Any) -> None:
        self._socket = socket
        self.failed = 0

    def __getattr__(self, name: str) -> Any:
        return getattr(self._socket, name)

    def recv_multipart(self, flags: int) -> list[bytes]:
        try:
            parts: list[bytes] = self._socket.recv_multipart(flags)
        except zmq.Again:
            self.failed += 1
            raise
        return parts


def test_a_turn_does_not_end_with_a_read_that_fails() -> None:
    """Guards against processor time for reads that find nothing, one for each message."""
    numbers: list[int] = []

    async def scenario() -> None:
        def answer(topic: bytes, message: OriginQuery) -> None:
            receiver.publish(TOPIC)
            numbers.append(message.number)

        with (
            PeerSockets("127.0.0.1:0", ignore) as sender,
            PeerSockets("127.0.0.1:0", answer) as receiver,
        ):
            connect_to(sender, receiver)
            receiver._in = reads = CountedReads(receiver._in)
            receiver.publish(TOPIC)
            for number in range(20):
                sender.publish(TOPIC, query(number))
                await until(lambda number=number: numbers[-1:] == [number])
            assert reads.failed == 0

    play(scenario())


def test_a_message_whose_handler_fails_does_not_lose_the_others() -> None:
    """Guards against one message that ends the reports of a router or loses a backlog."""
    numbers: list[int] = []
    failures: list[Exception] = []

    async def scenario() -> None:
        def receive(topic: bytes, message: OriginQuery) -> None:
            if message.number == 1:
                raise LookupError("broken")
            numbers.append(message.number)

        with (
            PeerSockets("127.0.0.1:0", ignore) as sender,
            PeerSockets("127.0.0.1:0", receive, on_failure=failures.append) as receiver,
        ):
            connect_to(sender, receiver)
            receiver.publish(TOPIC)
            sender.publish(TOPIC, query(0), query(1), query(2))
            sender.publish(TOPIC, query(3))
            await until(lambda: numbers == [0, 2, 3])
        assert [repr(failure) for failure in failures] == ["LookupError('broken')"]

    play(scenario())
