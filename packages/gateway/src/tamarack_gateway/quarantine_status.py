"""Status of quarantined and suspected requests for operators."""

from __future__ import annotations

from typing import TypedDict

from tamarack_core.request_traits import trait_kind
from tamarack_gateway.fleet_state import FleetState

MOST_SUSPECTS = 50
"""Maximum number of suspects in the status, by the terminations they were present at; a mass
failure creates hundreds."""


class QuarantinedStatus(TypedDict):
    """A quarantined combination of traits; `stored` is whether the store lists it."""

    fingerprint: str
    kind: str
    workspace: str
    trials: int
    stored: bool
    tried_in_s: int


class SuspectStatus(TypedDict):
    """A trait present at endpoint terminations; `weight` is their weighted number."""

    fingerprint: str
    kind: str
    workspace: str
    weight: float
    ends: int


class QuarantineStatus(TypedDict):
    """One router's local view of requests that crash endpoints."""

    quarantined: list[QuarantinedStatus]
    suspects: list[SuspectStatus]
    refused: int


def quarantine_status(state: FleetState) -> QuarantineStatus:
    """Status of a router's quarantine."""
    quarantine = state.quarantine
    return {
        "quarantined": [
            {
                "fingerprint": one.fingerprint,
                "kind": trait_kind(one.fingerprint),
                "workspace": one.workspace,
                "trials": one.trials,
                "stored": one.stored,
                "tried_in_s": one.tried_in_ms // 1000,
            }
            for one in quarantine.entries(state.clock.now_ms)
        ],
        "suspects": [
            {
                "fingerprint": one.fingerprint,
                "kind": trait_kind(one.fingerprint),
                "workspace": one.workspace,
                "weight": one.weight,
                "ends": one.ends,
            }
            for one in quarantine.suspects(MOST_SUSPECTS)
        ],
        "refused": quarantine.refused,
    }
