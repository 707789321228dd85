"""Search for the traits that explain the crash of an endpoint."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from tamarack_core.crash_evidence import CrashEvidence
from tamarack_core.quarantine_records import PendingTermination, QuarantineBounds
from tamarack_core.request_traits import is_block

ISOLATION_WEIGHT = 2.0
"""Weight of crashes from which requests with a trait are isolated. With one, every request
interrupted by a crash would be isolated."""

MORE_BLOCK_ENDS = 2
"""Crashes that a prefix block needs beyond those of a request: a whole request that crashes
endpoints is isolated from its blocks by its second one, and a wrong decision refuses all that share
the block."""

CERTAINTY_FACTOR = 2.0
"""Multiple of `QuarantineBounds.ends` from which traits are quarantined whatever ran with them:
suspects that always run together, or crashes that always coincide, must not delay it forever."""


class CulpritSearch:
    """Decides from the evidence which traits are suspected, and which caused a crash.

    Parameters
    ----------
    has_many
        Whether a workspace has so many quarantined entries that all of its requests are suspected.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        bounds: QuarantineBounds,
        *,
        has_many: Callable[[str], bool],
    ) -> None:
        self._evidence = evidence
        self._bounds = bounds
        self._has_many = has_many

    def suspected_now(self, traits: Iterable[str], workspace: str) -> dict[str, float]:
        """Weights of the suspected ones of some traits, undecided crashes included."""
        weights = {t: self._weight(t, workspace) + self._evidence.pending(t) for t in traits}
        return {t: weight for t, weight in weights.items() if weight >= ISOLATION_WEIGHT}

    def decide(self, end: PendingTermination) -> list[frozenset[str]]:
        """Add a crash to the evidence; returns the combinations of traits that explain it."""
        traits = {f: self._evidence.traits_of(f) for f in end.aboard}
        early = {f for f, is_early in end.aboard.items() if is_early} or set(end.aboard)
        before = {f: self._suspected(traits[f], f) - end.cleared for f in early}
        rivals = {t for f in early for t in traits[f] if self._is_rival(t)} - end.cleared
        self._evidence.add_weight(end, early)
        culprits = frozenset() if end.together else self._sole_culprits(before, rivals)
        if culprits:
            return [culprits]
        certain = {self._certain(traits[f], f) for f in early}
        # The larger combination refuses less, and its parts are told apart later.
        return [c for c in certain if c and not any(c < other for other in certain)]

    def _weight(self, trait: str, workspace: str) -> float:
        many = not is_block(trait) and self._has_many(workspace)
        return self._evidence.weight(trait) + (ISOLATION_WEIGHT if many else 0.0)

    def _suspected(self, traits: Iterable[str], fingerprint: str) -> frozenset[str]:
        workspace = self._evidence.workspace_of(fingerprint)
        own = {t for t in traits if self._weight(t, workspace) >= ISOLATION_WEIGHT}
        return frozenset(own.union(self._evidence.isolated_for(fingerprint)))

    def _certain(self, traits: Iterable[str], fingerprint: str) -> frozenset[str]:
        workspace = self._evidence.workspace_of(fingerprint)
        least = CERTAINTY_FACTOR * self._bounds.ends
        heavy = {t for t in traits if self._weight(t, workspace) >= least}
        return frozenset(t for t in heavy if not (is_block(t) and self._evidence.has_survived(t)))

    def _is_rival(self, trait: str) -> bool:
        return is_block(trait) and self._evidence.weight(trait) >= 1.0

    def _sole_culprits(
        self, suspected: Mapping[str, frozenset[str]], rivals: set[str]
    ) -> frozenset[str]:
        """Traits that explain a crash alone; empty if others may have caused it.

        Parameters
        ----------
        suspected
            Suspected traits of each interrupted request, by its fingerprint.
        rivals
            Blocks of these requests that were present at a crash before.
        """
        sets = {traits for traits in suspected.values() if traits}
        requests = {f for f, traits in suspected.items() if f in traits}
        if len(requests) == 1:
            # Requests with one bad block are new each time, and only their block is known.
            own = self._evidence.traits_of(min(requests))
            if rivals.issubset(own) and all(traits.issubset(own) for traits in sets):
                culprits = self._heavy(requests)
                if culprits:
                    return culprits
        isolated = any(self._evidence.isolated_for(fingerprint) for fingerprint in suspected)
        # What runs with a block by chance is separated from it only by an isolated endpoint.
        return self._heavy(sets.pop()) if len(sets) == 1 and isolated else frozenset()

    def _heavy(self, traits: Iterable[str]) -> frozenset[str]:
        workspace_of = self._evidence.workspace_of
        return frozenset(
            t for t in traits if self._weight(t, workspace_of(t)) >= self._least_ends(t)
        )

    def _least_ends(self, trait: str) -> int:
        return self._bounds.ends + (MORE_BLOCK_ENDS if is_block(trait) else 0)
