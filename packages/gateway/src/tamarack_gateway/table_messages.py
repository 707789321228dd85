"""Changes of followed tables, as values and as messages between routers."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import message
from tamarack_gateway.site import Row


class TableChange(NamedTuple):
    """A change of a table, as a follower reports it.

    Attributes
    ----------
    rows
        All rows of the table if `whole`, else those that changed.
    asked_ms
        When the call was sent; the rows were current then or later.
    grace_until_ms
        Time until which missing rows may only have expired in an outage of the store and may
        return. It is in the past if there was no recent outage.
    catching_up
        Whether the store was restored from a copy a short time ago: rows may be missing or outdated
        that their writers have not written again yet.
    """

    rows: list[Row]
    whole: bool
    asked_ms: float
    grace_until_ms: float
    catching_up: bool = False


class PublishedRow(NamedTuple):
    """A row as readers publish it; `value` is None if it was removed."""

    key: str
    value: bytes | None
    version: int


@message(60)
class TableNews(NamedTuple):
    """Result of a reader's call, published to routers that do not call the store themselves.

    Attributes
    ----------
    after, version
        The call returned all changes between these versions.
    age_ms
        Time in milliseconds from the call to the sending of this message.
    rows
        The changed rows; None if they are too large for a message.
    stamps
        The newest timestamp that the reader has received from each router, by that router's own
        clock. It proves to a listener that this message was sent after that time, whatever its
        delay.
    whole
        Whether `rows` are all rows of the table at `version`.
    """

    table: str
    after: int
    version: int
    age_ms: float
    rows: list[PublishedRow] | None
    stamps: dict[str, float]
    whole: bool = False


@message(80)
class StoreLost(NamedTuple):
    """A call of the sender to the store has failed: another router should read in its place."""

    router: str


@message(61)
class CopyWanted(NamedTuple):
    """Request of a router that has missed changes of a table and cannot read the store.

    Attributes
    ----------
    after
        Version up to which the router has all changes.
    tries
        Number of consecutive failed calls; it selects another reader to answer each time.
    """

    table: str
    after: int
    tries: int
