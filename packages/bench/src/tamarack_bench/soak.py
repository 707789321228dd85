"""A soak: a mixed load through random faults from a seed, judged by the endpoints' logs."""

from __future__ import annotations

import random
import signal
import threading
import time
from collections import Counter
from collections.abc import Callable

from tamarack_bench.accounts import doubled_runs, judge
from tamarack_bench.fleet_run import LoadedFleet, loaded_fleet, settle
from tamarack_bench.load import CallerPlan
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_standins.deployments import DEPLOYMENTS, Deployment

Fault = Callable[[LoadedFleet, random.Random], None]
FAULTS: dict[str, Fault] = {}
PAUSE_BETWEEN_S = (0.5, 2.0)
SETTLE_S = 3.0


def fault(name: str) -> Callable[[Fault], Fault]:
    """Enter a function into the registry of faults."""

    def register(run: Fault) -> Fault:
        FAULTS[name] = run
        return run

    return register


def _router(loaded: LoadedFleet, chance: random.Random) -> str:
    return chance.choice(sorted(loaded.fleet.routers))


def _endpoint(loaded: LoadedFleet, chance: random.Random, kind: str) -> dict[str, str]:
    choices = [e for e in loaded.fleet.endpoints if e["kind"] == kind]
    return chance.choice(choices)


@fault("router killed")
def kill_router(loaded: LoadedFleet, chance: random.Random) -> None:
    """Kill a router and start it again cold."""
    name = _router(loaded, chance)
    loaded.fleet.processes.signal(name, signal.SIGKILL)
    loaded.fleet.processes.wait(name)
    loaded.fleet.start_router(name, loaded.fleet.routers[name].failure_domain)
    loaded.fleet.wait_ready([name])


@fault("router replaced")
def replace_router(loaded: LoadedFleet, chance: random.Random) -> None:
    """Stop a router gracefully and start it again."""
    name = _router(loaded, chance)
    loaded.fleet.processes.signal(name, signal.SIGTERM)
    if loaded.fleet.processes.wait(name, 60.0) != 0:
        raise AssertionError(f"{name} did not stop clean")
    loaded.fleet.start_router(name, loaded.fleet.routers[name].failure_domain)
    loaded.fleet.wait_ready([name])


@fault("router paused")
def pause_router(loaded: LoadedFleet, chance: random.Random) -> None:
    """Stop a router's process for a time that may exceed every timeout."""
    name = _router(loaded, chance)
    loaded.fleet.processes.signal(name, signal.SIGSTOP)
    time.sleep(chance.uniform(0.3, 4.0))
    loaded.fleet.processes.signal(name, signal.SIGCONT)


@fault("routers cut")
def cut_routers(loaded: LoadedFleet, chance: random.Random) -> None:
    """Cut one router off from all others, and sometimes from the store too."""
    name = _router(loaded, chance)
    for other in loaded.fleet.routers:
        if other != name:
            loaded.fleet.cut_routers(name, other)
    if chance.random() < 0.5:
        loaded.fleet.cut_store(name)
    time.sleep(chance.uniform(0.5, 5.0))
    loaded.fleet.heal()


@fault("peers silent")
def silence_peers(loaded: LoadedFleet, chance: random.Random) -> None:
    """Let every open connection between routers go silent for good."""
    loaded.fleet.silence_peers()


@fault("engine silent")
def silence_engine(loaded: LoadedFleet, chance: random.Random) -> None:
    """Let some of an engine's connections go silent after some bytes."""
    address = _endpoint(loaded, chance, "model")["address"]
    silent = {"kind": "silent_after", "value": chance.randint(0, 3_000), "times": 4}
    loaded.fleet.set_faults(address, [{**silent, "path": "/v1/completions"}])


@fault("engine killed")
def kill_engine(loaded: LoadedFleet, chance: random.Random) -> None:
    """Kill an engine and start it again, with nothing kept."""
    name = _endpoint(loaded, chance, "model")["endpoint"]
    loaded.fleet.processes.signal(name, signal.SIGKILL)
    loaded.fleet.processes.wait(name)
    time.sleep(chance.uniform(0.1, 1.0))
    loaded.fleet.restart_endpoint(name)


@fault("engine paused")
def pause_engine(loaded: LoadedFleet, chance: random.Random) -> None:
    """Stop an engine's process for a while."""
    name = _endpoint(loaded, chance, "model")["endpoint"]
    loaded.fleet.processes.signal(name, signal.SIGSTOP)
    time.sleep(chance.uniform(0.3, 3.0))
    loaded.fleet.processes.signal(name, signal.SIGCONT)


@fault("answers lost")
def lose_answers(loaded: LoadedFleet, chance: random.Random) -> None:
    """Lose the answers of plain calls after they ran."""
    address = _endpoint(loaded, chance, "plain")["address"]
    lost = {"kind": "answer_lost", "times": 3, "path": "/tank-orders"}
    loaded.fleet.set_faults(address, [lost])


@fault("service crash")
def crash_service(loaded: LoadedFleet, chance: random.Random) -> None:
    """Let a plain service die before or after it has run a call."""
    endpoint = _endpoint(loaded, chance, "plain")
    crash = {"kind": "crash", "value": chance.randint(0, 1), "times": 1, "path": "/tank-orders"}
    loaded.fleet.set_faults(endpoint["address"], [crash])
    deadline = time.monotonic() + 3.0
    while loaded.fleet.processes.running(endpoint["endpoint"]) and time.monotonic() < deadline:
        time.sleep(0.05)
    if not loaded.fleet.processes.running(endpoint["endpoint"]):
        loaded.fleet.restart_endpoint(endpoint["endpoint"])


@fault("store down")
def store_down(loaded: LoadedFleet, chance: random.Random) -> None:
    """Take the platform's store away for a while."""
    address = loaded.fleet.platform["address"]
    loaded.fleet.set_faults(address, [{"kind": "down", "path": "/tables"}])
    time.sleep(chance.uniform(0.5, 5.0))
    loaded.fleet.set_faults(address, [])


@fault("store slow")
def store_slow(loaded: LoadedFleet, chance: random.Random) -> None:
    """Slow the platform's store."""
    address = loaded.fleet.platform["address"]
    loaded.fleet.set_faults(address, [{"kind": "slow", "value": 800, "times": 30}])


@fault("endpoint drained")
def drain_endpoint(loaded: LoadedFleet, chance: random.Random) -> None:
    """Drain an endpoint and let it work again."""
    name = _endpoint(loaded, chance, "model")["endpoint"]
    admin = loaded.fleet.admin()
    admin.call("PUT", f"drain/{name}")
    time.sleep(0.5)
    admin.call("DELETE", f"drain/{name}")


def soak_plans(deployment: Deployment) -> list[CallerPlan]:
    """Every workspace asks; a few ask much."""
    return [
        CallerPlan(name, 8 if name in deployment.large else 2, 0.02, 0.4, 0.3, (5, 150))
        for name in deployment.workspaces
    ]


def run_soak(options: Options, seconds: float, most_faults: int = 1_000_000) -> Reading:
    """Disturb a loaded fleet for some seconds or a number of faults, then judge it."""
    print(f"soak seed {options.seed}", flush=True)
    chance = random.Random(options.seed)
    happened: Counter[str] = Counter()
    failed: list[str] = []
    plans = soak_plans(DEPLOYMENTS[options.deployment])
    settings = {"TAMARACK_STREAM_SILENCE_MS": "600"}
    with loaded_fleet(options, plans, settings=settings, deadline_s=20.0, forward=True) as loaded:
        end = time.monotonic() + seconds
        while time.monotonic() < end and happened.total() < most_faults:
            name = chance.choice(sorted(FAULTS))
            happened[name] += 1
            try:
                FAULTS[name](loaded, chance)
            except Exception as error:
                failed.append(f"{name}: {error!r}")
            threading.Event().wait(chance.uniform(*PAUSE_BETWEEN_S))
        for endpoint in loaded.fleet.endpoints:
            loaded.fleet.set_faults(endpoint["address"], [])
        time.sleep(SETTLE_S)
        account = settle(loaded)
    verdict = judge(account.results, account.all_runs)
    for run in doubled_runs(account.all_runs):
        print(f"doubled: {run}", flush=True)
    for line in failed:
        print(f"fault not carried out: {line}", flush=True)
    total = len(account.results)
    figures = {
        "requests": float(total),
        "faults": float(sum(happened.values())),
        "faults_not_carried_out": float(len(failed)),
        "answered": float(verdict.answered),
        "refused": float(verdict.refused),
        "unknown_per_thousand": verdict.unknown / max(1, total) * 1000,
        "lost": float(verdict.lost),
        "doubled": float(verdict.doubled),
        "mixed": float(verdict.mixed),
        "false_refusals": float(verdict.false_refusals),
    }
    causes = Counter(r.code for r in account.results if r.outcome == "unknown")
    figures.update({f"unknown_{code}": float(n) for code, n in causes.items()})
    refusals = Counter(r.code for r in account.results if r.outcome == "not-run")
    figures.update({f"refused_{code}": float(n) for code, n in refusals.items()})
    figures.update({f"fault_{name.replace(' ', '_')}": float(n) for name, n in happened.items()})
    return Reading("soak", figures)


@scenario("soak", "random faults from a seed under load", standard=False)
def soak(options: Options) -> Reading:
    """Soak for the minutes that the options say."""
    return run_soak(options, options.minutes * 60)


@scenario("soak-short", "forty seconds of the soak")
def soak_short(options: Options) -> Reading:
    """Soak for a short time."""
    reading = run_soak(options, 40.0)
    return reading._replace(scenario="soak-short")
