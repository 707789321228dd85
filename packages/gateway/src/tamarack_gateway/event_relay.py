"""Relays the events of one stream from an endpoint to the caller as they arrive."""

from __future__ import annotations

from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_core.route_load import RouteLoad
from tamarack_gateway.caller_answer import CallerAnswer
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.endpoint_connection import (
    BrokenAnswerError,
    ConnectionLostError,
    EndpointConnection,
    NoMemoryError,
)
from tamarack_gateway.event_splitter import BadStreamError, Event, EventSplitter
from tamarack_gateway.http_messages import AnswerHead


class EventRelay:
    """Relays the stream of one send to the caller.

    Events are written in the event-loop callback that reads them: waking a task for each event,
    with a timer for its timeout, costs as much CPU time as reading and writing together, and most
    of a router's work is relaying streams.

    Parameters
    ----------
    head
        Head of the endpoint's answer.
    on_first
        Called with the first event.
    load
        Counts of the stream's route.

    Attributes
    ----------
    first_ms
        Time at which the first event arrived; None before.
    paused
        Whether the endpoint had to wait for a slow caller.
    """

    def __init__(
        self,
        connection: EndpointConnection,
        caller: CallerConnection,
        answer: CallerAnswer,
        head: AnswerHead,
        splitter: EventSplitter,
        clock: Clock,
        on_first: Callable[[], None],
        load: RouteLoad,
    ) -> None:
        self._connection = connection
        self._caller = caller
        self._answer = answer
        self._head = head
        self._splitter = splitter
        self._clock = clock
        self._on_first = on_first
        self._load = load
        self._received_ms = clock.now_ms
        self.first_ms: float | None = None
        self.paused = False
        splitter.restart()

    @property
    def silent_ms(self) -> float:
        """Time since the endpoint's last bytes; 0 while reading is paused for a slow caller."""
        return self._clock.now_ms - self._received_ms if self._caller.writable else 0.0

    async def whole(self) -> None:
        """Relay events to the end of the answer; raises `BrokenAnswerError` if it breaks off."""
        self._connection.deliver(self._on_data)
        await self._connection.whole()

    def end(self) -> None:
        """End the caller's answer; raises `BrokenAnswerError` if the last event is incomplete."""
        self._pass_on(self._splitter.finish())
        if self._splitter.rest:
            # Without chunks, a crash of the endpoint looks like the end of the answer.
            error = ConnectionLostError if self._head.unframed else BrokenAnswerError
            raise error("the stream ends inside an event")
        if self._head.unframed and self._splitter.last is None:
            raise ConnectionLostError("the stream ends before its first event")
        if not self._caller.begun:
            self._answer.pass_on(self._head, [])
        self._caller.end()

    def close(self) -> None:
        """Drop the function for the first event: its owner refers to this relay."""
        self._on_first = _ignore

    def _on_data(self, data: bytes) -> None:
        self._received_ms = self._clock.now_ms
        try:
            events = self._splitter.feed(data)
        except BadStreamError as error:
            # `last` counts these events, so that no later endpoint sends them again.
            self._pass_on(error.events)
            raise
        self._pass_on(events)
        if not self._connection.hold(self._splitter.rest_bytes):
            raise NoMemoryError("no memory for an event")

    def _pass_on(self, events: list[Event]) -> None:
        if not events:
            return
        if self.first_ms is None:
            self.first_ms = self._received_ms
            self._on_first()
        self._load.events += len(events)
        self._answer.pass_on(self._head, events)
        if not self._caller.writable:
            self.paused = True
            self._connection.pause()
            self._caller.on_writable = self._resume

    def _resume(self) -> None:
        self._received_ms = self._clock.now_ms
        self._connection.resume()


def _ignore() -> None:
    """Do nothing."""
