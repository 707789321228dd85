"""Whole events out of the bytes of an event stream."""

from __future__ import annotations

from typing import NamedTuple

EVENT_BYTES = 1_000_000
"""An event larger than this is not one; without a bound a faulty endpoint could fill the memory."""


class Event(NamedTuple):
    """One event: its id, None where it has none, and all of its bytes."""

    number: int | None
    data: bytes


class BadStreamError(ValueError):
    """The bytes are no event stream, or its ids do not rise."""


class EventSplitter:
    """Cuts a stream into events and checks that their ids rise by one.

    Parameters
    ----------
    last
        Id of the last event that the caller has; None if it has none.
    """

    def __init__(self, last: int | None = None) -> None:
        self._last = last
        self._rest = b""

    @property
    def last(self) -> int | None:
        """Id of the last whole event."""
        return self._last

    @property
    def rest(self) -> bytes:
        """Bytes of an event that is not whole."""
        return self._rest

    def feed(self, data: bytes) -> list[Event]:
        """Take in bytes; returns the events that they complete."""
        self._rest += data
        events = []
        while (end := self._rest.find(b"\n\n")) >= 0:
            raw, self._rest = self._rest[: end + 2], self._rest[end + 2 :]
            events.append(self._event(raw))
        if len(self._rest) > EVENT_BYTES:
            raise BadStreamError("an event is too large")
        return events

    def restart(self) -> None:
        """Forget the bytes of a broken event; another endpoint sends it again."""
        self._rest = b""

    def _event(self, raw: bytes) -> Event:
        number = None
        for line in raw.split(b"\n"):
            name, _, value = line.partition(b":")
            if name == b"id" and value.strip().isdigit():
                number = int(value)
        if number is not None:
            if self._last is not None and number != self._last + 1:
                raise BadStreamError(f"event {number} follows {self._last}")
            self._last = number
        return Event(number, raw)
