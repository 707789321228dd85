"""Tests that streams are relayed as they are read, also to slow callers."""

from __future__ import annotations

import asyncio
import time

import pytest
from gateway_site import play
from relayed_stream import END, Streaming

from tamarack_gateway.endpoint_connection import BrokenAnswerError, ConnectionLostError
from tamarack_gateway.event_splitter import BadStreamError, EventSplitter


def event(number: int) -> bytes:
    return b"id: %d\ndata: x\n\n" % number


def test_events_are_written_in_the_callback_that_reads_them() -> None:
    async def scenario() -> None:
        stream = Streaming()
        stream.receive(event(0))
        await asyncio.sleep(0)
        assert event(0) in stream.to_caller.written
        stream.receive(event(1) + event(2)[:5])
        assert event(1) in stream.to_caller.written
        assert event(2)[:5] not in stream.to_caller.written.rpartition(event(1))[2]
        stream.receive(event(2)[5:])
        stream.engine.data_received(END)
        await stream.whole
        stream.relay.end()
        assert event(2) in stream.to_caller.written
        assert stream.to_caller.written.endswith(END)
        assert stream.firsts == 1

    play(scenario())


def test_reading_from_an_engine_pauses_for_a_slow_caller() -> None:
    """Failure: a router's memory grows with a caller that does not read.

    The engine keeps streaming, and its events are buffered in the router without limit.
    """

    async def scenario() -> None:
        stream = Streaming()
        await asyncio.sleep(0)
        stream.caller.pause_writing()
        stream.receive(event(0))
        assert not stream.to_engine.reading
        assert stream.relay.silent_ms == 0.0
        stream.caller.resume_writing()
        assert stream.to_engine.reading
        stream.whole.cancel()

    play(scenario())


def test_a_connection_paused_by_the_last_event_resumes_when_reused() -> None:
    """Failure: a request on a reused connection gets no answer from an engine that answers.

    Reading is paused for a slow caller at the last bytes of a stream. The answer is complete and
    the connection is returned to the pool, but nothing resumes reading.
    """

    async def scenario() -> None:
        stream = Streaming()
        await asyncio.sleep(0)
        stream.caller.pause_writing()
        stream.receive(event(0))
        stream.engine.data_received(END)
        await stream.whole
        assert stream.engine.finish(0.0)
        assert stream.to_engine.reading

    play(scenario())


def test_stream_errors_are_raised_to_the_waiting_task() -> None:
    async def scenario() -> None:
        gap = Streaming()
        gap.receive(event(0))
        await asyncio.sleep(0)
        gap.receive(event(2))
        with pytest.raises(BadStreamError):
            await gap.whole
        assert gap.to_engine.closed
        lost = Streaming()
        await asyncio.sleep(0)
        lost.engine.connection_lost(None)
        with pytest.raises(ConnectionLostError):
            await lost.whole
        incomplete = Streaming()
        incomplete.receive(event(0) + b"id: 1")
        incomplete.engine.data_received(END)
        await incomplete.whole
        with pytest.raises(BrokenAnswerError):
            incomplete.relay.end()

    play(scenario())


@pytest.mark.parametrize("piece", [b"x" * 64, b": comment\n" * 6, b"data: x\n\n" * 7])
def test_reading_a_stream_in_small_pieces_takes_work_in_proportion_to_its_length(
    piece: bytes,
) -> None:
    """Guards against a faulty endpoint's small pieces that take a router's processor."""

    def work_s(pieces: int) -> float:
        def feed_all() -> float:
            splitter = EventSplitter(1)
            began_s = time.process_time()
            for _ in range(pieces):
                splitter.feed(piece)
            return time.process_time() - began_s

        return min(feed_all() for _ in range(3))

    # Sixteen times as many pieces took 256 times as long when each was searched from the start.
    assert work_s(4_800) < 64 * work_s(300)


def test_a_stream_whose_first_bytes_are_many_goes_on() -> None:
    """Guards against a stream that is not read on after more than a reader holds came at once."""

    async def scenario() -> None:
        streaming = Streaming()
        for number in range(1, 9):
            streaming.receive(b"id: %d\ndata: %s\n\n" % (number, b"x" * 60_000))
        assert not streaming.to_engine.reading
        await asyncio.sleep(0)
        assert streaming.to_engine.reading
        assert streaming.to_caller.written.count(b"id: ") == 8

    play(scenario())
