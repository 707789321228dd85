"""At which software version streams began: what a router remembers, and tells and asks others."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_core.recent_table import RecentTable
from tamarack_core.wire import message


class Origin(NamedTuple):
    """Where a stream began."""

    service: str
    software_version: str


@message(71)
class BegunStreams(NamedTuple):
    """Attempts whose streams began at endpoints of one software version of a service."""

    service: str
    software_version: str
    attempts: list[str]

    @property
    def origin(self) -> Origin:
        """The origin of their streams."""
        return Origin(self.service, self.software_version)


def by_origin(origins: Mapping[str, Origin]) -> list[BegunStreams]:
    """Messages that tell the origin of each attempt."""
    attempts: dict[Origin, list[str]] = {}
    for attempt, origin in origins.items():
        attempts.setdefault(origin, []).append(attempt)
    return [BegunStreams(*origin, names) for origin, names in attempts.items()]


@message(72)
class OriginQuery(NamedTuple):
    """A router's question where a stream began; `number` identifies it among those it asked.

    `attempt` is empty if the caller does not name it.
    """

    router: str
    number: int
    attempt: str
    service: str


@message(73)
class OriginAnswer(NamedTuple):
    """Answer to a question of the router `asker`.

    Attributes
    ----------
    known
        Software version at which the stream began; None if the router does not know the stream.
    sole
        The version at which every stream of the service that still goes on has begun, as far as
        the router has learned; None if its view is not complete.
    several
        Whether endpoints of the service have lately run more than one version.
    """

    router: str
    asker: str
    number: int
    known: str | None
    sole: str | None
    several: bool


def conclude(answers: Iterable[OriginAnswer], needed: Collection[str]) -> str | None:
    """The version at which a stream began, by what routers know; None if that leaves it open.

    One router that knows the stream is enough. That nobody knows of a second version follows only
    from the answers of all routers that may have begun a stream, `needed`: one that is missing may
    have begun streams at a version that the others have not heard of.
    """
    answers = list(answers)
    known = {answer.known for answer in answers if answer.known is not None}
    if known or any(answer.several for answer in answers):
        return known.pop() if len(known) == 1 else None
    if not {answer.router for answer in answers}.issuperset(needed):
        return None
    sole = {answer.sole for answer in answers}
    return sole.pop() if len(sole) == 1 else None


class StreamOrigins:
    """Origins of this router's streams, and of those that others have told of.

    Parameters
    ----------
    retention_ms
        Returns the time in milliseconds for which a stream may go on.
    """

    def __init__(self, clock: Clock, retention_ms: Callable[[], float]) -> None:
        self._own: RecentTable[str, Origin] = RecentTable(clock, retention_ms)
        self._told: RecentTable[str, Origin] = RecentTable(clock, retention_ms)
        self._all: RecentTable[str, Origin] = RecentTable(clock, retention_ms)
        self._ended: RecentTable[str, bool] = RecentTable(clock, retention_ms)

    def __len__(self) -> int:
        return len(self._own) + len(self._told)

    def record_own(self, attempt: str, origin: Origin) -> bool:
        """Record where a stream of this router began; returns whether that is new."""
        if self._own.get(attempt) == origin:
            return False
        self._own[attempt] = self._all[attempt] = origin
        return True

    def record_ended(self, attempt: str) -> None:
        """Record that the caller of this router has got the whole stream."""
        if self._own.get(attempt) is not None:
            self._ended[attempt] = True

    def record_told(self, begun: BegunStreams) -> None:
        """Record what another router tells."""
        for attempt in begun.attempts:
            self._told[attempt] = self._all[attempt] = begun.origin

    def find(self, attempt: str) -> Origin | None:
        """Where an attempt's stream began, as far as this router knows."""
        return self._own.get(attempt) or self._told.get(attempt)

    def open_attempts(self) -> list[tuple[str, Origin]]:
        """Attempts of this router whose streams callers may take up, the newest last."""
        return self._open(self._own)

    def known_open_attempts(self) -> list[tuple[str, Origin]]:
        """The same with those that others have told of; which of these have ended is not known."""
        return self._open(self._all)

    def _open(self, attempts: RecentTable[str, Origin]) -> list[tuple[str, Origin]]:
        ended = dict(self._ended.items())
        return [one for one in attempts.items() if one[0] not in ended]

    def own_attempts(self, service: str) -> list[tuple[str, Origin]]:
        """Attempts of this router whose streams began at endpoints of a service."""
        return [one for one in self._own.items() if one[1].service == service]
