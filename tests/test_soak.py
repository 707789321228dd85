"""The soak of the routers with fixed seeds and a bounded number of faults."""

from __future__ import annotations

import pytest

from tamarack_bench.scenarios import Options
from tamarack_bench.soak import run_soak

FAULTS = 5
MAX_SOAK_S = 120.0


@pytest.mark.parametrize(("deployment", "seed"), [("kitami", 7), ("domandina", 11)])
def test_no_promise_is_broken_through_random_faults(deployment: str, seed: int) -> None:
    reading = run_soak(Options(deployment, seed), MAX_SOAK_S, FAULTS)
    figures = reading.figures
    assert figures["faults"] == FAULTS
    assert figures["answered"] > 0
    for broken in ("lost", "doubled", "mixed", "false_refusals", "faults_not_carried_out"):
        assert figures[broken] == 0, broken
