"""Streams of which a worker spoils one event, read together with sound ones."""

from __future__ import annotations

import asyncio

import pytest
from gateway_site import Answer, Fleet, play

from tamarack_gateway.event_splitter import EVENT_BYTES, BadStreamError, EventSplitter
from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script

EVENTS = 6


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


SPOILED = {
    "another id": b"id: 94\ndata: x\n\n",
    "no id": b"ix: 4\ndata: x\n\n",
    "too large": b"id: 4\ndata: " + b"x" * (EVENT_BYTES + 1),
    "not separated": b"id: 4\ndata: x\x00\n",
}
"""What a worker sends in place of event 4; event 5 follows in the same read."""


class SpoilingWorker(PlatformWorker):
    """Sends all events of a stream at once, and spoils event 4 of a new one."""

    spoiled = b""

    async def _stream(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        head = [*self._head(script, received), "transfer-encoding: chunked", "", ""]
        first = int(received.headers.get("last-event-id", "0")) + 1
        events = [event(number) for number in range(first, EVENTS + 1)]
        if first == 1:
            events[3] = self.spoiled
        body = b"".join(events)
        writer.write("\r\n".join(head).encode() + b"%x\r\n%s\r\n" % (len(body), body))
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def numbers(answer: Answer) -> list[int]:
    lines = answer.body.decode("latin-1").split("\n")
    return [int(line.removeprefix("id: ")) for line in lines if line.startswith("id: ")]


async def ask(path: str, spoiled: bytes) -> tuple[Answer, list[ReceivedRequest]]:
    """One stream, of two workers that spoil new streams; returns also what they received."""
    workers = [SpoilingWorker(name, Script(events=EVENTS)) for name in ("w1", "w2")]
    for worker in workers:
        worker.spoiled = spoiled
    async with Fleet({"pool": list(workers)}) as fleet:
        answer = await fleet.ask(path)
    return answer, [request for worker in workers for request in worker.received]


@pytest.mark.parametrize("spoiled", SPOILED.values(), ids=SPOILED.keys())
def test_a_stream_goes_on_after_the_last_event_that_its_caller_got(spoiled: bytes) -> None:
    """Guards against a stream that lacks events and ends as complete."""

    async def scenario() -> None:
        answer, received = await ask("/draft/1", spoiled)
        assert numbers(answer) == list(range(1, EVENTS + 1))
        assert answer.whole
        assert sorted(request.headers.get("last-event-id", "") for request in received) == ["", "3"]

    play(scenario())


@pytest.mark.parametrize("spoiled", SPOILED.values(), ids=SPOILED.keys())
def test_a_spoiled_stream_that_cannot_go_on_breaks_off_after_its_sound_events(
    spoiled: bytes,
) -> None:
    """Guards against events that are read with a spoiled one and dropped."""

    async def scenario() -> None:
        answer, received = await ask("/rewrite/1", spoiled)
        assert numbers(answer) == [1, 2, 3]
        assert not answer.whole
        assert len(received) == 1

    play(scenario())


def test_events_before_a_spoiled_one_come_with_the_error() -> None:
    """Guards against a count of events that the caller has not got."""
    splitter = EventSplitter()
    with pytest.raises(BadStreamError) as caught:
        splitter.feed(event(1) + event(2) + event(9))
    assert [found.data for found in caught.value.events] == [event(1), event(2)]
    assert (splitter.last, splitter.resumable) == (2, True)


def test_a_stream_whose_first_id_may_be_spoiled_does_not_go_on() -> None:
    """Guards against a take-up after an id that the worker had spoiled."""
    splitter = EventSplitter()
    with pytest.raises(BadStreamError):
        splitter.feed(event(91) + event(2))
    assert not splitter.resumable


def test_a_stream_without_ids_does_not_go_on() -> None:
    """Guards against events that come twice when a stream without ids is repeated."""
    splitter = EventSplitter()
    assert splitter.feed(b"data: x\n\n")
    assert not splitter.resumable


def test_the_end_of_a_stream_may_have_no_id() -> None:
    """Guards against a closing event without an id that is dropped."""
    splitter = EventSplitter()
    assert splitter.feed(event(1) + b"data: [DONE]\n\n") == [(1, event(1))]
    assert splitter.finish() == [(None, b"data: [DONE]\n\n")]
    assert splitter.rest == b""
