"""Records of the quarantine: suspects, quarantined requests and undecided crashes."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation

PAUSE_FACTOR = 5.0
LONGEST_PAUSE_MS = 6 * 3_600_000.0
"""Factor by which each crash in a trial extends the pause until the next one, and the longest pause
in milliseconds. With a first pause of two minutes, a harmful request costs an endpoint after 2, 10
and 50 minutes and 4 hours, and four endpoints a day from then on."""

MOST_CRASHES = 64
"""Crashes that are remembered for a suspect. Fewer make a decision, unless most of them coincided
with others and interrupted requests that had run for a while."""

MOST_FACTORS = 9
"""Maximum number of trials that extend the pause; fewer reach the longest pause."""


class QuarantineBounds(NamedTuple):
    """Settings of the quarantine.

    Attributes
    ----------
    ends
        Number of crashes from which a request can be quarantined, if it was the only suspect at the
        last one. Three are allowed before a request has to be recognized.
    first_pause_ms
        Milliseconds until a quarantined request is tried again, isolated and by one router: a wrong
        decision is corrected after two minutes.
    """

    ends: int = 3
    first_pause_ms: float = 120_000.0


DEFAULT_BOUNDS = QuarantineBounds()


class Suspect:
    """A trait of requests that crashes interrupted, and that was not answered since.

    Attributes
    ----------
    crashes
        Weight of each decided crash; two routers' evidence of the same one is counted once.
    weight
        Their sum.
    """

    __slots__ = ("crashes", "last_ms", "survived", "weight", "workspace")

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.crashes: dict[EndpointIncarnation, float] = {}
        self.weight = 0.0
        self.survived = False
        self.last_ms = 0.0

    def add(self, key: EndpointIncarnation, weight: float) -> None:
        """Add a crash, or more evidence of a known one."""
        self.crashes[key] = max(weight, self.crashes.get(key, 0.0))
        if len(self.crashes) > MOST_CRASHES:
            del self.crashes[next(iter(self.crashes))]
        self.weight = sum(self.crashes.values())


class Quarantined:
    """A quarantined combination of traits and the start of its current pause.

    Attributes
    ----------
    stored
        Whether the platform's store lists it.
    on_trial
        Whether this router is trying it again.
    """

    __slots__ = ("on_trial", "since_ms", "stored", "trials", "workspace")

    def __init__(self, workspace: str, trials: int, since_ms: float) -> None:
        self.workspace = workspace
        self.trials = trials
        self.since_ms = since_ms
        self.stored = False
        self.on_trial = False

    def tried_at_ms(self, first_pause_ms: float) -> float:
        """Earliest time of its next trial."""
        extended_ms = first_pause_ms * PAUSE_FACTOR ** min(self.trials, MOST_FACTORS)
        return self.since_ms + min(max(LONGEST_PAUSE_MS, first_pause_ms), extended_ms)


class PendingTermination:
    """An undecided crash.

    Attributes
    ----------
    aboard
        Whether each interrupted request had only begun, by fingerprint.
    cleared
        Traits that were answered completely since.
    """

    __slots__ = ("aboard", "cleared", "first_ms", "key", "together")

    def __init__(self, key: EndpointIncarnation, first_ms: float) -> None:
        self.key = key
        self.first_ms = first_ms
        self.together = False
        self.aboard: dict[str, bool] = {}
        self.cleared: set[str] = set()

    def clear(self, trait: str) -> None:
        """Record that a trait was answered completely."""
        self.cleared.add(trait)
        self.aboard.pop(trait, None)


class QuarantinedReading(NamedTuple):
    """A quarantined request in operator output; `tried_in_ms` is the time until its next trial."""

    fingerprint: str
    workspace: str
    trials: int
    stored: bool
    tried_in_ms: int


class SuspectReading(NamedTuple):
    """A suspect in operator output."""

    fingerprint: str
    workspace: str
    weight: float
    ends: int
