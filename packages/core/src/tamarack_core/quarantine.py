"""Quarantine of requests that crash endpoints: suspicion, isolated trial and decision.

A crash interrupts all requests on the endpoint, up to 64, of which most are unrelated to it and are
retried. A single crash therefore quarantines no request: each interrupted one becomes a suspect,
and one interrupted by several crashes is sent to an endpoint without other such suspects. If that
endpoint crashes as well, with it as the only suspect, the request is quarantined. A complete answer
clears a suspect, because a request that crashes every endpoint is never answered.

Routers report to each other the crashes that they detect, and each router decides on its own from
the same evidence; decisions are also published, and written to the platform's store.

"Ends" in field names are crashes and other terminations of endpoints.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeVar

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine_records import (
    DEFAULT_BOUNDS,
    PendingTermination,
    QuarantineBounds,
    Quarantined,
    QuarantinedReading,
    Suspect,
    SuspectReading,
)
from tamarack_core.rendezvous import score
from tamarack_core.termination_evidence import QuarantinedRequest, Termination
from tamarack_core.workspace_table import WorkspaceTable

Key = TypeVar("Key")

ISOLATION_WEIGHT = 2.0
"""Weight of crashes from which a suspect is isolated from other suspects. With one, every request
interrupted by a crash would be isolated."""

CERTAINTY_FACTOR = 2.0
"""Multiple of `QuarantineBounds.ends` from which a request is quarantined whatever ran with it:
suspects that always run together, or crashes that always coincide, must not delay it forever."""

LATE_CRASH_WEIGHT = 0.25
"""Weight of a crash for a request that had run for a while beside others that had only begun; a
request that crashes endpoints late is still quarantined after a few more crashes."""

COINCIDENT_CRASH_WEIGHT = 0.5
"""Weight of a crash that coincides with that of another endpoint, as in a failure of instances.
Five of these, as in a series of mass failures, stay below the weight that quarantines a request."""

DECISION_DELAY_MS = 400.0
"""Milliseconds from the first report of a crash to the decision on it: other routers report their
interrupted requests within some 30 ms, by relays within 0.2 s, and some detect it 0.1 s later."""

FORGET_MS = 3_600_000.0
"""Milliseconds a suspect is remembered after its last crash; one sent each half hour is found."""

MANY_QUARANTINED = 8
"""Quarantined requests of one workspace from which its other requests are isolated before their
first crash: many different harmful requests must not cost three endpoints each."""

MOST_SUSPECTS, MOST_SUSPECTS_OF_ONE = 4_096, 512
MOST_QUARANTINED, MOST_QUARANTINED_OF_ONE = 1_024, 64
"""Entries of the tables, in total and per workspace: some 2 MB in all. A mass failure of eight
engines with 64 requests each makes 512 suspects."""

MOST_ENDS = 256
"""Maximum number of undecided crashes; more than the largest site has engines."""

BUSY_WAIT_MS = 50.0
"""Milliseconds until a repeat of a suspect that runs isolated here is evaluated again."""


class Treatment(Enum):
    """How a request is handled before it is sent."""

    FREE = "free"
    ISOLATED = "apart"
    TRIAL = "trial"
    WAIT = "wait"
    QUARANTINED = "quarantined"


class Handling(NamedTuple):
    """Treatment of a request; `wait_ms` is the time until it should be evaluated again."""

    treatment: Treatment
    wait_ms: float = 0.0


FREE = Handling(Treatment.FREE)


class Quarantine:
    """Evidence and decisions of one router.

    Parameters
    ----------
    tries
        Whether this router runs the trials of a quarantined request, by fingerprint.

    Attributes
    ----------
    refused, ends_seen
        Number of refusals of quarantined requests, and number of crashes known to this router.
    evicted
        Quarantined requests evicted from the table, until they are deleted from the store.
    """

    def __init__(
        self, tries: Callable[[str], bool], bounds: QuarantineBounds = DEFAULT_BOUNDS
    ) -> None:
        self._tries = tries
        self._bounds = bounds
        self._ends: dict[EndpointIncarnation, PendingTermination] = {}
        self._settled: dict[EndpointIncarnation, float] = {}
        self._suspects: WorkspaceTable[Suspect] = WorkspaceTable(
            most=MOST_SUSPECTS, most_of_one=MOST_SUSPECTS_OF_ONE
        )
        self._entries: WorkspaceTable[Quarantined] = WorkspaceTable(
            most=MOST_QUARANTINED, most_of_one=MOST_QUARANTINED_OF_ONE
        )
        self._waiting: Counter[str] = Counter()
        self._running: Counter[str] = Counter()
        self._occupied: Counter[EndpointIncarnation] = Counter()
        self.refused = 0
        self.ends_seen = 0
        self.evicted: list[str] = []

    @property
    def watching(self) -> bool:
        """Whether requests have to be checked; otherwise none needs a fingerprint."""
        return bool(self._suspects or self._entries or self._ends)

    # evidence

    def ended(self, end: Termination, now_ms: float) -> None:
        """Record a crash reported by a router; several routers may report the same one."""
        if end.key in self._settled:
            # A report after the decision: its requests were not part of the evidence.
            return
        known = self._ends.get(end.key)
        if known is None:
            if len(self._ends) >= MOST_ENDS:
                return
            known = self._ends[end.key] = PendingTermination(now_ms)
            self.ends_seen += 1
        known.together = known.together or end.together
        for fingerprint, workspace, early in end.aboard:
            before = known.aboard.get(fingerprint)
            if before is None:
                self._waiting[fingerprint] += 1
                self._suspect(fingerprint, workspace, now_ms)
            known.aboard[fingerprint] = early or bool(before)

    def answered(self, fingerprint: str) -> bool:
        """Record a complete answer; returns whether other routers should be notified."""
        if fingerprint in self._entries:
            self._entries.pop(fingerprint)
            self._clear(fingerprint)
            return True
        suspect = self._suspects.get(fingerprint)
        self._clear(fingerprint)
        return suspect is not None

    def cleared(self, fingerprints: list[str]) -> None:
        """Clear suspects that were answered completely through other routers."""
        for fingerprint in fingerprints:
            self._entries.pop(fingerprint)
            self._clear(fingerprint)

    def decide_due(self, now_ms: float) -> list[QuarantinedRequest]:
        """Decide on the crashes that are due; returns the requests quarantined from now on."""
        due = [key for key, end in self._ends.items() if now_ms - end.first_ms >= DECISION_DELAY_MS]
        decisions: list[QuarantinedRequest] = []
        for key in due:
            end = self._ends.pop(key)
            self._settled[key] = now_ms
            decisions += self._decide(end, now_ms)
        if due:
            self._forget(now_ms)
        return decisions

    @property
    def next_decision_ms(self) -> float | None:
        """When the next decision is due; None if there is none."""
        return min((end.first_ms + DECISION_DELAY_MS for end in self._ends.values()), default=None)

    # decisions

    def add(self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False) -> bool:
        """Quarantine a request by another router's decision; returns whether that is new."""
        known = self._entries.get(request.fingerprint)
        if known is not None and known.trials >= request.trials:
            known.stored = known.stored or (stored and known.trials == request.trials)
            return False
        self._put(request, now_ms, stored=stored)
        return True

    def contains(self, fingerprint: str) -> bool:
        """Whether a request is quarantined."""
        return fingerprint in self._entries

    def release(self, fingerprint: str) -> bool:
        """Release a request; returns whether it was quarantined."""
        self._clear(fingerprint)
        return self._entries.pop(fingerprint) is not None

    def retain_stored(self, fingerprints: set[str]) -> list[str]:
        """Release what the store no longer lists, except for what was never stored there."""
        stale = [f for f, entry in self._entries.items() if entry.stored and f not in fingerprints]
        for fingerprint in stale:
            self.release(fingerprint)
        return stale

    def mark_lost(self, fingerprints: set[str]) -> None:
        """Record that the store has lost all rows but these; they are to be stored again."""
        for fingerprint, entry in self._entries.items():
            entry.stored = entry.stored and fingerprint in fingerprints

    def mark_stored(self, request: QuarantinedRequest) -> None:
        """Record that the store lists a quarantined request."""
        entry = self._entries.get(request.fingerprint)
        if entry is not None and entry.trials == request.trials:
            entry.stored = True

    def unstored(self) -> list[QuarantinedRequest]:
        """Quarantined requests that the store does not list in their current state."""
        return [
            QuarantinedRequest(fingerprint, entry.workspace, entry.trials)
            for fingerprint, entry in self._entries.items()
            if not entry.stored
        ]

    # requests

    def treatment_of(self, fingerprint: str, workspace: str, now_ms: float) -> Handling:
        """Treatment of a request now; called before each send."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            return self._treat_entry(fingerprint, entry, now_ms)
        suspect = self._suspects.get(fingerprint)
        weight = self._prior(workspace) + (suspect.weight if suspect is not None else 0.0)
        waiting = self._waiting.get(fingerprint, 0)
        if weight + waiting < ISOLATION_WEIGHT:
            return FREE
        if waiting and weight + waiting >= self._bounds.ends:
            return Handling(Treatment.WAIT, self._decision_in_ms(fingerprint, now_ms))
        if self._running[fingerprint]:
            return Handling(Treatment.WAIT, BUSY_WAIT_MS)
        return Handling(Treatment.ISOLATED)

    def begun(self, fingerprint: str, key: EndpointIncarnation) -> None:
        """Record that a request is sent isolated from other suspects."""
        self._running[fingerprint] += 1
        self._occupied[key] += 1

    def finished(self, fingerprint: str, key: EndpointIncarnation) -> None:
        """Record that such a request has finished; called once for each `begun`."""
        _decrement(self._running, fingerprint)
        _decrement(self._occupied, key)

    def choose_endpoint(
        self, fingerprint: str, keys: list[EndpointIncarnation]
    ) -> EndpointIncarnation:
        """Choose the endpoint for a suspect from the given ones.

        Prefers endpoints where this router runs no other suspect; among these it uses rendezvous
        hashing, so that all routers choose different endpoints for different suspects without
        coordination, and the same one for repeats of a suspect.
        """
        return max(keys, key=lambda key: (key not in self._occupied, score(fingerprint, key.name)))

    # readings

    @property
    def quarantined_count(self) -> int:
        """Number of quarantined requests."""
        return len(self._entries)

    @property
    def suspect_count(self) -> int:
        """Number of requests interrupted by crashes and not answered completely since."""
        return len(self._suspects)

    def entries(self, now_ms: float) -> list[QuarantinedReading]:
        """All quarantined requests, newest last."""
        first_pause_ms = self._bounds.first_pause_ms
        return [
            QuarantinedReading(
                fingerprint,
                entry.workspace,
                entry.trials,
                entry.stored,
                round(entry.tried_at_ms(first_pause_ms) - now_ms),
            )
            for fingerprint, entry in self._entries.items()
        ]

    def suspects(self, most: int) -> list[SuspectReading]:
        """The suspects with the highest weight, at most `most`."""
        readings = [
            SuspectReading(fingerprint, suspect.workspace, round(suspect.weight, 2), suspect.ends)
            for fingerprint, suspect in self._suspects.items()
        ]
        return sorted(readings, key=lambda reading: reading.weight, reverse=True)[:most]

    # internal

    def _suspect(self, fingerprint: str, workspace: str, now_ms: float) -> None:
        suspect = self._suspects.get(fingerprint) or Suspect(workspace)
        suspect.last_ms = now_ms
        for evicted in self._suspects.put(fingerprint, workspace, suspect):
            self._waiting.pop(evicted, None)

    def _clear(self, fingerprint: str) -> None:
        # Also from undecided crashes: a complete answer is stronger evidence than an interruption.
        self._suspects.pop(fingerprint)
        if self._waiting.pop(fingerprint, 0):
            for end in self._ends.values():
                end.aboard.pop(fingerprint, None)

    def _prior(self, workspace: str) -> float:
        return ISOLATION_WEIGHT if self._entries.count(workspace) >= MANY_QUARANTINED else 0.0

    def _decision_in_ms(self, fingerprint: str, now_ms: float) -> float:
        times = [end.first_ms for end in self._ends.values() if fingerprint in end.aboard]
        return max(1.0, max(times, default=now_ms) + DECISION_DELAY_MS - now_ms)

    def _treat_entry(self, fingerprint: str, entry: Quarantined, now_ms: float) -> Handling:
        paused = now_ms < entry.tried_at_ms(self._bounds.first_pause_ms)
        if paused or not self._tries(fingerprint):
            self.refused += 1
            return Handling(Treatment.QUARANTINED)
        # This request is the trial; repeats are still refused meanwhile.
        entry.since_ms, entry.on_trial = now_ms, True
        return Handling(Treatment.TRIAL)

    def _decide(self, end: PendingTermination, now_ms: float) -> list[QuarantinedRequest]:
        for fingerprint in end.aboard:
            _decrement(self._waiting, fingerprint)
        known = [(f, entry) for f in end.aboard if (entry := self._entries.get(f)) is not None]
        if known:
            # A quarantined request explains the crash; the others are unrelated.
            return [self._trial_failed(f, entry, now_ms) for f, entry in known if entry.on_trial]
        early = {f for f, is_early in end.aboard.items() if is_early} or set(end.aboard)
        suspected = {f for f in early if self._weight(f) >= ISOLATION_WEIGHT}
        for fingerprint in end.aboard:
            self._add_weight(fingerprint, end, early=fingerprint in early)
        sole = not end.together and len(suspected) == 1
        return [
            self._quarantine(f, now_ms)
            for f in early
            if self._weight(f) >= CERTAINTY_FACTOR * self._bounds.ends
            or (sole and f in suspected and self._weight(f) >= self._bounds.ends)
        ]

    def _weight(self, fingerprint: str) -> float:
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else suspect.weight + self._prior(suspect.workspace)

    def _add_weight(self, fingerprint: str, end: PendingTermination, *, early: bool) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        whole = COINCIDENT_CRASH_WEIGHT if end.together else 1.0
        suspect.weight += whole * (1.0 if early else LATE_CRASH_WEIGHT)
        suspect.ends += 1

    def _quarantine(self, fingerprint: str, now_ms: float) -> QuarantinedRequest:
        suspect = self._suspects.get(fingerprint)
        workspace = suspect.workspace if suspect is not None else ""
        return self._put(QuarantinedRequest(fingerprint, workspace, 0), now_ms)

    def _trial_failed(
        self, fingerprint: str, entry: Quarantined, now_ms: float
    ) -> QuarantinedRequest:
        request = QuarantinedRequest(fingerprint, entry.workspace, entry.trials + 1)
        return self._put(request, now_ms)

    def _put(
        self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False
    ) -> QuarantinedRequest:
        entry = Quarantined(request.workspace, request.trials, now_ms)
        entry.stored = stored
        self._suspects.pop(request.fingerprint)
        self.evicted += self._entries.put(request.fingerprint, request.workspace, entry)
        return request

    def _forget(self, now_ms: float) -> None:
        past_ms = now_ms - DECISION_DELAY_MS * 10
        self._settled = {key: at for key, at in self._settled.items() if at > past_ms}
        for fingerprint, suspect in self._suspects.items():
            if now_ms - suspect.last_ms > FORGET_MS:
                self._suspects.pop(fingerprint)


def _decrement(counts: Counter[Key], key: Key) -> None:
    """Decrement the count of a key; a key without a positive count is removed."""
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]
