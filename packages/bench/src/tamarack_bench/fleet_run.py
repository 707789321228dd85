"""A fleet under load, and the accounts of windows of time."""

from __future__ import annotations

import contextlib
import time
from collections.abc import Iterator
from typing import NamedTuple

from tamarack_bench.accounts import Window, busy_slots, read_runs
from tamarack_bench.gaps import Gap, gap_over_time
from tamarack_bench.load import CallerPlan, Load, Result
from tamarack_bench.scenarios import Options
from tamarack_standins.deployments import DEPLOYMENTS, Deployment
from tamarack_standins.fleet import Fleet
from tamarack_standins.run_log import RunRecord

SETTLE_S = 2.5
LARGE = 4
SMALL_THINK_S = 0.3


def now_ms() -> float:
    """Milliseconds since the Unix epoch, as the stand-ins' logs have them."""
    return time.time() * 1000


def sleep_window(seconds: float) -> Window:
    """Let the load run for some seconds; return the window."""
    start = now_ms()
    time.sleep(seconds)
    return Window(start, now_ms())


def model_slots(deployment: Deployment) -> int:
    """Slots of the deployment's model engines."""
    shape = next(s for s in deployment.services if s.kind == "model")
    return shape.old * (shape.slots // 2) + (shape.endpoints - shape.old) * shape.slots


def backlogged_of(deployment: Deployment) -> list[str]:
    """The workspaces that the scenarios keep backlogged."""
    return deployment.workspaces[:LARGE]


def mixed_plans(deployment: Deployment, *, flood: int = 0) -> list[CallerPlan]:
    """Backlogged workspaces, the first of them flooding, and small ones."""
    callers = max(10, model_slots(deployment) // 2)
    large = backlogged_of(deployment)
    plans = []
    for name in deployment.workspaces:
        if name in large:
            extra = flood if name == large[0] else 0
            plans.append(CallerPlan(name, callers + extra))
        else:
            plans.append(CallerPlan(name, 1, SMALL_THINK_S, plain_part=0.2))
    return plans


class LoadedFleet(NamedTuple):
    """A fleet under load."""

    fleet: Fleet
    load: Load
    deployment: Deployment

    def dispatcher(self) -> str:
        """Router that dispatches the model's first shard."""
        service = next(s.name for s in self.deployment.services if s.kind == "model")
        terms = [
            self.fleet.get_json(router.metrics, "/state")["terms"].get(f"{service}/0", "")
            for router in self.fleet.routers.values()
            if self.fleet.processes.running(router.router)
        ]
        newest = max(terms, key=lambda text: int(text.rpartition(":")[2] or 0))
        return newest.rpartition(":")[0]


class LoadSummary(NamedTuple):
    """Runs and results of a load, read before the fleet is stopped."""

    runs: list[RunRecord]
    all_runs: list[RunRecord]
    results: list[Result]
    deployment: Deployment

    def utilisation(self, window: Window) -> float:
        """Ratio of busy slot time to slot time of the model engines."""
        slots = model_slots(self.deployment)
        return busy_slots(self.runs, window) / (slots * window.length_ms)

    def idle_ms(self, window: Window, below: float = 0.9, step_ms: float = 50.0) -> float:
        """Idle time per slot, in milliseconds, in the steps with a utilisation under `below`."""
        idle = 0.0
        start = window.start_ms
        while start < window.end_ms:
            part = self.utilisation(Window(start, start + step_ms))
            if part < below:
                idle += (1.0 - part) * step_ms
            start += step_ms
        return idle

    def gap(self, window: Window) -> Gap:
        """Fairness gap between the backlogged workspaces."""
        return gap_over_time(self.runs, set(backlogged_of(self.deployment)), {}, window)


@contextlib.contextmanager
def loaded_fleet(
    options: Options,
    plans: list[CallerPlan] | None = None,
    *,
    routers: int = 6,
    settings: dict[str, str] | None = None,
    pinned: dict[str, list[int]] | None = None,
    deadline_s: float = 20.0,
    forward: bool = False,
) -> Iterator[LoadedFleet]:
    """Start a fleet and its load; both are stopped at the end of the context.

    Parameters
    ----------
    pinned
        Numbers of the routers that a workspace's callers use, in place of the published addresses.
    """
    deployment = DEPLOYMENTS[options.deployment]
    with Fleet(
        deployment, routers, settings=settings, log_dir=options.log_dir, forward=forward
    ) as fleet:
        addresses = fleet.addresses
        load = Load(
            addresses,
            fleet.keys,
            mixed_plans(deployment) if plans is None else plans,
            model=deployment.model,
            plain=deployment.plain.name,
            seed=options.seed,
            deadline_s=deadline_s,
            pinned={
                name: [addresses[number] for number in numbers]
                for name, numbers in (pinned or {}).items()
            },
        )
        with load:
            time.sleep(SETTLE_S)
            yield LoadedFleet(fleet, load, deployment)


def finish_load(loaded: LoadedFleet) -> LoadSummary:
    """Stop the load and read the logs; to be called inside the context of `loaded_fleet`."""
    loaded.load.finish()
    return LoadSummary(
        read_runs(loaded.fleet, "model"),
        read_runs(loaded.fleet),
        loaded.load.results,
        loaded.deployment,
    )
