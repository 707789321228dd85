"""Quarantine of requests that crash endpoints: suspicion, isolated trial and decision.

A request is recognized by its traits: itself, and each shared prefix block of its prompt. A crash
interrupts all requests on the endpoint, up to 64, of which most are unrelated to it. A single crash
therefore quarantines nothing: each trait of the interrupted requests becomes a suspect, and
requests with traits that were present at several crashes are sent to an endpoint apart from other
suspects. If that endpoint crashes as well, the suspected traits of the requests that ran there are
quarantined, as a combination: only requests with all of them are refused. A complete answer clears
all traits of its request, because a trait that crashes every endpoint is never answered. Requests
that share only a part of the suspected traits are sent elsewhere, so that each answer or crash
separates the culprit from what often comes with it.

Routers report to each other the crashes that they detect, and each router decides on its own from
the same evidence; decisions are also published, and written to the platform's store.

"Ends" in field names are crashes and other terminations of endpoints.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from enum import Enum
from typing import NamedTuple

from tamarack_core.crash_evidence import CrashEvidence
from tamarack_core.culprit_search import CulpritSearch
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine_entries import QuarantineEntries
from tamarack_core.quarantine_records import (
    DEFAULT_BOUNDS,
    PendingTermination,
    QuarantineBounds,
    QuarantinedReading,
    SuspectReading,
)
from tamarack_core.rendezvous import score
from tamarack_core.request_traits import combined, is_block
from tamarack_core.suspect_exchange import SuspectEvidence
from tamarack_core.termination_evidence import InterruptedTraits, QuarantinedRequest, Termination

MANY_QUARANTINED = 8
"""Quarantined entries of one workspace from which its other requests are isolated before their
first crash: many different harmful requests must not cost three endpoints each."""

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
    """Treatment of a request.

    Attributes
    ----------
    wait_ms
        Time until it should be evaluated again.
    suspects
        Name of the suspected traits for which it is isolated, tried or refused.
    """

    treatment: Treatment
    wait_ms: float = 0.0
    suspects: str = ""


FREE = Handling(Treatment.FREE)


class Quarantine:
    """Evidence and decisions of one router.

    Parameters
    ----------
    tries
        Whether this router runs the trials of an entry, by its name.
    settled
        Whether this router has been running for long enough to know the evidence of the others.

    Attributes
    ----------
    refused
        Number of refusals of quarantined requests.
    """

    def __init__(
        self,
        tries: Callable[[str], bool],
        bounds: QuarantineBounds = DEFAULT_BOUNDS,
        *,
        settled: Callable[[], bool] = lambda: True,
    ) -> None:
        self._tries = tries
        self._bounds = bounds
        self._evidence = CrashEvidence()
        self._entries = QuarantineEntries()
        self._search = CulpritSearch(
            self._evidence, bounds, has_many=self._has_many, settled=settled
        )
        self._running: dict[EndpointIncarnation, Counter[str]] = {}
        self.refused = 0

    @property
    def watching(self) -> bool:
        """Whether requests have to be checked; otherwise none needs a fingerprint."""
        return bool(self._evidence or self._entries)

    @property
    def ends_seen(self) -> int:
        """Number of crashes known to this router."""
        return self._evidence.ends_seen

    @property
    def evidence_changes(self) -> int:
        """Number of changes of the evidence that other routers may need."""
        return self._evidence.changes

    # evidence

    def record_requests(self, requests: Mapping[str, InterruptedTraits], now_ms: float) -> None:
        """Record the block traits of interrupted requests, by fingerprint."""
        self._evidence.record_requests(requests, now_ms)

    def interrupted(self, fingerprint: str) -> InterruptedTraits | None:
        """Traits of an interrupted request; None if unknown."""
        return self._evidence.interrupted(fingerprint)

    def was_isolated(self, fingerprint: str) -> bool:
        """Whether an interrupted request had been isolated for suspected traits."""
        return bool(self._evidence.isolated_for(fingerprint))

    def ended(self, end: Termination, now_ms: float) -> None:
        """Record a crash reported by a router; several routers may report the same one."""
        self._evidence.record(end, now_ms)

    def answered(self, fingerprint: str, blocks: Sequence[str] = ()) -> list[str]:
        """Record a complete answer.

        Returns
        -------
        list of str
            Suspected traits and entries that it clears; other routers should be notified.
        """
        traits = (fingerprint, *blocks)
        released = self._entries.matching(traits)
        for name in released:
            self._entries.pop(name)
        return list(dict.fromkeys([*released, *self._evidence.clear(traits)]))

    def cleared(self, names: Sequence[str]) -> None:
        """Clear traits and entries that were answered completely through other routers."""
        for name in names:
            self._entries.pop(name)
        self._evidence.clear(names)

    def suspects_to_tell(self, most: int, now_ms: float) -> list[SuspectEvidence]:
        """Evidence for routers that may have missed crashes, at most `most` suspects."""
        return self._evidence.suspects_to_tell(most, now_ms)

    def merge(self, told: Sequence[SuspectEvidence], now_ms: float) -> None:
        """Add evidence of another router about crashes that this router has missed."""
        self._evidence.merge([one for one in told if one.trait not in self._entries], now_ms)

    def decide_due(self, now_ms: float) -> list[QuarantinedRequest]:
        """Decide on the crashes that are due; returns what is quarantined from now on."""
        decisions: list[QuarantinedRequest] = []
        for end in self._evidence.take_due(now_ms):
            decisions += self._decide(end, now_ms)
        return decisions

    @property
    def next_decision_ms(self) -> float | None:
        """When the next decision is due; None if there is none."""
        return self._evidence.next_decision_ms

    # decisions

    @property
    def evicted(self) -> list[str]:
        """Entries that gave way to others, and are to be deleted from the store."""
        return self._entries.evicted

    def take_evicted(self) -> list[str]:
        """Remove and return `evicted`."""
        evicted, self._entries.evicted = self._entries.evicted, []
        return evicted

    def add(self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False) -> bool:
        """Quarantine by another router's decision; returns whether that is new."""
        known = self._entries.get(request.fingerprint)
        if known is not None and known.trials >= request.trials:
            known.stored = known.stored or (stored and known.trials == request.trials)
            return False
        self._put(request, now_ms, stored=stored)
        return True

    def contains(self, name: str) -> bool:
        """Whether an entry has the given name."""
        return name in self._entries

    def release(self, name: str) -> bool:
        """Release an entry; returns whether there was one."""
        self._evidence.clear([name])
        return self._entries.pop(name)

    def retain_stored(self, names: set[str]) -> list[str]:
        """Release what the store no longer lists, except for what was never stored there."""
        return self._entries.retain_stored(names)

    def mark_lost(self, names: set[str]) -> None:
        """Record that the store has lost all rows but these; they are to be stored again."""
        self._entries.mark_lost(names)

    def mark_stored(self, request: QuarantinedRequest) -> None:
        """Record that the store lists an entry."""
        self._entries.mark_stored(request)

    def unstored(self) -> list[QuarantinedRequest]:
        """Entries that the store does not list in their current state."""
        return self._entries.unstored()

    # requests

    def entries_for(self, fingerprint: str, blocks: Sequence[str] = ()) -> list[str]:
        """Names of the entries that apply to a request."""
        return self._entries.matching((fingerprint, *blocks))

    def treatment_of(
        self, fingerprint: str, workspace: str, now_ms: float, blocks: Sequence[str] = ()
    ) -> Handling:
        """Treatment of a request now; called before each send.

        Parameters
        ----------
        blocks
            Traits of the shared prefix blocks of its prompt.
        """
        traits = (fingerprint, *blocks)
        entries = self._entries.matching(traits)
        if entries:
            return self._treat_entries(entries, now_ms)
        weights = self._search.suspected_now(traits, workspace)
        if not weights:
            return FREE
        evidence = self._evidence
        for trait, weight in weights.items():
            if evidence.pending(trait) and weight >= self._bounds.ends:
                return Handling(Treatment.WAIT, evidence.decision_in_ms(trait, now_ms))
        # Different requests with the same suspected blocks are sent to one endpoint.
        suspects = combined(weights)
        if fingerprint in weights and self._runs(suspects):
            return Handling(Treatment.WAIT, BUSY_WAIT_MS)
        return Handling(Treatment.ISOLATED, suspects=suspects)

    def begun(self, suspects: str, key: EndpointIncarnation) -> None:
        """Record that a request is sent isolated for its suspected traits."""
        self._running.setdefault(key, Counter())[suspects] += 1

    def finished(self, suspects: str, key: EndpointIncarnation) -> None:
        """Record that such a request has finished; called once for each `begun`."""
        running = self._running[key]
        running[suspects] -= 1
        if running[suspects] <= 0:
            del running[suspects]
        if not running:
            del self._running[key]

    def choose_endpoint(
        self, suspects: str, keys: list[EndpointIncarnation]
    ) -> EndpointIncarnation:
        """Choose the endpoint for suspected traits from the given ones.

        Prefers endpoints where this router runs no other suspect; among these it uses rendezvous
        hashing, so that all routers choose different endpoints for different suspects without
        coordination, and the same one for the same suspect.
        """

        def preference(key: EndpointIncarnation) -> tuple[bool, float]:
            others = self._running.get(key, Counter()).keys() - {suspects}
            return not others, score(suspects, key.name)

        return max(keys, key=preference)

    # readings

    @property
    def quarantined_count(self) -> int:
        """Number of entries."""
        return len(self._entries)

    @property
    def suspect_count(self) -> int:
        """Number of traits present at crashes and not answered completely since."""
        return self._evidence.suspect_count

    def entries(self, now_ms: float) -> list[QuarantinedReading]:
        """All entries, newest last."""
        return self._entries.readings(self._bounds.first_pause_ms, now_ms)

    def suspects(self, most: int) -> list[SuspectReading]:
        """The suspects with the highest weight, at most `most`."""
        return self._evidence.readings(most)

    # internal

    def _runs(self, suspects: str) -> bool:
        return any(suspects in running for running in self._running.values())

    def _has_many(self, workspace: str) -> bool:
        return self._entries.count(workspace) >= MANY_QUARANTINED

    def _treat_entries(self, names: list[str], now_ms: float) -> Handling:
        suspects = min(names, key=len)
        entries = [entry for name in names if (entry := self._entries.get(name)) is not None]
        first_pause_ms = self._bounds.first_pause_ms
        paused = any(now_ms < entry.tried_at_ms(first_pause_ms) for entry in entries)
        if paused or not self._tries(suspects):
            self.refused += 1
            return Handling(Treatment.QUARANTINED, suspects=suspects)
        # This request is the trial; others are still refused meanwhile.
        for entry in entries:
            entry.since_ms, entry.on_trial = now_ms, True
        return Handling(Treatment.TRIAL, suspects=suspects)

    def _decide(self, end: PendingTermination, now_ms: float) -> list[QuarantinedRequest]:
        traits = {f: self._evidence.traits_of(f) for f in end.aboard}
        known = {name for own in traits.values() for name in self._entries.matching(own)}
        if known:
            # A quarantined request explains the crash; the others are unrelated.
            return [request for name in known for request in self._trial_failed(name, now_ms)]
        return [self._quarantine(culprits, now_ms) for culprits in self._search.decide(end)]

    def _quarantine(self, traits: frozenset[str], now_ms: float) -> QuarantinedRequest:
        # A whole request has the same blocks whenever it is repeated.
        traits = frozenset(t for t in traits if not is_block(t)) or traits
        workspace = next(filter(None, map(self._evidence.workspace_of, sorted(traits))), "")
        return self._put(QuarantinedRequest(combined(traits), workspace, 0), now_ms)

    def _trial_failed(self, name: str, now_ms: float) -> list[QuarantinedRequest]:
        entry = self._entries.get(name)
        if entry is None or not entry.on_trial:
            return []
        request = QuarantinedRequest(name, entry.workspace, entry.trials + 1)
        return [self._put(request, now_ms)]

    def _put(
        self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False
    ) -> QuarantinedRequest:
        self._evidence.drop_suspect(request.fingerprint)
        self._entries.put(request, now_ms, stored=stored)
        return request
