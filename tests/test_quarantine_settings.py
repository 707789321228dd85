"""Validation of the quarantine's settings at the start."""

from __future__ import annotations

import pytest

from tamarack_core.quarantine_records import QuarantineBounds
from tamarack_gateway.quarantine_settings import ENDS, PAUSE_S, quarantine_bounds


def test_defaults_apply_without_settings() -> None:
    assert quarantine_bounds({}) == QuarantineBounds()


def test_settings_override_the_defaults() -> None:
    assert quarantine_bounds({ENDS: "4", PAUSE_S: "30"}) == QuarantineBounds(4, 30_000.0)


@pytest.mark.parametrize("ends", ["1", "0", "-3", "2.5", "nan", "inf", "three", ""])
@pytest.mark.parametrize("pause", ["0", "-1", "nan", "1e9", "soon"])
def test_all_errors_are_reported(ends: str, pause: str) -> None:
    with pytest.raises(ValueError) as raised:
        quarantine_bounds({ENDS: ends, PAUSE_S: pause})
    assert ENDS in str(raised.value)
    assert PAUSE_S in str(raised.value)
