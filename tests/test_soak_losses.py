"""Which losses around a stop of a router break the soak's promise."""

from __future__ import annotations

import time
from typing import NamedTuple

import pytest

from tamarack_standins.soak_losses import Loss, LossChecks, Run

GRACE_S = 6.0
DEADLINE_S = 20.0


class Case(NamedTuple):
    """Times in seconds from SIGTERM.

    `done_s` None is a request that no worker has got, or that one is still `at_work` on.
    """

    sent_s: float
    done_s: float | None
    end_s: float
    fault_s: float | None = None
    at_work: bool = False


def broken(case: Case) -> int:
    """Number of promises that a case breaks."""
    checks = LossChecks(GRACE_S)
    checks.stopped("r")
    stop_s = time.monotonic()
    if case.fault_s is not None:
        fault_s = stop_s + case.fault_s
        checks._faults_s["r"] = [[fault_s, fault_s]]
    if case.done_s is not None or case.at_work:
        checks.runs["a"] = Run()
    if case.done_s is not None:
        checks.runs["a"].end_s = stop_s + case.done_s
    sent_s, end_s = stop_s + case.sent_s, stop_s + case.end_s
    checks.losses.append(Loss("a", "r", sent_s, end_s, DEADLINE_S, 1, 2))
    return len(checks.broken())


@pytest.mark.parametrize(
    "case",
    [
        Case(-6.0, -4.3, 5.0),
        Case(3.1, 4.7, 5.0),
        Case(3.5, 5.5, 5.6),
        Case(0.5, 2.7, 6.9),
        Case(0.5, None, 0.8),
        Case(0.5, 0.55, 0.6),
        Case(0.5, 4.9, 5.5),
        Case(-1.0, 1.0, 4.0, fault_s=-4.1),
    ],
)
def test_an_unexcused_loss_breaks_the_promise(case: Case) -> None:
    assert broken(case) == 1


@pytest.mark.parametrize(
    "case",
    [
        Case(2.9, 5.1, 5.6),
        Case(2.9, None, 5.6, at_work=True),
        Case(-19.0, 0.5, 1.1),
        Case(0.5, 2.7, 7.1),
        Case(-2.0, -1.0, -0.5),
        Case(0.5, None, 0.6),
        Case(-1.0, 1.0, 4.0, fault_s=-3.9),
        Case(-1.0, 1.0, 4.0, fault_s=3.9),
    ],
)
def test_an_excused_loss_breaks_no_promise(case: Case) -> None:
    assert broken(case) == 0
