"""Evidence of crashes: under which traits endpoints crashed, and which of them were answered."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine_records import (
    MOST_CRASHES,
    PendingTermination,
    Suspect,
    SuspectReading,
)
from tamarack_core.request_traits import is_block, traits_in
from tamarack_core.suspect_exchange import CrashWeight, SuspectEvidence
from tamarack_core.termination_evidence import InterruptedTraits, Termination
from tamarack_core.workspace_table import WorkspaceTable

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

MOST_SUSPECTS, MOST_SUSPECTS_OF_ONE = 4_096, 512
"""Suspects in total and per workspace: some 1 MB in all. A mass failure of eight engines with 64
requests each makes 512 of them."""

MOST_ENDS = 256
"""Maximum number of undecided crashes; more than the largest site has engines."""


class CrashEvidence:
    """Suspected traits, and crashes on which no decision was made yet.

    Attributes
    ----------
    ends_seen
        Number of crashes known to this router.
    changes
        Number of changes of the decided evidence.
    """

    def __init__(self) -> None:
        self._ends: dict[EndpointIncarnation, PendingTermination] = {}
        self._settled: dict[EndpointIncarnation, float] = {}
        self._suspects: WorkspaceTable[Suspect] = WorkspaceTable(
            most=MOST_SUSPECTS, most_of_one=MOST_SUSPECTS_OF_ONE
        )
        self._requests: dict[str, InterruptedTraits] = {}
        self._explained: dict[str, set[EndpointIncarnation]] = {}
        self._pending: dict[str, set[EndpointIncarnation]] = {}
        self.ends_seen = 0
        self.changes = 0

    def __bool__(self) -> bool:
        return bool(self._suspects or self._ends)

    @property
    def suspect_count(self) -> int:
        """Number of traits present at crashes and not answered completely since."""
        return len(self._suspects)

    @property
    def next_decision_ms(self) -> float | None:
        """When the next decision is due; None if there is none."""
        return min((end.first_ms + DECISION_DELAY_MS for end in self._ends.values()), default=None)

    # observations

    def record_requests(self, requests: Mapping[str, InterruptedTraits], now_ms: float) -> None:
        """Record the block traits of interrupted requests, by fingerprint."""
        for fingerprint, traits in requests.items():
            self._requests.pop(fingerprint, None)
            self._requests[fingerprint] = traits
            if len(self._requests) > MOST_SUSPECTS:
                del self._requests[next(iter(self._requests))]
            for key in list(self._pending.get(fingerprint, ())):
                self._suspect(traits.blocks, self.workspace_of(fingerprint), key, now_ms)

    def record(self, end: Termination, now_ms: float) -> None:
        """Record a crash reported by a router; several routers may report the same one."""
        if end.key in self._settled:
            # A report after the decision: its requests were not part of the evidence.
            return
        known = self._ends.get(end.key)
        if known is None:
            if len(self._ends) >= MOST_ENDS:
                return
            known = self._ends[end.key] = PendingTermination(end.key, now_ms)
            self.ends_seen += 1
        known.together = known.together or end.together
        for fingerprint, workspace, early in end.aboard:
            if fingerprint in known.cleared:
                continue
            if fingerprint not in known.aboard:
                self._suspect(self.traits_of(fingerprint), workspace, end.key, now_ms)
            known.aboard[fingerprint] = early or known.aboard.get(fingerprint, False)

    def clear(self, traits: Iterable[str]) -> list[str]:
        """Clear traits that were answered completely; returns those that were suspected."""
        cleared = []
        for trait in traits:
            if self.drop_suspect(trait):
                cleared.append(trait)
            # Also from undecided crashes: an answer is stronger evidence than an interruption.
            keys = self._pending.pop(trait, set())
            for key in keys:
                self._ends[key].clear(trait)
            if keys:
                self._explained.setdefault(trait, set()).update(keys)
        return cleared

    def take_due(self, now_ms: float) -> list[PendingTermination]:
        """Remove and return the crashes on which a decision is due."""
        due = [key for key, end in self._ends.items() if now_ms - end.first_ms >= DECISION_DELAY_MS]
        ends = []
        for key in due:
            self._settled[key] = now_ms
            ends.append(self._ends.pop(key))
        if due:
            settled = set(due)
            pending = {trait: keys - settled for trait, keys in self._pending.items()}
            self._pending = {trait: keys for trait, keys in pending.items() if keys}
            self._forget(now_ms)
        return ends

    def drop_suspect(self, trait: str) -> bool:
        """Forget a suspect, whose crashes are explained; returns whether there was one."""
        suspect = self._suspects.pop(trait)
        if suspect is None:
            return False
        self.changes += bool(suspect.crashes)
        explained = self._explained.pop(trait, set())
        self._explained[trait] = explained.union(suspect.crashes)
        if len(self._explained) > MOST_SUSPECTS:
            del self._explained[next(iter(self._explained))]
        return True

    def add_weight(self, end: PendingTermination, early: set[str]) -> None:
        """Add the weight of a crash to all traits that were present; `early` had only begun."""
        self.changes += 1
        whole = COINCIDENT_CRASH_WEIGHT if end.together else 1.0
        present = {f: self.traits_of(f) for f in end.aboard}
        # A block that any request had used for a while is a less likely culprit.
        late_traits = {t for f, traits in present.items() if f not in early for t in traits}
        for trait in {t for traits in present.values() for t in traits} - end.cleared:
            suspect = self._suspects.get(trait)
            if suspect is not None:
                late = trait in late_traits
                suspect.add(end.key, whole * (LATE_CRASH_WEIGHT if late else 1.0))
                suspect.survived = suspect.survived or late

    # the evidence of other routers

    def suspects_to_tell(self, most: int, now_ms: float) -> list[SuspectEvidence]:
        """The suspects of decided crashes with the highest weight, at most `most`."""
        known = [(trait, suspect) for trait, suspect in self._suspects.items() if suspect.crashes]
        known.sort(key=lambda one: one[1].weight, reverse=True)
        return [
            SuspectEvidence(
                trait,
                suspect.workspace,
                now_ms - suspect.last_ms,
                suspect.survived,
                [CrashWeight(*key, weight) for key, weight in suspect.crashes.items()],
            )
            for trait, suspect in known[:most]
        ]

    def merge(self, told: Iterable[SuspectEvidence], now_ms: float) -> None:
        """Add the evidence of a router about crashes that this router has missed.

        Crashes that are undecided here are left out, as are those at which the trait was cleared:
        the other router may have missed the answer.
        """
        for one in told:
            explained = self._explained.get(one.trait, set())
            suspect = self._suspects.get(one.trait) or Suspect(one.workspace)
            crashes = [
                crash
                for crash in one.crashes[:MOST_CRASHES]
                if crash.key not in explained
                and crash.key not in self._ends
                and crash.weight > suspect.crashes.get(crash.key, 0.0)
            ]
            last_ms = now_ms - max(0.0, one.age_ms)
            if not crashes or now_ms - last_ms > FORGET_MS:
                continue
            self.changes += 1
            for crash in crashes:
                suspect.add(crash.key, min(1.0, crash.weight))
                self._settled[crash.key] = now_ms
            suspect.survived = suspect.survived or one.survived
            suspect.last_ms = max(suspect.last_ms, last_ms)
            for evicted in self._suspects.put(one.trait, suspect.workspace, suspect):
                self._pending.pop(evicted, None)

    # evaluation

    def traits_of(self, fingerprint: str) -> tuple[str, ...]:
        """All traits of an interrupted request."""
        known = self._requests.get(fingerprint)
        return (fingerprint, *known.blocks) if known is not None else (fingerprint,)

    def interrupted(self, fingerprint: str) -> InterruptedTraits | None:
        """Traits of an interrupted request; None if unknown."""
        return self._requests.get(fingerprint)

    def isolated_for(self, fingerprint: str) -> frozenset[str]:
        """Traits for which an interrupted request was sent isolated; empty if it was not."""
        known = self._requests.get(fingerprint)
        return traits_in(known.isolated_for) if known and known.isolated_for else frozenset()

    def workspace_of(self, trait: str) -> str:
        """Workspace of the request with which a trait was first suspected; empty if unknown."""
        suspect = self._suspects.get(trait)
        return suspect.workspace if suspect is not None else ""

    def weight(self, trait: str) -> float:
        """Weight of the decided crashes of a trait."""
        suspect = self._suspects.get(trait)
        return 0.0 if suspect is None else suspect.weight

    def has_survived(self, trait: str) -> bool:
        """Whether a request with a trait had run for a while at a crash, beside new ones."""
        suspect = self._suspects.get(trait)
        return suspect is not None and suspect.survived

    def pending(self, trait: str) -> int:
        """Number of undecided crashes of a trait.

        Coincident ones do not count for a block: after a failure of instances, requests that share
        it would be held back until an answer clears it.
        """
        keys = self._pending.get(trait, ())
        if not is_block(trait):
            return len(keys)
        return sum(not self._ends[key].together for key in keys)

    def decision_in_ms(self, trait: str, now_ms: float) -> float:
        """Time until all undecided crashes of a trait are decided."""
        times = [self._ends[key].first_ms for key in self._pending.get(trait, ())]
        return max(1.0, max(times, default=now_ms) + DECISION_DELAY_MS - now_ms)

    def readings(self, most: int) -> list[SuspectReading]:
        """The suspects with the highest weight, at most `most`."""
        readings = [
            SuspectReading(trait, suspect.workspace, round(suspect.weight, 2), len(suspect.crashes))
            for trait, suspect in self._suspects.items()
        ]
        return sorted(readings, key=lambda reading: reading.weight, reverse=True)[:most]

    # internal

    def _suspect(
        self, traits: Iterable[str], workspace: str, key: EndpointIncarnation, now_ms: float
    ) -> None:
        for trait in traits:
            if trait in self._ends[key].cleared:
                continue
            self._pending.setdefault(trait, set()).add(key)
            suspect = self._suspects.get(trait) or Suspect(workspace)
            suspect.last_ms = now_ms
            for evicted in self._suspects.put(trait, suspect.workspace, suspect):
                self._pending.pop(evicted, None)

    def _forget(self, now_ms: float) -> None:
        past_ms = now_ms - DECISION_DELAY_MS * 10
        self._settled = {key: at for key, at in self._settled.items() if at > past_ms}
        for trait, suspect in self._suspects.items():
            if now_ms - suspect.last_ms > FORGET_MS:
                self._suspects.pop(trait)
