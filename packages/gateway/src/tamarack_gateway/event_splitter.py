"""Splits the bytes of an event stream into complete events."""

from __future__ import annotations

import re
from typing import NamedTuple

EVENT_BYTES = 1_000_000
"""Maximum size of an event; without a limit a faulty endpoint could exhaust the memory."""

ID_DIGITS = 15
"""Maximum digits of an event id; Python reads no number of thousands of digits."""

ID_LINE = re.compile(rb"^id:[ \t\r\f\v]*([0-9]+)[ \t\r\f\v]*$", re.MULTILINE)
"""The `id` line of an event."""


FIRST_ID = 1
"""Id of the first event of a new stream; another one is confirmed by the event that follows it."""


class Event(NamedTuple):
    """One event: its id, None if it has none, and its bytes."""

    number: int | None
    data: bytes


class BadStreamError(ValueError):
    """The bytes are no valid event stream, or its event ids are not consecutive.

    Parameters
    ----------
    events
        Valid events that were read together with the invalid bytes, and precede them.
    """

    def __init__(self, reason: str, events: list[Event]) -> None:
        super().__init__(reason)
        self.events = events


class EventSplitter:
    """Splits a stream into events and checks that their ids are consecutive.

    In a stream with ids, an event without one is returned together with the next event: if that
    one's id leaves a gap, the id of the event between was lost.

    Parameters
    ----------
    last
        Id of the last event that the caller has received; None if there is none.
    """

    def __init__(self, last: int | None = None) -> None:
        self._last = last
        self._confirmed = last is not None
        self._resumable = True
        self._partial = bytearray()
        self._unit = self._searched = 0

    @property
    def last(self) -> int | None:
        """Id of the last complete event."""
        return self._last

    @property
    def resumable(self) -> bool:
        """Whether `last` tells which events were returned, so that a stream can go on after it."""
        return self._resumable

    @property
    def rest(self) -> bytes:
        """Bytes of an incomplete event."""
        return bytes(self._partial)

    @property
    def rest_bytes(self) -> int:
        """Number of bytes of an incomplete event."""
        return len(self._partial)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that they complete.

        Raises `BadStreamError` with the events that precede invalid bytes; they count as returned.
        """
        buffer: bytes | bytearray = data
        if self._partial:
            self._partial += data
            buffer = self._partial
        events: list[Event] = []
        start, unit = 0, self._unit
        # The first line feed of an end may have been searched before.
        searched = max(unit, self._searched - 1)
        while (end := buffer.find(b"\n\n", searched)) >= 0:
            searched = end + 2
            if searched - start > EVENT_BYTES:
                raise BadStreamError("an event is too large", events)
            last_part = bytes(buffer[unit:searched])
            number = self._number(last_part, events)
            follows_parts, unit = unit > start, searched
            if number is None and self._last is not None:
                continue
            self._last = number
            raw = bytes(buffer[start:searched]) if follows_parts else last_part
            events.append(Event(number, raw))
            start = searched
        if len(buffer) - start > EVENT_BYTES:
            raise BadStreamError("an event is too large", events)
        if buffer is self._partial:
            del self._partial[:start]
        elif start < len(buffer):
            self._partial = bytearray(buffer[start:])
        self._unit, self._searched = unit - start, len(self._partial)
        return events

    def finish(self) -> list[Event]:
        """End the stream; returns its last events if they have no ids, `rest` keeps other bytes."""
        if not self._partial.endswith(b"\n\n"):
            return []
        event = Event(None, self.rest)
        self.restart()
        return [event]

    def restart(self) -> None:
        """Discard an incomplete event; the next endpoint sends it again."""
        self._partial = bytearray()
        self._unit = self._searched = 0

    def _number(self, unit: bytes, before: list[Event]) -> int | None:
        """Check the id of an event, or of the part behind events that had none."""
        ids = ID_LINE.findall(unit)
        if len(ids) > 1:
            raise BadStreamError("an event has several ids", before)
        if ids and len(ids[0]) > ID_DIGITS:
            raise BadStreamError("an event id is too long", before)
        number = int(ids[0]) if ids else None
        if number is None:
            self._resumable = self._resumable and self._last is not None
        elif self._last is None:
            self._resumable, self._confirmed = True, number == FIRST_ID
        elif number == self._last + 1:
            self._confirmed = True
        else:
            # Of the first two ids, either may be the wrong one.
            self._resumable = self._confirmed
            raise BadStreamError(f"event {number} follows {self._last}", before)
        return number
