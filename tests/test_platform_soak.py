"""Short seeded soaks of the platform's path with real processes."""

from __future__ import annotations

import asyncio
import random
import signal
import subprocess
import sys
from asyncio.subprocess import PIPE
from pathlib import Path

import pytest

from tamarack_standins.claimed_ports import ClaimedPorts
from tamarack_standins.platform_soak import Soak, run_seed
from tamarack_standins.soak_routers import SoakRouters
from tamarack_standins.soak_worker import SoakWorker

SECONDS = 4.0

PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""First and last port that the kernel gives to connections."""


@pytest.mark.parametrize("seed", [1, 3])
def test_the_promises_hold_in_a_short_soak(seed: int) -> None:
    soak = run_seed(seed, SECONDS)
    assert not soak.broken, "\n".join(soak.broken)
    assert soak.counts["200"] > 0


def test_callers_that_read_slowly_get_whole_answers_while_routers_stop() -> None:
    """Guards against answers that the exit of a router cuts before their callers have them."""
    soak = run_seed(4, 15.0, stops_only=True)
    assert not soak.broken, "\n".join(soak.broken)
    assert soak.counts["slow 200"] > 0
    assert soak.counts["stops"] > 0


def test_requests_that_crash_workers_stay_quarantined_after_all_routers_are_killed() -> None:
    """Failure: after all routers were replaced, quarantined requests crash workers again.

    Two requests that crash every worker are sent every 0.4 s to the routers in turn; halfway, all
    routers are killed at once. If only the routers hold the quarantine, it is lost with them: on
    six routers the requests crashed 65 and 63 workers in 24 s and reached workers 18 and 15 times
    after the kill.
    """
    soak = run_seed(7, 12.0, ends_only=True)
    assert not soak.broken, "\n".join(soak.broken)
    assert soak.counts["200"] > 0
    assert soak.counts["workers ended"] >= 6


def test_sending_a_signal_preserves_a_routers_exit_status(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: a router that exits cleanly while the soak signals it is reported with status 255.

    `Process.send_signal` polls the process and so takes its exit status from the event loop.
    """

    async def signal_router() -> int:
        routers = SoakRouters(
            1, tmp_path, ClaimedPorts(0), "", rng=random.Random(1), broken=lambda reason: None
        )
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", "input()", stdin=PIPE)
        routers._processes[0] = process
        monkeypatch.setattr(subprocess.Popen, "poll", lambda child: pytest.fail("it is polled"))
        await routers.hang_up()
        return await process.wait()

    assert asyncio.run(signal_router()) == -signal.SIGHUP


def test_no_connection_gets_the_address_of_a_worker_that_is_down() -> None:
    """Guards against a soak that ends with "Address already in use" as a worker starts again."""
    first_of_connections = int(PORT_RANGE.read_text().split()[0])

    async def restart_often(address: str) -> None:
        worker = SoakWorker(
            "i-1", streams=False, rng=random.Random(1), ran=lambda *run: None, address=address
        )
        for _ in range(3):
            async with worker:
                assert worker.address == address
            worker = worker.next_incarnation()

    with ClaimedPorts(0) as ports, ClaimedPorts(0) as others:
        addresses = [one.worker(number) for one in (ports, others) for number in range(1, 200)]
        assert len(set(addresses)) == len(addresses)
        assert max(int(address.split(":")[1]) for address in addresses) < first_of_connections
        asyncio.run(restart_often(addresses[0]))


def test_two_soaks_at_once_use_different_addresses(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Failure: routers never become ready, as those of another soak have their addresses."""
    monkeypatch.setattr("os.getpid", lambda: 1)

    async def run(*seeds: int) -> list[str]:
        addresses = []

        class StoppedError(Exception):
            pass

        async def until_ready(routers: SoakRouters) -> None:
            addresses.append(routers.address(0))
            while len(addresses) < len(seeds):
                await asyncio.sleep(0.01)
            raise StoppedError

        monkeypatch.setattr(SoakRouters, "until_ready", until_ready)
        soaks = []
        for seed in seeds:
            folder = tmp_path / f"{len(soaks)}"
            folder.mkdir()
            soaks.append(Soak(seed, 1.0, folder, routers=1).run())
        ended = await asyncio.gather(*soaks, return_exceptions=True)
        assert [type(error) for error in ended] == [StoppedError] * len(seeds)
        return addresses

    assert len(set(asyncio.run(run(5, 5)))) == 2
