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


class Event(NamedTuple):
    """One event: its id, None if it has none, and its bytes."""

    number: int | None
    data: bytes


class BadStreamError(ValueError):
    """The bytes are no valid event stream, or its event ids are not consecutive."""


class EventSplitter:
    """Splits a stream into events and checks that their ids are consecutive.

    Parameters
    ----------
    last
        Id of the last event that the caller has received; None if there is none.
    """

    def __init__(self, last: int | None = None) -> None:
        self._last = last
        self._partial = b""

    @property
    def last(self) -> int | None:
        """Id of the last complete event."""
        return self._last

    @property
    def rest(self) -> bytes:
        """Bytes of an incomplete event."""
        return self._partial

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; returns the events that they complete."""
        data = self._partial + data
        events = []
        start = 0
        while (end := data.find(b"\n\n", start)) >= 0:
            events.append(self._event(data[start : end + 2]))
            start = end + 2
        self._partial = data[start:]
        if len(self._partial) > EVENT_BYTES:
            raise BadStreamError("an event is too large")
        return events

    def restart(self) -> None:
        """Discard an incomplete event; the next endpoint sends it again."""
        self._partial = b""

    def _event(self, raw: bytes) -> Event:
        ids = ID_LINE.findall(raw)
        if ids and len(ids[-1]) > ID_DIGITS:
            raise BadStreamError("an event id is too long")
        number = int(ids[-1]) if ids else None
        if number is not None:
            if self._last is not None and number != self._last + 1:
                raise BadStreamError(f"event {number} follows {self._last}")
            self._last = number
        return Event(number, raw)
