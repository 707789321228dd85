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
