"""Scenarios of configuration: time until a change is in force, and concurrent changes."""

from __future__ import annotations

import random
import signal
import threading
import time
from typing import Any, NamedTuple

from tamarack_bench.fleet_run import now_ms
from tamarack_bench.path_scenarios import cpu_seconds
from tamarack_bench.scenarios import Options, Reading, percentile, scenario
from tamarack_client import AdminError
from tamarack_standins.deployments import DEPLOYMENTS
from tamarack_standins.fleet import Fleet

CHANGES = 30
SLOW_MS = 1_500.0
STORM_CHANGES = 250
OPERATORS = 4
IN_FORCE_TIMEOUT_S = 30.0


def _applied(fleet: Fleet, version: int) -> list[float]:
    """Times at which routers put a version in force, waiting for all of them."""
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    waiting = dict(fleet.routers)
    times = []
    while waiting and time.monotonic() < deadline:
        for name, router in list(waiting.items()):
            applied = fleet.get_json(router.metrics, "/state")["applied"]
            # A router that applied several changes at once reports only the last of them.
            later = [at for number, at in applied.items() if int(number) >= version]
            if later:
                times.append(min(later))
                del waiting[name]
        time.sleep(0.02)
    return times + [float("inf")] * len(waiting)


def _time_changes(fleet: Fleet, count: int) -> list[float]:
    admin = fleet.admin()
    waits = []
    for number in range(count):
        body = {"weights": {fleet.deployment.large[0]: 1.0 + number % 7}}
        version = admin.change([{"kind": "preset", "name": "peak", "body": body}])
        accepted = now_ms()
        waits += [max(0.0, at - accepted) for at in _applied(fleet, version)]
    return waits


def _store_counts(fleet: Fleet) -> dict[str, Any]:
    counts: dict[str, Any] = fleet.get_json(fleet.platform["address"], "/standin/table-counts")
    return counts


@scenario("in-force", "time from acceptance until in force on every router")
def in_force(options: Options) -> Reading:
    """Measure with 8 and 32 routers, and with a slow store."""
    figures: dict[str, float] = {}
    for routers in (8, 32):
        with Fleet(DEPLOYMENTS[options.deployment], routers, log_dir=options.log_dir) as fleet:
            before = _store_counts(fleet)
            started = time.monotonic()
            waits = _time_changes(fleet, CHANGES)
            elapsed = time.monotonic() - started
            after = _store_counts(fleet)
            figures[f"p50_ms_{routers}_routers"] = percentile(waits, 0.5)
            figures[f"p99_ms_{routers}_routers"] = percentile(waits, 0.99)
            figures[f"store_reads_per_s_{routers}_routers"] = (
                after["reads"] - before["reads"]
            ) / elapsed
            figures[f"store_writes_per_change_{routers}_routers"] = (
                after["writes"] - before["writes"]
            ) / CHANGES
            if routers == 8:
                fault = {"kind": "slow", "value": SLOW_MS, "path": "/tables"}
                fleet.set_faults(fleet.platform["address"], [fault])
                figures["p99_ms_slow_store"] = percentile(_time_changes(fleet, 3), 0.99)
    return Reading("in-force", figures)


class _Storm(NamedTuple):
    """Outcomes of the changes of concurrent operators."""

    accepted: dict[str, int]
    refused: list[str]
    unknown: list[str]


def _operator(fleet: Fleet, name: str, count: int, storm: _Storm, lock: threading.Lock) -> None:
    done = 0
    while done < count:
        entry = f"{name}-{done}"
        put = {"kind": "workspace", "name": entry, "body": {"key_hashes": []}}
        try:
            version = fleet.admin(name).change([put])
            with lock:
                storm.accepted[entry] = version
            done += 1
        except AdminError as error:
            with lock:
                if error.code == "unknown" or "not known" in str(error):
                    storm.unknown.append(entry)
                    done += 1
                else:
                    storm.refused.append(entry)


def _inject_faults(fleet: Fleet, rng: random.Random, stop: threading.Event) -> None:
    faults: list[list[dict[str, Any]]] = [
        [{"kind": "answer_lost", "times": 3, "path": "/transact"}],
        [{"kind": "slow", "value": 200, "times": 20, "path": "/"}],
        [{"kind": "reject", "times": 10, "path": "/tables"}],
        [{"kind": "down", "times": 15, "path": "/"}],
    ]
    names = list(fleet.routers)
    rounds = 0
    while not stop.wait(0.4):
        rounds += 1
        fleet.set_faults(fleet.platform["address"], rng.choice(faults))
        if rounds % 8 == 0:
            name = names[1 + rng.randrange(len(names) - 1)]
            domain = fleet.routers[name].failure_domain
            fleet.processes.signal(name, signal.SIGKILL)
            fleet.processes.wait(name)
            fleet.start_router(name, domain)
    fleet.set_faults(fleet.platform["address"], [])


@scenario("storm", "accepted changes lost or reverted under concurrent operators and faults")
def storm(options: Options) -> Reading:
    """Run four concurrent operators through store faults and router restarts."""
    outcomes = _Storm({}, [], [])
    lock = threading.Lock()
    stop = threading.Event()
    regressions: list[str] = []
    with Fleet(DEPLOYMENTS[options.deployment], 6, log_dir=options.log_dir) as fleet:
        watcher = threading.Thread(target=_watch_versions, args=(fleet, regressions, stop))
        fault_injector = threading.Thread(
            target=_inject_faults, args=(fleet, random.Random(options.seed), stop)
        )
        operators = [
            threading.Thread(
                target=_operator,
                args=(fleet, f"operator-{index}", STORM_CHANGES // OPERATORS, outcomes, lock),
            )
            for index in range(OPERATORS)
        ]
        started = time.monotonic()
        for thread in (watcher, fault_injector, *operators):
            thread.start()
        for thread in operators:
            thread.join()
        elapsed = time.monotonic() - started
        stop.set()
        watcher.join()
        fault_injector.join()
        fleet.wait_ready(list(fleet.routers))
        admin = fleet.admin()
        head = admin.call("GET", "preset")["version"]
        lagging = admin.wait_in_force(head, IN_FORCE_TIMEOUT_S).routers
        present = admin.call("GET", "workspaces")["entries"]
        versions = sorted(outcomes.accepted.values())
    figures = {
        "accepted": float(len(outcomes.accepted)),
        "accepted_per_s": len(outcomes.accepted) / elapsed,
        "raced_or_refused": float(len(outcomes.refused)),
        "told_unknown": float(len(outcomes.unknown)),
        "lost": float(sum(1 for entry in outcomes.accepted if entry not in present)),
        "versions_given_twice": float(len(versions) - len(set(versions))),
        "versions_fallen": float(len(regressions)),
        "lagging": float(len(lagging)),
    }
    return Reading("storm", figures)


def _watch_versions(fleet: Fleet, regressions: list[str], stop: threading.Event) -> None:
    """Record every router process whose version decreased."""
    seen: dict[int, int] = {}
    while not stop.wait(0.05):
        for router in list(fleet.routers.values()):
            try:
                version = int(fleet.get_json(router.metrics, "/state")["version"])
            except Exception:
                continue
            if version < seen.get(router.pid, 0):
                regressions.append(router.router)
            seen[router.pid] = version


@scenario("config-cost", "processor time of a router under continuous changes", standard=False)
def config_cost(options: Options) -> Reading:
    """Measure a router's processor time under continuous changes."""
    with Fleet(DEPLOYMENTS[options.deployment], 4, log_dir=options.log_dir) as fleet:
        routers = list(fleet.routers.values())
        before = sum(cpu_seconds(r.pid) for r in routers[1:])
        started = time.monotonic()
        _time_changes(fleet, 100)
        elapsed = time.monotonic() - started
        used = sum(cpu_seconds(r.pid) for r in routers[1:]) - before
    return Reading("config-cost", {"cpu_ms_per_router_per_s": used / 3 / elapsed * 1000})
