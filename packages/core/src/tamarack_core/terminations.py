"""Endpoints that have terminated, and may still be listed."""

from __future__ import annotations

from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.timed_exclusions import TimedExclusions

TERMINATED_MS = 4_000.0
"""Time for which a terminated endpoint gets no work though it is still listed: its entry expires
after three missed heartbeats of 1.2 s. Without it, each router's connections to it are refused for
0.9 to 3.6 s."""

TERMINATED_UNIDENTIFIED_MS = 1_000.0
"""The same where entries have no incarnation: a restarted endpoint cannot be told from the
terminated one."""

LOOK_AHEAD = 0.4
"""Fraction of an exclusion that is left when an endpoint that refused connections is looked at."""

CLOSING_MS = 500.0
"""The same for an endpoint that accepts and then closes new connections: either it is full, or
something in front of it accepts them for a terminated endpoint. Requests sent there meanwhile would
be lost."""


class Terminations(TimedExclusions):
    """Terminations that one router has learned of."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._known_ms: dict[EndpointIncarnation, float] = {}

    def record(self, key: EndpointIncarnation, *, refused: bool) -> None:
        """Record that an incarnation of an endpoint has terminated.

        Parameters
        ----------
        refused
            Whether connections to its address are refused. An endpoint that only closes new
            connections may be full.
        """
        now_ms = self._clock.now_ms
        self.exclude(key, now_ms + (_refused_ms(key) if refused else CLOSING_MS))
        recent = {k: at for k, at in self._known_ms.items() if now_ms - at < TERMINATED_MS}
        self._known_ms = {key: now_ms, **recent}

    def next_look_ms(self, key: EndpointIncarnation) -> float:
        """When to see whether an endpoint still refuses connections, while it is listed.

        An endpoint whose exclusion ends without such a look would seem to be idle.
        """
        return self._until_ms.get(key, self._clock.now_ms) - LOOK_AHEAD * _refused_ms(key)

    def known_ms(self, key: EndpointIncarnation) -> float | None:
        """When this router first learned of a termination; None if it has not recently."""
        return self._known_ms.get(key)


def _refused_ms(key: EndpointIncarnation) -> float:
    return TERMINATED_MS if key.life is not None else TERMINATED_UNIDENTIFIED_MS
