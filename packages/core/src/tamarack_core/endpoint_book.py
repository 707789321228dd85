"""Which endpoints there are, as the platform's list tells it."""

from __future__ import annotations

from typing import NamedTuple


class Endpoint(NamedTuple):
    """One entry of the list.

    Attributes
    ----------
    name
        Names one start of one endpoint; a restart has another name.
    address
        IP address and port. After an endpoint has ended, another service may get its address.
    failure_domain
        Where it runs.
    slots
        Requests that it works on at once.
    draining
        Whether it is about to leave and takes no new work.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool


class EndpointBook:
    """Endpoints that may get new work.

    While the list is away, entries that lapse do so because endpoints cannot write their
    heartbeats: dropping them would leave the router without endpoints that work. They are kept
    until some time after the list is back, and count as gone if they are not in it by then. That
    time runs from the list's return and not from when an entry is missed: one that leaves soon
    after the return would otherwise get new work for seconds more.

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
        self._by_service: dict[str, list[Endpoint]] = {}
        self._away = False

    def __len__(self) -> int:
        return len(self._listed) + len(self._missing)

    def replace(self, endpoints: list[Endpoint], now_ms: float, *, keep_until_ms: float) -> None:
        """Take in the whole list; entries that lack are kept until a time, if it is to come."""
        listed = {endpoint.name: endpoint for endpoint in endpoints}
        for endpoint in self._listed.values():
            if endpoint.name not in listed:
                self._keep(endpoint, now_ms, keep_until_ms)
        self._listed = listed
        self._settle()

    def put(self, endpoint: Endpoint) -> None:
        """Take in a new or changed entry."""
        self._listed[endpoint.name] = endpoint
        self._settle()

    def remove(self, name: str, now_ms: float, *, keep_until_ms: float) -> None:
        """Take in that an entry is gone; it is kept until a time, if that is to come."""
        endpoint = self._listed.pop(name, None)
        if endpoint is not None:
            self._keep(endpoint, now_ms, keep_until_ms)
        self._settle()

    @property
    def next_expiry_ms(self) -> float | None:
        """When the next missing entry counts as gone; None if none is missing."""
        return min((until_ms for _, until_ms in self._missing.values()), default=None)

    def expire(self, now_ms: float) -> list[str]:
        """Drop entries that did not come back in time; returns their names."""
        late = [name for name, (_, until_ms) in self._missing.items() if now_ms >= until_ms]
        for name in late:
            del self._missing[name]
        if late:
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

    def _keep(self, endpoint: Endpoint, now_ms: float, until_ms: float) -> None:
        if until_ms > now_ms and not endpoint.draining:
            self._missing[endpoint.name] = (endpoint, min(until_ms, now_ms + self._kept_ms))

    def _settle(self) -> None:
        for name in self._listed:
            self._missing.pop(name, None)
        by_service: dict[str, list[Endpoint]] = {}
        kept = [endpoint for endpoint, _ in self._missing.values()]
        for endpoint in [*self._listed.values(), *kept]:
            if not endpoint.draining:
                by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = by_service
