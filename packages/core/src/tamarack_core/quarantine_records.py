"""What the quarantine keeps of suspects, of its entries and of ends, and what it tells of them."""

from __future__ import annotations

from typing import NamedTuple

PAUSE_FACTOR = 5.0
LONGEST_PAUSE_MS = 6 * 3_600_000.0
"""What each end in a trial makes of the time for which a request is quarantined, and its longest.
With two minutes at first, a right verdict costs an endpoint after 2, 10, 50 minutes, 4 hours, and
four a day from then on."""

MOST_FACTORS = 9
"""Trials that lengthen the pause; the longest is reached by fewer."""


class QuarantineBounds(NamedTuple):
    """What operators set.

    Attributes
    ----------
    ends
        Ends met from which a request can be quarantined, if it was the only suspect at the last.
        The users allow three before a request counts as known.
    first_pause_ms
        Time for which a request is quarantined until it is tried once more, apart and by one
        router: a wrong verdict ends after two minutes.
    """

    ends: int = 3
    first_pause_ms: float = 120_000.0


USUAL_BOUNDS = QuarantineBounds()


class Suspect:
    """A request that met ends and was not answered whole since."""

    __slots__ = ("ends", "last_ms", "weight", "workspace")

    def __init__(self, workspace: str) -> None:
        self.workspace = workspace
        self.weight = 0.0
        self.ends = 0
        self.last_ms = 0.0


class Quarantined:
    """A request that is quarantined, and since when it was not tried.

    Attributes
    ----------
    stored
        Whether the platform's store lists it.
    on_trial
        Whether this router tries it again.
    """

    __slots__ = ("on_trial", "since_ms", "stored", "trials", "workspace")

    def __init__(self, workspace: str, trials: int, since_ms: float) -> None:
        self.workspace = workspace
        self.trials = trials
        self.since_ms = since_ms
        self.stored = False
        self.on_trial = False

    def tried_at_ms(self, first_pause_ms: float) -> float:
        """When it is tried again."""
        grown = first_pause_ms * PAUSE_FACTOR ** min(self.trials, MOST_FACTORS)
        return self.since_ms + min(max(LONGEST_PAUSE_MS, first_pause_ms), grown)


class OpenEnd:
    """An end on which the verdict is not yet given."""

    __slots__ = ("aboard", "first_ms", "together")

    def __init__(self, first_ms: float) -> None:
        self.first_ms = first_ms
        self.together = False
        self.aboard: dict[str, bool] = {}


class QuarantinedReading(NamedTuple):
    """A quarantined request as operators see it; `tried_in_ms` is the time until its next trial."""

    fingerprint: str
    workspace: str
    trials: int
    stored: bool
    tried_in_ms: int


class SuspectReading(NamedTuple):
    """A suspect as operators see it."""

    fingerprint: str
    workspace: str
    weight: float
    ends: int
