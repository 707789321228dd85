"""A short seeded soak of the platform's path with real processes."""

from __future__ import annotations

import pytest

from tamarack_standins.platform_soak import play

SECONDS = 4.0


@pytest.mark.parametrize("seed", [1, 3])
def test_the_promises_hold_in_a_short_soak(seed: int) -> None:
    soak = play(seed, SECONDS)
    assert soak.broken == []
    assert soak.counts["200"] > 0


def test_requests_that_end_workers_are_held_back_also_after_all_routers_were_killed() -> None:
    """Symptom: after all routers were replaced, known requests end workers all over again.

    Sequence: two requests end whoever runs them and come each 0.4 s at the routers in turn; all
    routers are killed at once in the middle. Cause: only the routers knew. Evidence: seen from
    outside on six routers, 65 and 63 workers ended in 24 s, 18 and 15 arrivals after the kill.
    """
    soak = play(7, 12.0, ends_only=True)
    assert soak.broken == []
    assert soak.counts["200"] > 0
    assert soak.counts["workers ended"] >= 6
