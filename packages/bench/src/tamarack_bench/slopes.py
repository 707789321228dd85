"""Slopes: the cost of each role by size, as fitted lines with residuals."""

from __future__ import annotations

import asyncio
import json
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import aiohttp

from tamarack_bench.core_bench import measure_decisions
from tamarack_bench.member_bench import measure_member_cpu, measure_membership
from tamarack_bench.path_scenarios import RELAY_DEPLOYMENT, cpu_seconds
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_bench.stream_client import run_streams
from tamarack_client.http_pool import HttpPool
from tamarack_core.claim_messages import Claim
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change, EntryPut, hash_key
from tamarack_core.dispatch_messages import ShardKey, Ticket
from tamarack_core.dispatch_policy import DispatchPolicy
from tamarack_core.dispatcher import Dispatcher
from tamarack_core.key_owner import KeyOwner
from tamarack_standins.deployments import Deployment
from tamarack_standins.fleet import Fleet

IDLE_S = 5.0
RATE_S = 5.0
STREAM_TOKENS = 150


class Slope(NamedTuple):
    """A fitted line: value = base + per_unit x size; `residual` is a point's largest distance."""

    name: str
    unit: str
    base: float
    per_unit: float
    residual: float
    points: list[tuple[float, float]]


def fit(name: str, unit: str, points: list[tuple[float, float]]) -> Slope:
    """Fit a line by least squares."""
    sizes = [size for size, _ in points]
    values = [value for _, value in points]
    line = statistics.linear_regression(sizes, values)
    residual = max(abs(v - line.intercept - line.slope * s) for s, v in points)
    return Slope(name, unit, line.intercept, line.slope, residual, points)


def resident_mb(pid: int) -> float:
    """Resident memory of a process in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def _threads(fleet: Fleet) -> dict[str, float]:
    router = next(iter(fleet.routers.values()))
    seconds: dict[str, float] = fleet.get_json(router.metrics, "/state")["thread_seconds"]
    return seconds


def _relay_slopes() -> list[Slope]:
    """Relay: processor time by tokens per second, memory by streams."""
    cpu: list[tuple[float, float]] = []
    memory: list[tuple[float, float]] = []
    with Fleet(RELAY_DEPLOYMENT, 1, settings={"TAMARACK_SHARE_ALPHA": "100"}) as fleet:
        router = next(iter(fleet.routers.values()))
        key = fleet.keys["one"]
        run_streams([router.address], key, "m", streams=8, tokens=5)
        for streams in (8, 32, 64, 128, 200):
            before, started = _threads(fleet)["relay"], time.monotonic()
            times = run_streams([router.address], key, "m", streams=streams, tokens=STREAM_TOKENS)
            elapsed = time.monotonic() - started
            tokens = sum(t.tokens for t in times)
            cpu.append((tokens / elapsed, (_threads(fleet)["relay"] - before) / elapsed * 100))
            memory.append((streams, resident_mb(router.pid)))
    return [
        fit("relay_cpu_by_tokens_per_s", "percent of a core", cpu),
        fit("relay_memory_by_streams", "MB", memory),
    ]


def _dispatcher_slopes() -> list[Slope]:
    """Dispatcher core: time per decision by workspaces and by endpoints, memory by tickets."""
    by_workspaces = [
        (float(n), measure_decisions(n, 64, rounds=8_000).microseconds)
        for n in (16, 170, 680, 2_000, 6_800)
    ]
    by_endpoints = [
        (float(n), measure_decisions(680, n, rounds=8_000).microseconds)
        for n in (8, 64, 333, 1_333)
    ]
    return [
        fit("decision_us_by_workspaces", "microseconds", by_workspaces),
        fit("decision_us_by_endpoints", "microseconds", by_endpoints),
        fit("dispatcher_bytes_by_tickets", "bytes", _memory(_waiting_tickets)),
    ]


def _memory(build: Callable[[int], object]) -> list[tuple[float, float]]:
    points = []
    for size in (2_000, 5_000, 10_000, 20_000):
        tracemalloc.start()
        built = build(size)
        points.append((float(size), float(tracemalloc.get_traced_memory()[0])))
        tracemalloc.stop()
        del built
    return points


def _waiting_tickets(count: int) -> Dispatcher:
    policy = DispatchPolicy(queue_limit=10**9)
    dispatcher = Dispatcher(ShardKey("m", 0), 1, policy, 0.0)
    for number in range(count):
        ticket = Ticket(f"r{number % 1600}~1700000000000~{number}", f"w{number % 680}")
        dispatcher.submit(f"r{number % 1600}", [ticket], 0.0)
    return dispatcher


def _claimed_keys(count: int) -> KeyOwner:
    key_owner = KeyOwner("r1", 1, 0.0)
    token = key_owner.token(0.0).text
    for number in range(count):
        claim = Claim(
            f"{token}.{number:016x}", f"w{number % 680}", "0" * 16, f"r2~1700000000000~{number}"
        )
        key_owner.claim(claim, 0.0)
    return key_owner


def _key_owner_slopes() -> list[Slope]:
    """Key owner: time and memory by the number of keys."""
    times = []
    for size in (2_000, 5_000, 10_000, 20_000):
        started = time.perf_counter()
        _claimed_keys(size)
        times.append((float(size), (time.perf_counter() - started) * 1e6))
    return [
        fit("keeper_us_by_claims", "microseconds in all", times),
        fit("keeper_bytes_by_keys", "bytes", _memory(_claimed_keys)),
    ]


def big_configuration(workspaces: int, endpoints: int) -> Configuration:
    """A configuration of nine services with the given numbers of entries."""
    puts = [EntryPut("preset", "p", {})]
    for number in range(9):
        body = {"kind": "model", "model": f"model-{number}"}
        puts.append(EntryPut("service", f"s{number}", body))
    for number in range(workspaces):
        digest = hash_key(str(number))
        puts.append(EntryPut("workspace", f"w{number}", {"key_hashes": [digest]}))
    for number in range(endpoints):
        body = {
            "service": f"s{number % 9}",
            "address": f"127.0.0.1:{number % 60_000}",
            "failure_domain": f"d{number % 12}",
        }
        puts.append(EntryPut("endpoint", f"e{number}", body))
    return Configuration().apply(Change(1, "c", "bench", 0, puts, [], "p"))


def _config_slopes() -> list[Slope]:
    """Configuration follower: time per change by entries, for two kinds of change."""
    workspace_points = []
    endpoint_points = []
    for workspaces, endpoints in ((100, 150), (1_000, 1_500), (3_400, 6_000), (6_800, 12_000)):
        config = big_configuration(workspaces, endpoints)
        size = float(workspaces + endpoints)
        body = dict(config.entries("endpoint")["e0"])
        put = EntryPut("workspace", "w0", {"key_hashes": []})
        workspace_points.append((size, _change_ms(config, put)))
        endpoint_points.append((size, _change_ms(config, EntryPut("endpoint", "e0", body))))
    return [
        fit("workspace_change_ms_by_entries", "ms", workspace_points),
        fit("endpoint_change_ms_by_entries", "ms", endpoint_points),
    ]


def _change_ms(config: Configuration, put: EntryPut) -> float:
    rounds = 10
    for service in range(9):
        config.shard_endpoints(ShardKey(f"s{service}", 0))
    started = time.perf_counter()
    for number in range(rounds):
        version = config.version + 1
        config = config.apply(Change(version, str(number), "bench", 0, [put], [], "p"))
        for service in range(9):
            config.shard_endpoints(ShardKey(f"s{service}", 0))
    return (time.perf_counter() - started) / rounds * 1000


def _member_slopes() -> list[Slope]:
    """Membership: bytes and processor time of one router by fleet size, on the core alone."""
    sizes = (8, 16, 32, 64)
    return [
        fit("member_bytes_per_s_by_routers", "B/s", [(n, measure_membership(n)) for n in sizes]),
        fit("member_us_per_s_by_routers", "us/s", [(n, measure_member_cpu(n)) for n in sizes]),
    ]


def _idle_slopes() -> list[Slope]:
    """Idle routers as processes: processor time, bytes and memory by fleet size."""
    cpu, sent, memory = [], [], []
    small = Deployment("idle", ["a", "b", "c"], RELAY_DEPLOYMENT.services, ["one"], ["one"])
    for routers in (4, 16, 32, 64):
        with Fleet(small, routers) as fleet:
            time.sleep(IDLE_S)
            members = list(fleet.routers.values())
            cpu_before = sum(cpu_seconds(r.pid) for r in members)
            before = sum(_bytes_sent(fleet, r.metrics) for r in members)
            started = time.monotonic()
            time.sleep(IDLE_S)
            elapsed = time.monotonic() - started
            used = sum(cpu_seconds(r.pid) for r in members) - cpu_before
            bytes_out = sum(_bytes_sent(fleet, r.metrics) for r in members) - before
            cpu.append((float(routers), used / elapsed / routers * 100))
            sent.append((float(routers), bytes_out / elapsed / routers))
            memory.append((float(routers), statistics.mean(resident_mb(r.pid) for r in members)))
    return [
        fit("idle_cpu_by_routers", "percent of a core", cpu),
        fit("idle_bytes_per_s_by_routers", "B/s", sent),
        fit("idle_memory_by_routers", "MB", memory),
    ]


def _bytes_sent(fleet: Fleet, metrics: str) -> float:
    counts = fleet.get_json(metrics, "/state")["counts"]["control"]
    return float(counts.get("peer_bytes_out", 0))


async def _send_at_rate(
    addresses: list[str], key: str, token: str, rate: float, seconds: float
) -> int:
    """Send requests with idempotency keys at a rate per router; return how many were answered."""
    connector = aiohttp.TCPConnector(limit=0)
    answered = 0
    async with aiohttp.ClientSession(connector=connector) as session:

        async def send_request(address: str, number: int) -> None:
            nonlocal answered
            headers = {
                "Authorization": f"Bearer {key}",
                "Idempotency-Key": f"{token}.{rate}x{number}",
                "Tamarack-Attempt": "1",
            }
            body = {"model": "m", "prompt": "p", "standin_tokens": 3}
            url = f"http://{address}/v1/completions"
            async with session.post(url, json=body, headers=headers) as response:
                await response.read()
                answered += response.status == 200

        tasks = []
        started = time.monotonic()
        for number in range(int(rate * len(addresses) * seconds)):
            due = started + number / (rate * len(addresses))
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            tasks.append(
                asyncio.ensure_future(send_request(addresses[number % len(addresses)], number))
            )
        await asyncio.gather(*tasks)
    return answered


def _request_slopes() -> list[Slope]:
    """Requests: processor time of control and of the whole router, and bytes, by request rate."""
    control, whole, sent = [], [], []
    quick = RELAY_DEPLOYMENT._replace(
        services=[s._replace(step_ms=3.0) for s in RELAY_DEPLOYMENT.services]
    )
    with Fleet(quick, 4) as fleet:
        key = fleet.keys["one"]
        url = f"http://{fleet.addresses[0]}/v1/addresses"
        answer = HttpPool().request("GET", url, headers={"Authorization": f"Bearer {key}"})
        token = json.loads(answer.data)["keeper_token"]
        routers = list(fleet.routers.values())
        for rate in (5.0, 10.0, 20.0, 40.0, 80.0):
            before = [fleet.get_json(r.metrics, "/state") for r in routers]
            asyncio.run(_send_at_rate(fleet.addresses, key, token, rate, RATE_S))
            after = [fleet.get_json(r.metrics, "/state") for r in routers]
            changes = list(zip(after, before, strict=True))
            per_router = RATE_S * len(routers)
            used = sum(
                a["thread_seconds"]["control"] - b["thread_seconds"]["control"] for a, b in changes
            )
            total = sum(
                sum(a["thread_seconds"].values()) - sum(b["thread_seconds"].values())
                for a, b in changes
            )
            out = sum(
                a["counts"]["control"].get("peer_bytes_out", 0)
                - b["counts"]["control"].get("peer_bytes_out", 0)
                for a, b in changes
            )
            control.append((rate, used / per_router * 100))
            whole.append((rate, total / per_router * 100))
            sent.append((rate, out / per_router))
    return [
        fit("control_cpu_by_requests_per_s", "percent of a core", control),
        fit("router_cpu_by_requests_per_s", "percent of a core", whole),
        fit("control_bytes_per_s_by_requests_per_s", "B/s", sent),
    ]


def measure_slopes() -> list[Slope]:
    """Measure the slopes of every role."""
    return [
        *_dispatcher_slopes(),
        *_key_owner_slopes(),
        *_config_slopes(),
        *_member_slopes(),
        *_request_slopes(),
        *_relay_slopes(),
        *_idle_slopes(),
    ]


@scenario("slopes", "what each role costs by size, for docs/CAPACITY.md", standard=False)
def slopes(options: Options) -> Reading:
    """Measure the slopes; the figures are base, slope and residual of each."""
    figures: dict[str, float] = {}
    series = {}
    for slope in measure_slopes():
        figures[f"{slope.name}.base"] = slope.base
        figures[f"{slope.name}.per_unit"] = slope.per_unit
        figures[f"{slope.name}.residual"] = slope.residual
        series[f"{slope.name} ({slope.unit})"] = slope.points
    return Reading("slopes", figures, series)
