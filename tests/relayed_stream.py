"""A stream between stand-ins of an engine's and a caller's transport."""

from __future__ import annotations

import asyncio
from typing import Any

from tamarack_core.clock import BootClock
from tamarack_core.route_load import RouteLoad
from tamarack_core.ruleset import CallerBounds
from tamarack_gateway.caller_answer import CallerAnswer
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.endpoint_connection import EndpointConnection
from tamarack_gateway.event_relay import EventRelay
from tamarack_gateway.event_splitter import EventSplitter
from tamarack_gateway.http_messages import AnswerHead, Request
from tamarack_platform.requests import PlatformRequests

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"


class Transport:
    """Replaces a socket transport; records what is written."""

    def __init__(self) -> None:
        self.written = b""
        self.reading = True
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    abort = close

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_extra_info(self, name: str) -> Any:
        return self

    def setsockopt(self, *option: int) -> None:
        pass


class Streaming:
    """A caller and an engine with a stream between them; requires a running event loop."""

    def __init__(self) -> None:
        clock = BootClock()
        self.to_caller, self.to_engine = Transport(), Transport()
        self.caller = CallerConnection(_reject_request, clock, CallerBounds, set())
        self.caller.connection_made(self.to_caller)
        self.engine = EndpointConnection()
        self.engine.connection_made(self.to_engine)
        self.engine.send(b"x")
        self.engine.data_received(HEAD)
        self.firsts = 0
        self.relay = EventRelay(
            self.engine,
            self.caller,
            CallerAnswer(self.caller, PlatformRequests(), "a1"),
            AnswerHead(200, [], None, True),
            EventSplitter(),
            clock,
            self._first,
            RouteLoad(),
        )
        self.whole = asyncio.ensure_future(self.relay.whole())

    def _first(self) -> None:
        self.firsts += 1

    def receive(self, data: bytes) -> None:
        """Receive bytes of the stream, as one chunk of the engine's answer."""
        self.engine.data_received(b"%x\r\n%s\r\n" % (len(data), data))


async def _reject_request(request: Request, caller: CallerConnection) -> None:
    raise AssertionError("no request was sent")
