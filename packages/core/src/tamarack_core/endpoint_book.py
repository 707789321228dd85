"""Which endpoints there are, as the platform's list tells it."""

from __future__ import annotations

from typing import NamedTuple


class EndpointLife(NamedTuple):
    """One start of an endpoint; `life` is None where its entry tells of none."""

    name: str
    life: int | None


class Endpoint(NamedTuple):
    """One entry of the list.

    Attributes
    ----------
    name
        Names an endpoint, for all of its lives.
    address
        IP address and port. After an endpoint has ended, another service may get its address.
    failure_domain
        Where it runs.
    slots
        Requests that it works on at once.
    draining
        Whether it is about to leave and takes no new work.
    life
        Tells one start of the endpoint from the next, which knows nothing of what the one before
        kept, queued or counted. It is the endpoint's own clock at its start in milliseconds, so
        that only lives of one endpoint can be compared. None where an entry tells of none.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    life: int | None = None

    @property
    def key(self) -> EndpointLife:
        """Names this life of the endpoint; what is believed of it holds for no other."""
        return EndpointLife(self.name, self.life)

    def older_than(self, other: Endpoint) -> bool:
        """Whether this is an earlier life of the same endpoint."""
        return self.life is not None and other.life is not None and self.life < other.life


DOUBTED_MS = 4_000.0
"""Time for which an entry of an older life than the known one is not believed. A write of the
former life that is done late is set right by the present life's next heartbeat, some 1.2 s later,
and three missed heartbeats take an entry out. One that still stands after that is the present
life, whose clock was set back: without it, a later notice that it drains would never count."""


class EndpointBook:
    """Endpoints that may get new work.

    While the list is away, entries that lapse do so because endpoints cannot write their
    heartbeats: dropping them would leave the router without endpoints that work. They are kept
    until some time after the list is back, and count as gone if they are not in it by then. That
    time runs from the list's return and not from when an entry is missed: one that leaves soon
    after the return would otherwise get new work for seconds more.

    An entry of an older life than the known one is doubted for a while, and the known one holds.
    Where most entries tell a life, one that tells none was written by something else than an
    endpoint, and names none to use. One such entry among few is not enough to judge by, and a
    deployment whose endpoints tell no life is served all the same.

    Parameters
    ----------
    kept_ms
        Longest time in milliseconds that a missing entry is kept: an endpoint that left without
        notice may get new work only for a bounded time.
    """

    def __init__(self, *, kept_ms: float) -> None:
        self._kept_ms = kept_ms
        self._listed: dict[str, Endpoint] = {}
        self._missing: dict[str, tuple[Endpoint, float]] = {}
        self._doubted: dict[str, tuple[Endpoint, float]] = {}
        self._by_service: dict[str, list[Endpoint]] = {}
        self._lifeless: list[str] = []

    def __len__(self) -> int:
        return len(self._listed) + len(self._missing)

    def replace(self, endpoints: list[Endpoint], now_ms: float, *, keep_until_ms: float) -> None:
        """Take in the whole list; entries that lack are kept until a time, if it is to come."""
        listed = {endpoint.name: self._believed(endpoint, now_ms) for endpoint in endpoints}
        self._doubted = {name: kept for name, kept in self._doubted.items() if name in listed}
        for endpoint in self._listed.values():
            if endpoint.name not in listed:
                self._keep(endpoint, now_ms, keep_until_ms)
        self._listed = listed
        self._settle()

    def put(self, endpoint: Endpoint, now_ms: float) -> None:
        """Take in a new or changed entry."""
        self._listed[endpoint.name] = self._believed(endpoint, now_ms)
        self._settle()

    def remove(self, name: str, now_ms: float, *, keep_until_ms: float) -> None:
        """Take in that an entry is gone; it is kept until a time, if that is to come."""
        endpoint = self._listed.pop(name, None)
        self._doubted.pop(name, None)
        if endpoint is not None:
            self._keep(endpoint, now_ms, keep_until_ms)
        self._settle()

    def drop(self, name: str) -> None:
        """Take in that an entry names no endpoint to use any more; it is not kept."""
        for entries in (self._listed, self._missing, self._doubted):
            entries.pop(name, None)
        self._settle()

    @property
    def lifeless(self) -> list[str]:
        """Entries that are not used since they tell no life where most do."""
        return self._lifeless

    @property
    def next_expiry_ms(self) -> float | None:
        """When the next entry is missing or doubted for too long; None if none is."""
        waiting = (*self._missing.values(), *self._doubted.values())
        return min((until_ms for _, until_ms in waiting), default=None)

    def expire(self, now_ms: float) -> list[str]:
        """Drop entries that did not come back in time, and believe those doubted for long enough.

        Returns the names of those that were dropped.
        """
        late = [name for name, (_, until_ms) in self._missing.items() if now_ms >= until_ms]
        for name in late:
            del self._missing[name]
        for name, (endpoint, until_ms) in list(self._doubted.items()):
            if now_ms >= until_ms:
                del self._doubted[name]
                self._listed[name] = endpoint
        self._settle()
        return late

    def usable(self, service: str) -> list[Endpoint]:
        """Endpoints of a service that may get new work."""
        return self._by_service.get(service, [])

    def find(self, name: str) -> Endpoint | None:
        """Entry of an endpoint that is still there."""
        endpoint = self._listed.get(name)
        if endpoint is None and name in self._missing:
            endpoint = self._missing[name][0]
        return endpoint

    @property
    def names(self) -> set[str]:
        """Names of all endpoints that are there."""
        return self._listed.keys() | self._missing.keys()

    def _believed(self, endpoint: Endpoint, now_ms: float) -> Endpoint:
        known = self.find(endpoint.name)
        if known is None or not endpoint.older_than(known):
            self._doubted.pop(endpoint.name, None)
            return endpoint
        _, until_ms = self._doubted.get(endpoint.name, (endpoint, now_ms + DOUBTED_MS))
        self._doubted[endpoint.name] = (endpoint, until_ms)
        return known

    def _keep(self, endpoint: Endpoint, now_ms: float, until_ms: float) -> None:
        if until_ms > now_ms and not endpoint.draining:
            self._missing[endpoint.name] = (endpoint, min(until_ms, now_ms + self._kept_ms))

    def _settle(self) -> None:
        for name in self._listed:
            self._missing.pop(name, None)
        by_service: dict[str, list[Endpoint]] = {}
        kept = [endpoint for endpoint, _ in self._missing.values()]
        there = [*self._listed.values(), *kept]
        lifeless = {endpoint.name for endpoint in there if endpoint.life is None}
        self._lifeless = sorted(lifeless) if 2 * len(lifeless) < len(there) else []
        for endpoint in there:
            if not endpoint.draining and endpoint.name not in self._lifeless:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
