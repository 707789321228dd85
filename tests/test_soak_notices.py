"""Which requests at a worker break the soak's promises about its notices."""

from __future__ import annotations

import random
import time
from collections import Counter

import pytest

from tamarack_standins import soak_notices
from tamarack_standins.platform_worker import ReceivedRequest
from tamarack_standins.soak_callers import Sent, SoakCalls
from tamarack_standins.soak_crashes import CONTACT_S
from tamarack_standins.soak_notices import NoticeChecks


@pytest.mark.parametrize("notice", ["leaving", "rest"])
@pytest.mark.parametrize(
    ("restarted", "learned_after_s", "fault_free_s", "broken"),
    [
        (False, 1.0, 0.0, True),
        (True, -1.0, 0.0, True),
        (True, float("-inf"), 0.0, True),
        (True, 1.0, CONTACT_S, True),
        (True, 1.0, 0.0, False),
    ],
    ids=["no restart", "learned before", "never learned", "no fault", "learned after"],
)
def test_a_notice_counts_unless_its_router_did_not_know_the_incarnation(
    monkeypatch: pytest.MonkeyPatch,
    notice: str,
    restarted: bool,
    learned_after_s: float,
    fault_free_s: float,
    broken: bool,
) -> None:
    """Guards against a router that is blamed for a notice of a worker that it did not know."""
    monkeypatch.setattr(soak_notices, "REST_REACTION_S", 0.0)
    calls = SoakCalls(random.Random(1), Counter(), [])
    checks = NoticeChecks(calls, lambda: fault_free_s)
    request = ReceivedRequest("POST", "/draft/x", {"x-attempt-id": "a1"}, b"")
    now_s = time.monotonic()
    calls.sent["a1"] = Sent("/draft/", "key", now_s + 2 * soak_notices.DRAIN_S, "r")
    if restarted:
        checks.restarted("w", 2)
    if notice == "leaving":
        checks.told_leaving("r", "w")
    else:
        checks.requested_rest("w", request, 60.0)
    for _ in range(soak_notices.REST_ARRIVALS + 1):
        checks.arrived("w", request)
    late = checks.broken(lambda router, worker, life: now_s + learned_after_s)
    assert bool(late) == broken
