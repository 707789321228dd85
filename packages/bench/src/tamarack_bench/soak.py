"""A soak: a mixed load under seeded random faults, checked against the endpoints' logs."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable

from tamarack_bench.accounts import check_promises, doubled_runs
from tamarack_bench.fleet_run import LoadedFleet, finish_load, loaded_fleet
from tamarack_bench.load import CallerPlan
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_standins.deployments import DEPLOYMENTS, Deployment

Fault = Callable[[LoadedFleet, random.Random], None]
FAULTS: dict[str, Fault] = {}
PAUSE_BETWEEN_S = (0.5, 2.0)
SETTLE_S = 3.0


def fault(name: str) -> Callable[[Fault], Fault]:
    """Register a function as a fault."""

    def register(run: Fault) -> Fault:
        FAULTS[name] = run
        return run

    return register


def _router(loaded: LoadedFleet, rng: random.Random) -> str:
    return rng.choice(sorted(loaded.fleet.routers))


def _endpoint(loaded: LoadedFleet, rng: random.Random, kind: str) -> dict[str, str]:
    choices = [e for e in loaded.fleet.endpoints if e["kind"] == kind]
    return rng.choice(choices)


@fault("router killed")
def kill_router(loaded: LoadedFleet, rng: random.Random) -> None:
    """Kill a router and restart it without its former state."""
    name = _router(loaded, rng)
    loaded.fleet.processes.signal(name, signal.SIGKILL)
    loaded.fleet.processes.wait(name)
    loaded.fleet.start_router(name, loaded.fleet.routers[name].failure_domain)
    loaded.fleet.wait_ready([name])


@fault("router replaced")
def replace_router(loaded: LoadedFleet, rng: random.Random) -> None:
    """Stop a router gracefully and restart it."""
    name = _router(loaded, rng)
    loaded.fleet.processes.signal(name, signal.SIGTERM)
    if loaded.fleet.processes.wait(name, 60.0) != 0:
        raise AssertionError(f"{name} did not exit cleanly")
    loaded.fleet.start_router(name, loaded.fleet.routers[name].failure_domain)
    loaded.fleet.wait_ready([name])


@fault("router paused")
def pause_router(loaded: LoadedFleet, rng: random.Random) -> None:
    """Suspend a router's process for a time that may exceed every timeout."""
    name = _router(loaded, rng)
    loaded.fleet.processes.signal(name, signal.SIGSTOP)
    time.sleep(rng.uniform(0.3, 4.0))
    loaded.fleet.processes.signal(name, signal.SIGCONT)


@fault("routers cut")
def cut_routers(loaded: LoadedFleet, rng: random.Random) -> None:
    """Block traffic between one router and all others, and sometimes the store too."""
    name = _router(loaded, rng)
    for other in loaded.fleet.routers:
        if other != name:
            loaded.fleet.cut_routers(name, other)
    if rng.random() < 0.5:
        loaded.fleet.cut_store(name)
    time.sleep(rng.uniform(0.5, 5.0))
    loaded.fleet.heal()


@fault("peers silent")
def silence_peers(loaded: LoadedFleet, rng: random.Random) -> None:
    """Block every open connection between routers permanently."""
    loaded.fleet.silence_peers()


@fault("engine silent")
def silence_engine(loaded: LoadedFleet, rng: random.Random) -> None:
    """Stall some of an engine's streams after a number of bytes."""
    address = _endpoint(loaded, rng, "model")["address"]
    silent = {"kind": "silent_after", "value": rng.randint(0, 3_000), "times": 4}
    loaded.fleet.set_faults(address, [{**silent, "path": "/v1/completions"}])


@fault("engine killed")
def kill_engine(loaded: LoadedFleet, rng: random.Random) -> None:
    """Kill an engine and restart it without its former state."""
    name = _endpoint(loaded, rng, "model")["endpoint"]
    loaded.fleet.processes.signal(name, signal.SIGKILL)
    loaded.fleet.processes.wait(name)
    time.sleep(rng.uniform(0.1, 1.0))
    loaded.fleet.restart_endpoint(name)


@fault("engine paused")
def pause_engine(loaded: LoadedFleet, rng: random.Random) -> None:
    """Suspend an engine's process for a while."""
    name = _endpoint(loaded, rng, "model")["endpoint"]
    loaded.fleet.processes.signal(name, signal.SIGSTOP)
    time.sleep(rng.uniform(0.3, 3.0))
    loaded.fleet.processes.signal(name, signal.SIGCONT)


@fault("answers lost")
def lose_answers(loaded: LoadedFleet, rng: random.Random) -> None:
    """Drop the answers of plain calls after their runs."""
    address = _endpoint(loaded, rng, "plain")["address"]
    lost = {"kind": "answer_lost", "times": 3, "path": "/tank-orders"}
    loaded.fleet.set_faults(address, [lost])


@fault("service crash")
def crash_service(loaded: LoadedFleet, rng: random.Random) -> None:
    """Crash a plain service before or after it has run a call."""
    endpoint = _endpoint(loaded, rng, "plain")
    crash = {"kind": "crash", "value": rng.randint(0, 1), "times": 1, "path": "/tank-orders"}
    loaded.fleet.set_faults(endpoint["address"], [crash])
    deadline = time.monotonic() + 3.0
    while loaded.fleet.processes.running(endpoint["endpoint"]) and time.monotonic() < deadline:
        time.sleep(0.05)
    if not loaded.fleet.processes.running(endpoint["endpoint"]):
        loaded.fleet.restart_endpoint(endpoint["endpoint"])


@fault("store down")
def store_down(loaded: LoadedFleet, rng: random.Random) -> None:
    """Make the platform's store unreachable for a while."""
    address = loaded.fleet.platform["address"]
    loaded.fleet.set_faults(address, [{"kind": "down", "path": "/tables"}])
    time.sleep(rng.uniform(0.5, 5.0))
    loaded.fleet.set_faults(address, [])


@fault("store slow")
def store_slow(loaded: LoadedFleet, rng: random.Random) -> None:
    """Slow down the platform's store."""
    address = loaded.fleet.platform["address"]
    loaded.fleet.set_faults(address, [{"kind": "slow", "value": 800, "times": 30}])


@fault("endpoint drained")
def drain_endpoint(loaded: LoadedFleet, rng: random.Random) -> None:
    """Drain an endpoint, then undo the drain."""
    name = _endpoint(loaded, rng, "model")["endpoint"]
    admin = loaded.fleet.admin()
    admin.call("PUT", f"drain/{name}")
    time.sleep(0.5)
    admin.call("DELETE", f"drain/{name}")


def soak_plans(deployment: Deployment) -> list[CallerPlan]:
    """Load from every workspace, most of it from the large ones."""
    return [
        CallerPlan(name, 8 if name in deployment.large else 2, 0.02, 0.4, 0.3, (5, 150))
        for name in deployment.workspaces
    ]


def run_soak(options: Options, seconds: float, most_faults: int = 1_000_000) -> Reading:
    """Inject faults into a loaded fleet, by time or number, then check its promises."""
    print(f"soak seed {options.seed}", flush=True)
    rng = random.Random(options.seed)
    injected: Counter[str] = Counter()
    failed: list[str] = []
    plans = soak_plans(DEPLOYMENTS[options.deployment])
    settings = {"TAMARACK_STREAM_SILENCE_MS": "600"}
    with loaded_fleet(options, plans, settings=settings, deadline_s=20.0, forward=True) as loaded:
        end = time.monotonic() + seconds
        while time.monotonic() < end and injected.total() < most_faults:
            name = rng.choice(sorted(FAULTS))
            injected[name] += 1
            try:
                FAULTS[name](loaded, rng)
            except Exception as error:
                failed.append(f"{name}: {error!r}")
            threading.Event().wait(rng.uniform(*PAUSE_BETWEEN_S))
        for endpoint in loaded.fleet.endpoints:
            loaded.fleet.set_faults(endpoint["address"], [])
        time.sleep(SETTLE_S)
        summary = finish_load(loaded)
    promises = check_promises(summary.results, summary.all_runs)
    for run in doubled_runs(summary.all_runs):
        print(f"doubled: {run}", flush=True)
    for line in failed:
        print(f"fault not carried out: {line}", flush=True)
    total = len(summary.results)
    figures = {
        "requests": float(total),
        "faults": float(sum(injected.values())),
        "faults_not_carried_out": float(len(failed)),
        "answered": float(promises.answered),
        "refused": float(promises.refused),
        "unknown_per_thousand": promises.unknown / max(1, total) * 1000,
        "lost": float(promises.lost),
        "doubled": float(promises.doubled),
        "mixed": float(promises.mixed),
        "false_refusals": float(promises.false_refusals),
    }
    causes = Counter(r.code for r in summary.results if r.outcome == "unknown")
    figures.update({f"unknown_{code}": float(n) for code, n in causes.items()})
    refusals = Counter(r.code for r in summary.results if r.outcome == "not-run")
    figures.update({f"refused_{code}": float(n) for code, n in refusals.items()})
    figures.update({f"fault_{name.replace(' ', '_')}": float(n) for name, n in injected.items()})
    return Reading("soak", figures)


@scenario("soak", "random faults from a seed under load", standard=False)
def soak(options: Options) -> Reading:
    """Soak for the minutes set in the options."""
    return run_soak(options, options.minutes * 60)


@scenario("soak-short", "forty seconds of the soak")
def soak_short(options: Options) -> Reading:
    """Soak for a short time."""
    reading = run_soak(options, 40.0)
    return reading._replace(scenario="soak-short")
