"""Scenarios of fair shares and full capacity, on real routers."""

from __future__ import annotations

import signal
import time

from tamarack_bench.accounts import Window, served_in
from tamarack_bench.fleet_run import (
    LoadSummary,
    backlogged_of,
    finish_load,
    loaded_fleet,
    mixed_plans,
    model_slots,
    now_ms,
    sleep_window,
)
from tamarack_bench.gaps import Gap, cost_of
from tamarack_bench.load import CallerPlan, Result
from tamarack_bench.scenarios import Options, Reading, percentile, scenario
from tamarack_standins.deployments import DEPLOYMENTS

RECOVERY_S = 5.0
PAUSE_S = 4.0
FLOOD_CALLERS = 60


def _run_policy(options: Options, policy: str) -> tuple[LoadSummary, Window]:
    settings = {"TAMARACK_POLICY": policy}
    plans = mixed_plans(DEPLOYMENTS[options.deployment], flood=20)
    large = backlogged_of(DEPLOYMENTS[options.deployment])
    # Uneven placement: two of the large workspaces at one router, and some routers with none.
    pinned = {name: [max(0, number - 1)] for number, name in enumerate(large)}
    with loaded_fleet(options, plans, settings=settings, pinned=pinned) as loaded:
        window = sleep_window(options.seconds)
        return finish_load(loaded), window


def _bound(summary: LoadSummary, window: Window, gap: Gap) -> float:
    """Two of the largest requests, plus what a workspace is served in the mean time of one run."""
    large = set(backlogged_of(summary.deployment))
    runs = [
        run
        for run in summary.runs
        if run["workspace"] in large and window.start_ms <= run["finished"] <= window.end_ms
    ]
    run_ms = sum(run["finished"] - run["started"] for run in runs) / len(runs)
    per_ms = sum(cost_of(run) for run in runs) / window.length_ms / len(large)
    return 2 * gap.largest_request + run_ms * per_ms


@scenario("fairness", "fairness gap and utilisation, compared with the baselines fcfs and local")
def fairness(options: Options) -> Reading:
    """Run the same load under each order of service."""
    figures: dict[str, float] = {}
    series = {}
    for policy in ("fair", "fcfs", "local"):
        summary, window = _run_policy(options, policy)
        gap = summary.gap(window)
        figures[f"gap_{policy}"] = gap.largest
        figures[f"utilisation_{policy}"] = summary.utilisation(window)
        series[f"gap, {policy}"] = gap.points
        if policy == "fair":
            figures["largest_request"] = gap.largest_request
            figures["bound"] = _bound(summary, window, gap)
    figures["gap_to_bound"] = figures["gap_fair"] / figures["bound"]
    figures["gap_to_largest_request"] = figures["gap_fair"] / figures["largest_request"]
    figures["gap_to_local"] = figures["gap_fair"] / max(1.0, figures["gap_local"])
    figures["gap_to_fcfs"] = figures["gap_fair"] / max(1.0, figures["gap_fcfs"])
    return Reading("fairness", figures, series)


def _after(summary: LoadSummary, event_ms: float, length_s: float) -> dict[str, float]:
    """Figures of the time since a failure, and of the time since recovery from it."""
    whole = Window(event_ms, event_ms + (RECOVERY_S + length_s) * 1000)
    later = Window(event_ms + RECOVERY_S * 1000, whole.end_ms)
    gap = summary.gap(later)
    return {
        "utilisation": summary.utilisation(whole),
        "idle_ms_per_slot": summary.idle_ms(whole),
        "utilisation_after_recovery": summary.utilisation(later),
        "gap_through": summary.gap(whole).largest,
        "gap_after_recovery": gap.largest,
        "gap_after_recovery_to_largest_request": gap.largest / max(1.0, gap.largest_request),
        "unknown": float(sum(1 for r in summary.results if r.outcome == "unknown")),
        "cut_or_mixed": float(sum(1 for r in summary.results if r.outcome in ("cut", "mixed"))),
    }


@scenario("kill-dispatcher", "a dispatcher is killed under load")
def kill_dispatcher(options: Options) -> Reading:
    """Kill the router that dispatches the model's shard."""
    with loaded_fleet(options) as loaded:
        loaded.fleet.processes.signal(loaded.dispatcher(), signal.SIGKILL)
        event_ms = now_ms()
        time.sleep(RECOVERY_S + options.seconds)
        summary = finish_load(loaded)
    return Reading("kill-dispatcher", _after(summary, event_ms, options.seconds))


@scenario("pause-dispatcher", "a dispatcher is suspended beyond its term and resumed")
def pause_dispatcher(options: Options) -> Reading:
    """Suspend the dispatcher's process for longer than every timeout, then resume it."""
    with loaded_fleet(options) as loaded:
        name = loaded.dispatcher()
        loaded.fleet.processes.signal(name, signal.SIGSTOP)
        event_ms = now_ms()
        time.sleep(PAUSE_S)
        loaded.fleet.processes.signal(name, signal.SIGCONT)
        time.sleep(max(0.0, RECOVERY_S + options.seconds - PAUSE_S))
        summary = finish_load(loaded)
    return Reading("pause-dispatcher", _after(summary, event_ms, options.seconds))


def _waits(results: list[Result], workspace: str) -> list[float]:
    return [
        r.first_s - r.started_s
        for r in results
        if r.workspace == workspace and r.kind == "stream" and r.outcome == "answered"
    ]


@scenario("flood", "a small workspace's wait during another's flood, relative to its wait alone")
def flood(options: Options) -> Reading:
    """Measure a small workspace's streams alone, then during a flood."""
    deployment = DEPLOYMENTS[options.deployment]
    small = deployment.workspaces[-1]
    # Requests run for up to half a second here, so a slot becomes free within that time.
    small_plan = CallerPlan(small, 2, 0.1, stream_part=1.0)
    others = [CallerPlan(n, 8) for n in backlogged_of(deployment)[1:]]
    flooded_plans = [small_plan, *others, CallerPlan(deployment.workspaces[0], FLOOD_CALLERS)]
    contended_plans = [small_plan, *others, CallerPlan(deployment.workspaces[0], 8)]
    figures: dict[str, float] = {}
    for name, plans in (
        ("alone", [small_plan]),
        ("contended", contended_plans),
        ("flooded", flooded_plans),
    ):
        with loaded_fleet(options, plans) as loaded:
            sleep_window(options.seconds)
            summary = finish_load(loaded)
        waits = _waits(summary.results, small)
        figures[f"p50_wait_{name}_ms"] = percentile(waits, 0.5) * 1000
        figures[f"p95_wait_{name}_ms"] = percentile(waits, 0.95) * 1000
    figures["p95_ratio_to_alone"] = figures["p95_wait_flooded_ms"] / figures["p95_wait_alone_ms"]
    figures["p95_ratio_to_contended"] = (
        figures["p95_wait_flooded_ms"] / figures["p95_wait_contended_ms"]
    )
    return Reading("flood", figures)


@scenario("uneven", "all large workspaces on one router, compared with an even spread")
def uneven(options: Options) -> Reading:
    """Compare shares and utilisation of the two spreads."""
    deployment = DEPLOYMENTS[options.deployment]
    large = backlogged_of(deployment)
    figures: dict[str, float] = {}
    shares: dict[str, dict[str, float]] = {}
    for spread, pinned in (
        ("even", {name: [index] for index, name in enumerate(large)}),
        ("uneven", {name: [0] for name in large}),
    ):
        with loaded_fleet(options, pinned=pinned) as loaded:
            window = sleep_window(options.seconds)
            summary = finish_load(loaded)
        figures[f"utilisation_{spread}"] = summary.utilisation(window)
        figures[f"gap_{spread}"] = summary.gap(window).largest
        served = served_in(summary.runs, window)
        total = sum(served[name] for name in large)
        shares[spread] = {name: served[name] / total for name in large}
    figures["utilisation_ratio"] = figures["utilisation_uneven"] / figures["utilisation_even"]
    figures["largest_share_change"] = max(
        abs(shares["uneven"][name] / shares["even"][name] - 1.0) for name in large
    )
    return Reading("uneven", figures)


@scenario("shards", "several shards of a service, compared with one")
def shards(options: Options) -> Reading:
    """Run the same load with one shard and with shards of three endpoints."""
    figures: dict[str, float] = {}
    for name, size in (("one", 64), ("several", 3)):
        settings = {"TAMARACK_SHARD_SIZE": str(size), "TAMARACK_EXCHANGE_MS": "500"}
        with loaded_fleet(options, settings=settings) as loaded:
            window = sleep_window(options.seconds)
            summary = finish_load(loaded)
        figures[f"utilisation_{name}"] = summary.utilisation(window)
        figures[f"gap_{name}"] = summary.gap(window).largest
    figures["slots"] = float(model_slots(DEPLOYMENTS[options.deployment]))
    return Reading("shards", figures)
