"""Evidence of crashes that a router has missed, and when it asks the others for it.

A router that has just started has heard of no crash, and one that was cut off or frozen has missed
some. Without the others' evidence a request would be new to it, and crash endpoints anew. Evidence
is merged by the crash, so that it may be received repeatedly and in any order.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.termination_evidence import QuarantinedRequest
from tamarack_core.wire import message

ASK_MS = 250.0
"""Time between two questions of the fleet: an answer reaches all that lack evidence."""

SETTLED_MS = 3_000.0
"""Time after which a router counts as hearing the evidence of all others: before that it may not
hear all of them. Until then it asks, since evidence may be sent before it hears its sender."""

ASK_FOR_MS = 5_000.0
"""Time after which it no longer asks, and decides on what it knows."""

ENOUGH_ANSWERS = 3
"""Answers of settled routers that are enough; in a large fleet only relays answer."""

MOST_TOLD = 512
"""Maximum number of suspects in an answer, some 60 kB: those with the highest weight."""


class CrashWeight(NamedTuple):
    """Weight of the crash of one incarnation of an endpoint for a suspect."""

    endpoint: str
    life: int | None
    weight: float

    @property
    def key(self) -> EndpointIncarnation:
        """The incarnation that crashed."""
        return EndpointIncarnation(self.endpoint, self.life)


class SuspectEvidence(NamedTuple):
    """The decided crashes at which a trait was present.

    Attributes
    ----------
    age_ms
        Time since the last one.
    survived
        Whether a request with the trait had run for a while at one of them.
    """

    trait: str
    workspace: str
    age_ms: float
    survived: bool
    crashes: list[CrashWeight]


@message(75)
class SuspectsQuery(NamedTuple):
    """Question of a router that may lack evidence."""

    router: str


@message(76)
class KnownSuspects(NamedTuple):
    """Suspects that a router knows; the answer to a question, or told by a router that leaves.

    Attributes
    ----------
    settled
        Whether the router itself has heard the evidence of the others.
    quarantined
        Decisions that the store does not list yet.
    """

    router: str
    settled: bool
    suspects: list[SuspectEvidence] = []
    quarantined: list[QuarantinedRequest] = []


class EvidenceCatchUp:
    """Decides when a router asks for evidence, and from when on its own counts as complete."""

    def __init__(self, now_ms: float) -> None:
        self._asked_ms = float("-inf")
        self.restart(now_ms)

    def restart(self, now_ms: float) -> None:
        """Begin anew, after a time in which evidence may have been missed."""
        self._since_ms = now_ms
        self._answered: set[str] = set()
        self._vouched: set[str] = set()
        self._complete = False

    def lacks(self, now_ms: float) -> bool:
        """Whether evidence may be missing that the others still can give."""
        age_ms = now_ms - self._since_ms
        return age_ms < SETTLED_MS or (not self._complete and age_ms < ASK_FOR_MS)

    def asks(self, heard: Collection[str], now_ms: float) -> bool:
        """Whether a question is due, given the routers that are heard now."""
        enough = len(self._vouched) >= ENOUGH_ANSWERS
        self._complete = enough or self._answered.issuperset(heard)
        return bool(heard) and self.lacks(now_ms) and now_ms - self._asked_ms >= ASK_MS

    def asked(self, now_ms: float) -> None:
        """Record that this or another router has asked."""
        self._asked_ms = now_ms

    def answered(self, answer: KnownSuspects) -> None:
        """Record an answer."""
        self._answered.add(answer.router)
        if answer.settled:
            self._vouched.add(answer.router)
