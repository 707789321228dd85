"""Scenarios of the request path: latency added by a router, and the cost of control."""

from __future__ import annotations

import os
import time
from pathlib import Path
from typing import NamedTuple

from tamarack_bench.fleet_run import finish_load, loaded_fleet
from tamarack_bench.load import CallerPlan
from tamarack_bench.scenarios import Options, Reading, percentile, scenario
from tamarack_bench.stream_client import StreamTimes, run_streams
from tamarack_standins.deployments import DEPLOYMENTS, Deployment, ServiceShape
from tamarack_standins.fleet import Fleet
from tamarack_standins.processes import read_line

STREAMS = 64
BURST = 200
TOKENS = 100
STEP_MS = 27.0
QUICK_STEP_MS = 1.0
ROUNDS = 3
REQUESTS_PER_S = 20.0
CONTROL_ROUTERS = 6
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

RELAY_DEPLOYMENT = Deployment(
    "relay",
    ["a"],
    [
        ServiceShape("model", "model", 4, 64, STEP_MS, "m"),
        ServiceShape("plain", "plain", 1, 4, 1.0),
    ],
    ["one", "two"],
    ["one"],
)


def cpu_seconds(pid: int) -> float:
    """Processor time that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def _first(times: list[StreamTimes]) -> list[float]:
    return [t.first_ms for t in times]


def _gaps(times: list[StreamTimes]) -> list[float]:
    return [gap for t in times for gap in t.gaps_ms]


class _Path(NamedTuple):
    """One path to the engines: addresses, and the pid of the relaying process, 0 for none."""

    name: str
    addresses: list[str]
    pid: int


def _paths(fleet: Fleet) -> list[_Path]:
    engines = [e["address"] for e in fleet.endpoints if e["kind"] == "model"]
    targets = [part for address in engines for part in ("--target", address)]
    child = fleet.processes.start("naive", "tamarack_bench.naive_relay", targets, output=True)
    router = next(iter(fleet.routers.values()))
    return [
        _Path("direct", engines, 0),
        _Path("router", [router.address], router.pid),
        _Path("naive", [read_line(child)["address"]], child.pid),
    ]


def _first_bytes(options: Options) -> dict[str, float]:
    """Added time to the first byte; engines step every millisecond, which limits rounding."""
    quick = RELAY_DEPLOYMENT._replace(
        services=[s._replace(step_ms=QUICK_STEP_MS) for s in RELAY_DEPLOYMENT.services]
    )
    firsts: dict[tuple[str, int], list[float]] = {}
    with Fleet(quick, 1, log_dir=options.log_dir) as fleet:
        key = fleet.keys["one"]
        for path in _paths(fleet):
            run_streams(path.addresses, key, "m", streams=4, tokens=3)
            for streams in (1, STREAMS, BURST):
                times = firsts.setdefault((path.name, streams), [])
                for _ in range(BURST // streams if streams == 1 else ROUNDS):
                    times += _first(
                        run_streams(path.addresses, key, "m", streams=streams, tokens=2)
                    )
    figures = {}
    for (name, streams), times in firsts.items():
        if name == "direct":
            continue
        label = "" if name == "router" else "_naive"
        for part, percent in ((0.5, "p50"), (0.95, "p95")):
            direct = percentile(firsts[("direct", streams)], part)
            figures[f"added_ttft{label}_ms_{percent}_of_{streams}"] = (
                percentile(times, part) - direct
            )
    figures["added_ttft_ms"] = figures[f"added_ttft_ms_p50_of_{STREAMS}"]
    return figures


@scenario("direct-vs-router", "latency that a router adds to streams, compared with a naive relay")
def direct_vs_router(options: Options) -> Reading:
    """Read the same streams directly, through a router and through a thread for each stream."""
    figures = _first_bytes(options)
    gaps: dict[str, list[float]] = {}
    cpu: dict[str, float] = {}
    with Fleet(RELAY_DEPLOYMENT, 1, log_dir=options.log_dir) as fleet:
        key = fleet.keys["one"]
        for path in _paths(fleet):
            run_streams(path.addresses, key, "m", streams=4, tokens=3)
            before = cpu_seconds(path.pid) if path.pid else 0.0
            tokens = 0
            for _ in range(ROUNDS):
                times = run_streams(path.addresses, key, "m", streams=STREAMS, tokens=TOKENS)
                gaps.setdefault(path.name, []).extend(_gaps(times))
                tokens += sum(t.tokens for t in times)
            if path.pid:
                cpu[path.name] = (cpu_seconds(path.pid) - before) / tokens * 1e6
    for part, name in ((0.5, "p50"), (0.95, "p95")):
        direct = percentile(gaps["direct"], part)
        figures[f"added_gap_ms_{name}"] = percentile(gaps["router"], part) - direct
    figures["cpu_us_per_token"] = cpu["router"]
    figures["cpu_us_per_token_naive"] = cpu["naive"]
    figures["cpu_ratio_to_naive"] = cpu["router"] / cpu["naive"]
    figures["tokens_per_s"] = 1e6 / cpu["router"]
    return Reading("direct-vs-router", figures)


@scenario("control", "control bytes and messages per request, and per router and second")
def control(options: Options) -> Reading:
    """Count the bytes and messages that routers send each other under load."""
    deployment = DEPLOYMENTS[options.deployment]
    plans = [CallerPlan(name, 4, 0.05) for name in deployment.workspaces]
    with loaded_fleet(options, plans, routers=CONTROL_ROUTERS) as loaded:
        routers = list(loaded.fleet.routers.values())
        before = [_counts(loaded.fleet, r.metrics) for r in routers]
        cpu_before = [cpu_seconds(r.pid) for r in routers]
        started = time.monotonic()
        time.sleep(options.seconds)
        after = [_counts(loaded.fleet, r.metrics) for r in routers]
        elapsed = time.monotonic() - started
        cpu = sum(cpu_seconds(r.pid) for r in routers) - sum(cpu_before)
        finish_load(loaded)
    total = {
        name: sum(a.get(name, 0.0) - b.get(name, 0.0) for a, b in zip(after, before, strict=True))
        for name in after[0]
    }
    requests = total["held"]
    per_router = requests / elapsed / len(routers)
    figures = {
        "requests_per_router_per_s": per_router,
        "bytes_per_request": total["peer_bytes_out"] / requests,
        "messages_per_request": total["peer_messages_out"] / requests,
        "bytes_per_router_per_s": total["peer_bytes_out"] / elapsed / len(routers),
        "router_cpu_ms_per_request": cpu / requests * 1000,
    }
    figures["bytes_per_router_per_s_at_20_requests"] = figures["bytes_per_request"] * REQUESTS_PER_S
    return Reading("control", figures)


def _counts(fleet: Fleet, metrics: str) -> dict[str, float]:
    counts: dict[str, float] = {}
    for part in fleet.get_json(metrics, "/state")["counts"].values():
        counts.update({name: float(value) for name, value in part.items()})
    return counts
