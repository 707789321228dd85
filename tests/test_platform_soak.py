"""A short seeded soak of the platform's path with real processes."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

import pytest

from tamarack_standins.platform_soak import play
from tamarack_standins.soak_routers import SoakRouters

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


def test_a_signal_does_not_take_a_routers_exit_status(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: a router that ends in order as the soak signals it is reported to end with 255."""

    async def story() -> int:
        routers = SoakRouters(
            1, tmp_path, 9_000, "", draws=random.Random(1), broken=lambda reason: None
        )
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", "input()", stdin=PIPE)
        routers._processes[0] = process
        monkeypatch.setattr(subprocess.Popen, "poll", lambda child: pytest.fail("it is polled"))
        await routers.hang_up()
        return await process.wait()

    assert asyncio.run(story()) == -signal.SIGHUP
