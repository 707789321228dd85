"""What workspaces get that all ask for more than is served, over many routers and engines."""

from __future__ import annotations

import pytest
from share_simulation import Asks, Outcome, Scenario, Simulation

HEAVY = {"flood": Asks(6e6), "wide": Asks(2e6), "squeezed": Asks(1.5e6), "fourth": Asks(1.2e6)}
SMALL = {f"small-{number}": Asks(40_000.0, parts=5) for number in range(5)}

NOMINAL = 400_000.0
"""Tokens a second that the configuration names: a fifth of what the engines serve when they find
most prompts kept."""


def play(seed: int, *, restarted: int = 0) -> Outcome:
    """Six seconds after four to warm up; routers start anew two seconds into them."""
    scenario = Scenario(
        {**HEAVY, **SMALL},
        NOMINAL,
        engines=16,
        routers=8,
        restarted=restarted,
        restart_ms=6_000.0,
        length_ms=10_000.0,
        seed=seed,
    )
    return Simulation(scenario, from_ms=4_000.0, until_ms=10_000.0).play()


@pytest.mark.parametrize(("seed", "restarted"), [(1, 0), (2, 0), (1, 2)])
def test_no_workspace_gets_less_than_half_of_what_another_gets(seed: int, restarted: int) -> None:
    """Symptom: one workspace is refused all through six seconds; another gets over twice as much.

    Sequence: four workspaces ask for several times what engines serve, one of them for most. All
    have had several times the share that the configuration names. Cause: the bound on the queue
    fell with what each had beyond that share, down to the same least bound for all four; among
    many engines some queue is always shorter than that, so that who asks most is let in most.
    Evidence: in one such second the four were refused with standings of 1.6 to 6.5, all `beyond
    its share`; the one with 5 got 9.2 million tokens of six seconds, the one with 2 got 4.3 of
    the 17.9 that it asked for, while a quarter of the engines got a third of the mean number of
    requests.
    """
    outcome = play(seed, restarted=restarted)
    assert outcome.fairness(list(HEAVY)) >= 0.5
    assert outcome.fairness(list(SMALL)) >= 0.5
