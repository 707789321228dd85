"""Registry of endpoints, built from the platform's list."""

from __future__ import annotations

from typing import NamedTuple


class EndpointIncarnation(NamedTuple):
    """Key of one incarnation of an endpoint; `life` is None if its entry does not name one."""

    name: str
    life: int | None


class Endpoint(NamedTuple):
    """One entry of the list.

    Attributes
    ----------
    name
        Name of the endpoint, the same for all of its incarnations.
    address
        IP address and port. After an endpoint has terminated, another service may get its address.
    failure_domain
        Failure domain in which it runs.
    slots
        Requests that it processes concurrently.
    draining
        Whether it is shutting down and takes no new requests.
    life
        Incarnation of the endpoint. A new one has none of the cache, queue and counters of the one
        before. It is the endpoint's own clock at its start in milliseconds, so that only
        incarnations of the same endpoint can be compared. None if an entry does not name one.
    warm_up_ms
        Milliseconds for which it was still warming up when it wrote the entry.
    software_version
        Version of the software that it runs; empty if its entry names none.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    life: int | None = None
    warm_up_ms: float = 0.0
    software_version: str = ""

    @property
    def key(self) -> EndpointIncarnation:
        """Key of this incarnation; local state about it applies to no other one."""
        return EndpointIncarnation(self.name, self.life)

    def older_than(self, other: Endpoint) -> bool:
        """Whether this is an earlier incarnation of the same endpoint."""
        return self.life is not None and other.life is not None and self.life < other.life


DEFERRED_MS = 4_000.0
"""Milliseconds for which an entry of an older incarnation than the known one is not applied. A
delayed write of the former incarnation is overwritten by the current one's next heartbeat, some
1.2 s later, and three missed heartbeats remove an entry. An entry that is still listed after that
belongs to the current incarnation, whose clock was set back: if it were never applied, a later
notice that it drains would be ignored."""

LEAVING_RETAINED_MS = 600_000.0
"""Milliseconds for which an endpoint that is no longer listed is remembered as leaving. It serves
for some time after its entry was removed, and a delayed write may list it again."""

REMOVED_RETAINED_MS = 30_000.0
"""Milliseconds for which the removal of an entry is remembered: longer than a copy from which the
store is restored is old."""


class EndpointRegistry:
    """Endpoints that may get new requests.

    While the store is unavailable, entries expire because endpoints cannot write their heartbeats:
    dropping them would leave the router without any working endpoint. They are retained until some
    time after the store is available again, and dropped if they are still missing then. That time
    starts when the store is available and not when an entry goes missing: an endpoint that leaves
    soon afterwards would otherwise get new requests for seconds more.

    An entry of an older incarnation than the known one is deferred for a while, and the known one
    stays in use. If most entries name an incarnation, an entry without one was not written by an
    endpoint and is not used. Without such a majority it is used, so that a deployment whose
    endpoints name no incarnation works as well.

    Parameters
    ----------
    kept_ms
        Longest time in milliseconds that a missing entry is retained: an endpoint that left without
        notice may get new requests only for a bounded time.
    """

    def __init__(self, *, kept_ms: float) -> None:
        self._kept_ms = kept_ms
        self._listed: dict[str, Endpoint] = {}
        self._retained: dict[str, tuple[Endpoint, float]] = {}
        self._deferred: dict[str, tuple[Endpoint, float]] = {}
        self._leaving_ms: dict[EndpointIncarnation, float] = {}
        self._removed_ms: dict[EndpointIncarnation, float] = {}
        self._held: set[EndpointIncarnation] = set()
        self._usable: _Usable | None = None

    def __len__(self) -> int:
        return len(self._listed) + len(self._retained)

    def replace(self, endpoints: list[Endpoint], now_ms: float, *, keep_until_ms: float) -> None:
        """Apply the whole list; missing entries are retained until `keep_until_ms`."""
        listed = {endpoint.name: self._accepted(endpoint, now_ms) for endpoint in endpoints}
        self._deferred = {name: kept for name, kept in self._deferred.items() if name in listed}
        for endpoint in self._listed.values():
            if endpoint.name not in listed:
                self._record_removal(endpoint, now_ms)
                self._retain(endpoint, now_ms, keep_until_ms)
        self._listed = listed
        self._retained = {n: kept for n, kept in self._retained.items() if n not in listed}
        self._usable = None

    def put(self, endpoint: Endpoint, now_ms: float) -> None:
        """Apply a new or changed entry."""
        self._held.discard(endpoint.key)
        self._listed[endpoint.name] = self._accepted(endpoint, now_ms)
        self._retained.pop(endpoint.name, None)
        self._usable = None

    def remove(self, name: str, now_ms: float, *, keep_until_ms: float) -> None:
        """Apply the removal of an entry; it is retained until `keep_until_ms`."""
        endpoint = self._listed.pop(name, None)
        self._deferred.pop(name, None)
        if endpoint is not None:
            self._record_removal(endpoint, now_ms)
            self._retain(endpoint, now_ms, keep_until_ms)
        self._usable = None

    def record_leaving(self, key: EndpointIncarnation, now_ms: float) -> bool:
        """Record that an endpoint says that it leaves; returns whether that is new.

        This incarnation gets no new requests, whatever its entry says from now on.
        """
        if key in self._leaving_ms:
            return False
        self._forget_leaving(now_ms)
        self._leaving_ms[key] = now_ms
        if (listed := self._listed.get(key.name)) is not None:
            self._listed[key.name] = self._with_notice(listed)
        if key.name in self._retained:
            retained, until_ms = self._retained[key.name]
            self._retained[key.name] = self._with_notice(retained), until_ms
        self._usable = None
        return True

    def record_restore(self, now_ms: float) -> None:
        """Record that the list was restored from a copy that may lack its latest changes.

        Endpoints that drain go on to do so, whatever the copy says, and those removed lately are
        not used until their entries change or `end_restore` is called.
        """
        for endpoint in self._listed.values():
            if endpoint.draining:
                self._leaving_ms.setdefault(endpoint.key, now_ms)
        present, past_ms = {e.key for e in self._present}, now_ms - REMOVED_RETAINED_MS
        removed = {key for key, removed_ms in self._removed_ms.items() if removed_ms > past_ms}
        self._held |= removed - present
        self._usable = None

    def end_restore(self) -> None:
        """Record that all changes that the copy lacked have been made again."""
        self._held.clear()
        self._usable = None

    def drop(self, name: str) -> None:
        """Drop an entry at once, without retaining it."""
        for entries in (self._listed, self._retained, self._deferred):
            entries.pop(name, None)
        self._usable = None

    @property
    def without_incarnation(self) -> list[str]:
        """Entries that are not used because they name no incarnation although most entries do."""
        return self._current.without_incarnation

    @property
    def next_expiry_ms(self) -> float | None:
        """When the next retention or deferral of an entry ends; None without any."""
        waiting = (*self._retained.values(), *self._deferred.values())
        return min((until_ms for _, until_ms in waiting), default=None)

    def expire(self, now_ms: float) -> list[str]:
        """Drop entries missing for too long, and apply those deferred for long enough.

        Returns the names of the dropped entries.
        """
        expired = [name for name, (_, until_ms) in self._retained.items() if now_ms >= until_ms]
        for name in expired:
            del self._retained[name]
        for name, (endpoint, until_ms) in list(self._deferred.items()):
            if now_ms >= until_ms:
                del self._deferred[name]
                self._listed[name] = self._with_notice(endpoint)
                self._retained.pop(name, None)
        self._usable = None
        return expired

    def usable(self, service: str) -> list[Endpoint]:
        """Endpoints of a service that may get new requests."""
        return self._current.by_service.get(service, [])

    def is_usable(self, endpoint: Endpoint) -> bool:
        """Whether `usable` still has this incarnation of an endpoint; looks at no other one."""
        current = self.find(endpoint.name)
        return (
            current is not None
            and current.software_version == endpoint.software_version
            and (current.key, current.service) == (endpoint.key, endpoint.service)
            and not current.draining
            and current.key not in self._held
            and current.name not in self.without_incarnation
        )

    def find(self, name: str) -> Endpoint | None:
        """Entry of an endpoint that is listed or retained."""
        endpoint = self._listed.get(name)
        if endpoint is None and name in self._retained:
            endpoint = self._retained[name][0]
        return endpoint

    @property
    def names(self) -> set[str]:
        """Names of all endpoints that are listed or retained."""
        return self._listed.keys() | self._retained.keys()

    @property
    def software_versions(self) -> dict[str, set[str]]:
        """Software versions of all endpoints that are listed or retained, by service."""
        versions: dict[str, set[str]] = {}
        for endpoint in self._present:
            versions.setdefault(endpoint.service, set()).add(endpoint.software_version)
        return versions

    @property
    def failure_domains(self) -> set[str]:
        """Failure domains of all endpoints that are listed or retained."""
        return {endpoint.failure_domain for endpoint in self._present}

    def in_failure_domain(self, domain: str) -> list[Endpoint]:
        """Endpoints of a failure domain that are listed or retained."""
        return [endpoint for endpoint in self._present if endpoint.failure_domain == domain]

    @property
    def _present(self) -> list[Endpoint]:
        return [*self._listed.values(), *(endpoint for endpoint, _ in self._retained.values())]

    def _accepted(self, endpoint: Endpoint, now_ms: float) -> Endpoint:
        known = self.find(endpoint.name)
        if known is None or not endpoint.older_than(known):
            self._deferred.pop(endpoint.name, None)
            return self._with_notice(endpoint)
        _, until_ms = self._deferred.get(endpoint.name, (endpoint, now_ms + DEFERRED_MS))
        self._deferred[endpoint.name] = (endpoint, until_ms)
        return known

    def _with_notice(self, endpoint: Endpoint) -> Endpoint:
        """The entry, draining if that incarnation has said that it leaves."""
        return endpoint._replace(draining=True) if endpoint.key in self._leaving_ms else endpoint

    def _record_removal(self, endpoint: Endpoint, now_ms: float) -> None:
        past_ms = now_ms - REMOVED_RETAINED_MS
        recent = {key: ms for key, ms in self._removed_ms.items() if ms > past_ms}
        self._removed_ms = {**recent, endpoint.key: now_ms}

    def _forget_leaving(self, now_ms: float) -> None:
        present, past_ms = {e.key for e in self._present}, now_ms - LEAVING_RETAINED_MS
        self._leaving_ms = {
            key: told_ms
            for key, told_ms in self._leaving_ms.items()
            if told_ms > past_ms or key in present
        }

    def _retain(self, endpoint: Endpoint, now_ms: float, until_ms: float) -> None:
        if until_ms > now_ms and not endpoint.draining:
            self._retained[endpoint.name] = (endpoint, min(until_ms, now_ms + self._kept_ms))

    @property
    def _current(self) -> _Usable:
        # Rebuilt with the first use after a change: a message may change hundreds of entries, and
        # a list may hold thousands.
        if self._usable is None:
            self._usable = _usable([e for e in self._present if e.key not in self._held])
        return self._usable


class _Usable(NamedTuple):
    """Endpoints that may get new requests, by service, and names of those left out."""

    by_service: dict[str, list[Endpoint]]
    without_incarnation: list[str]


def _usable(present: list[Endpoint]) -> _Usable:
    unnamed = {endpoint.name for endpoint in present if endpoint.life is None}
    left_out = unnamed if 2 * len(unnamed) < len(present) else set()
    by_service: dict[str, list[Endpoint]] = {}
    for endpoint in present:
        if not endpoint.draining and endpoint.name not in left_out:
            by_service.setdefault(endpoint.service, []).append(endpoint)
    return _Usable(by_service, sorted(left_out))
