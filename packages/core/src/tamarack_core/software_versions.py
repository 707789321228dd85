"""Software versions that the endpoints of each service have run lately.

What two versions write does not fit together, so that a stream goes on only at the version that
began it. A service's only version needs no further knowledge about single streams, as long as no
other version can have begun a stream that is still going on.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from tamarack_core.clock import Clock
from tamarack_core.stall_detector import StallDetector

LONGEST_STREAM_MS = 20_000.0
"""Time in milliseconds after its first event for which a caller may go on with a stream, unless a
route allows a longer time: callers wait 15 s or less."""


class SoftwareVersions:
    """Versions by service, as one router knows them.

    A service's only version is certain to a router whose view is complete: because it has been in
    touch for as long as streams may go on, or because it has read what all routers recorded.

    Parameters
    ----------
    retention_ms
        Returns the time in milliseconds for which a stream may go on.

    Attributes
    ----------
    on_uncertain
        Called with a service of which a second version has appeared, or whose only version is no
        longer certain.
    on_change
        Called when a version has appeared, or when the view is no longer complete.
    """

    def __init__(self, clock: Clock, retention_ms: Callable[[], float]) -> None:
        self._clock = clock
        self._retention_ms = retention_ms
        self._since_ms: float | None = None
        self._stalls = StallDetector()
        self._seen_ms: dict[str, dict[str, float]] = {}
        self._listed: Mapping[str, Collection[str]] = {}
        self.on_uncertain: Callable[[str], None] = _ignore
        self.on_change: Callable[[], None] = lambda: None

    def update(self, listed: Mapping[str, Collection[str]]) -> None:
        """Apply the versions of all listed endpoints, by service."""
        now_ms = self._clock.now_ms
        if self._since_ms is None:
            self._since_ms = now_ms
            self._stalls.observe(now_ms)
        before = {service: self.recent(service) for service in listed}
        for service, versions in (*self._listed.items(), *listed.items()):
            self._seen_ms.setdefault(service, {}).update(dict.fromkeys(versions, now_ms))
        self._listed = listed
        self._forget(now_ms)
        for service, versions in listed.items():
            self._compare(service, before[service], versions)

    def observe(self, *, in_touch: bool) -> None:
        """Note whether this router learns of changes; called several times in `STALL_MS`."""
        now_ms = self._clock.now_ms
        stalled = self._stalls.observe(now_ms)
        if self._since_ms is None or (in_touch and not stalled):
            return
        certain = [service for service in self._seen_ms if self.sole(service) is not None]
        self._since_ms = now_ms
        for service in certain:
            self.on_uncertain(service)
        self.on_change()

    def see(self, service: str, version: str) -> None:
        """Record that streams of another router have begun at endpoints of a version."""
        if version in self._listed.get(service, ()):
            self._seen_ms.setdefault(service, {})[version] = self._clock.now_ms
            return
        before = self.recent(service)
        self._seen_ms.setdefault(service, {})[version] = self._clock.now_ms
        self._compare(service, before, (version,))

    def recover(self, recorded: Mapping[str, Collection[str]]) -> None:
        """Complete the view with the versions that all routers had recorded up to now."""
        for service, versions in recorded.items():
            for version in versions:
                self.see(service, version)
        self._since_ms = self._clock.now_ms - self._retention_ms()

    @property
    def services(self) -> Collection[str]:
        """Services of which versions are known."""
        return self._seen_ms.keys()

    def recent(self, service: str) -> set[str]:
        """Versions at which streams may have begun that still go on."""
        past_ms = self._clock.now_ms - self._retention_ms()
        seen = self._seen_ms.get(service, {})
        return {v for v, seen_ms in seen.items() if seen_ms > past_ms} | {
            *self._listed.get(service, ())
        }

    def several(self, service: str) -> bool:
        """Whether streams may go on that began at different versions."""
        return len(self.recent(service)) > 1

    def sole(self, service: str) -> str | None:
        """The version at which every stream that still goes on has begun, as of the newest list.

        None if the view is not complete. What began after the list was read is not covered.
        """
        if not self.complete:
            return None
        recent = self.recent(service)
        return recent.pop() if len(recent) == 1 else None

    @property
    def complete(self) -> bool:
        """Whether any version is known at which a stream may have begun that still goes on."""
        now_ms = self._clock.now_ms
        return (
            self._since_ms is not None
            and now_ms - self._since_ms >= self._retention_ms()
            and not self._stalls.stalled(now_ms)
        )

    def _compare(self, service: str, before: set[str], versions: Collection[str]) -> None:
        if before.issuperset(versions):
            return
        self.on_change()
        if len(before) == 1:
            self.on_uncertain(service)

    def _forget(self, now_ms: float) -> None:
        past_ms = now_ms - self._retention_ms()
        for service, seen in list(self._seen_ms.items()):
            kept = {version: seen_ms for version, seen_ms in seen.items() if seen_ms > past_ms}
            if kept:
                self._seen_ms[service] = kept
            else:
                del self._seen_ms[service]


def _ignore(service: str) -> None:
    """Default of `SoftwareVersions.on_uncertain`: does nothing."""
