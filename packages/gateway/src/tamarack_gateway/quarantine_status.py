"""Requests in quarantine or suspected, told to operators."""

from __future__ import annotations

from typing import TypedDict

from tamarack_gateway.fleet_state import FleetState

MOST_SUSPECTS = 50
"""Suspects that are told of, by the ends that they met; a mass failure makes hundreds."""


class QuarantinedStatus(TypedDict):
    """A request that is quarantined; `stored` tells whether the store lists it."""

    fingerprint: str
    workspace: str
    trials: int
    stored: bool
    tried_in_s: int


class SuspectStatus(TypedDict):
    """A request that met ends of endpoints; `weight` is what these count."""

    fingerprint: str
    workspace: str
    weight: float
    ends: int


class QuarantineStatus(TypedDict):
    """All that one router knows of requests that end endpoints."""

    quarantined: list[QuarantinedStatus]
    suspects: list[SuspectStatus]
    refused: int


def quarantine_status(state: FleetState) -> QuarantineStatus:
    """Read the quarantine of a router."""
    quarantine = state.quarantine
    return {
        "quarantined": [
            {
                "fingerprint": one.fingerprint,
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
                "workspace": one.workspace,
                "weight": one.weight,
                "ends": one.ends,
            }
            for one in quarantine.suspects(MOST_SUSPECTS)
        ],
        "refused": quarantine.refused,
    }
