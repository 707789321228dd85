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
"""Crashes that a prefix block needs beyond those of a request where a repeated request may explain
them as well, or a router has incomplete evidence: a wrong decision refuses all requests that share
the block."""

CLEAR_LEAD = 2.0
"""Weight by which a trait has to lead all others that are suspected at a crash to explain it."""

CERTAINTY_FACTOR = 2.0
"""Multiple of `QuarantineBounds.ends` from which traits are quarantined whatever ran with them:
suspects that always run together, or crashes that always coincide, must not delay it forever."""


class CulpritSearch:
    """Decides from the evidence which traits are suspected, and which caused a crash.

    Parameters
    ----------
    has_many
        Whether a workspace has so many quarantined entries that all of its requests are suspected.
    settled
        Whether the router has been running for long enough to know the evidence of the others.
    """

    def __init__(
        self,
        evidence: CrashEvidence,
        bounds: QuarantineBounds,
        *,
        has_many: Callable[[str], bool],
        settled: Callable[[], bool],
    ) -> None:
        self._evidence = evidence
        self._bounds = bounds
        self._has_many = has_many
        self._settled = settled

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
        repeated = {f for f in early if self._evidence.weight(f) >= 1.0}
        self._evidence.add_weight(end, early)
        culprits = frozenset() if end.together else self._sole_culprits(before, rivals, repeated)
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
        self, suspected: Mapping[str, frozenset[str]], rivals: set[str], repeated: set[str]
    ) -> frozenset[str]:
        """Traits that explain a crash alone; empty if others may have caused it.

        Parameters
        ----------
        suspected
            Suspected traits of each interrupted request, by its fingerprint.
        rivals
            Blocks of these requests that were present at a crash before.
        repeated
            Those of these requests that were.
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
        # What runs with a block by chance is separated from it only by an isolated endpoint.
        isolated = [self._evidence.isolated_for(f) for f in suspected]
        if len(sets) == 1:
            traits, more = sets.pop(), 0
        else:
            traits, more = self._heaviest(frozenset().union(*sets)), 1
        if not traits or not any(traits <= one for one in isolated):
            return frozenset()
        # A repeated request with these blocks may have caused the earlier crashes, too.
        if not self._settled() or any(
            traits.issubset(self._evidence.traits_of(f)) for f in repeated
        ):
            more = MORE_BLOCK_ENDS
        return self._heavy(traits, more=more)

    def _heaviest(self, traits: Iterable[str]) -> frozenset[str]:
        """Those that were present at most crashes, of traits that no request had used for long."""
        evidence = self._evidence
        weights = {t: evidence.weight(t) for t in traits if not evidence.has_survived(t)}
        most = max(weights.values(), default=0.0)
        heaviest = frozenset(t for t, weight in weights.items() if weight >= most)
        others = max((w for t, w in weights.items() if t not in heaviest), default=0.0)
        return heaviest if most >= others + CLEAR_LEAD else frozenset()

    def _heavy(self, traits: Iterable[str], *, more: int = 0) -> frozenset[str]:
        workspace_of, least = self._evidence.workspace_of, self._bounds.ends + more
        return frozenset(t for t in traits if self._weight(t, workspace_of(t)) >= least)
