"""Scenarios of requests that crash endpoints: their cost, and the cost of the quarantine."""

from __future__ import annotations

import time

from tamarack_bench.quarantine_model import ModelOptions, ModelResult, QuarantineModel
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_core.crash_evidence import DECISION_DELAY_MS
from tamarack_core.fingerprint import fingerprint
from tamarack_core.quarantine import Quarantine
from tamarack_core.termination_evidence import InterruptedRequest, Termination

SEEDS = 5
CHECKS = 4_000
BODY = b"x" * 7_000
"""Body of about the mean length of the users' requests: 6,905 bytes, over 1,897 requests."""

SUSPECTS = (0, 10, 10_000)


@scenario(
    "quarantine-model", "crashed endpoints and unrelated requests quarantined, in a simulation"
)
def quarantine_model(options: Options) -> Reading:
    """Simulate two culprits with and without the quarantine, five culprits, and mass failures."""
    unprotected = _simulate(options, ModelOptions(), watching=False)
    two = _simulate(options, ModelOptions())
    five = _simulate(options, ModelOptions(culprits=5))
    mass = ModelOptions(culprits=0, failures_ms=(5e3, 8e3, 11e3, 14e3, 17e3), seconds=25.0)
    failures = _simulate(options, mass)
    figures = {
        "ends_without": _mean([result.ends for result in unprotected]),
        "ends_two_guilty": _mean([result.ends for result in two]),
        "ends_five_guilty": _mean([result.ends for result in five]),
        "cut_without": _mean([result.cut for result in unprotected]),
        "cut_two_guilty": _mean([result.cut for result in two]),
        "late_most": float(max(max(result.late_arrivals) for result in two + five)),
        "quarantined_innocents_two_guilty": _mean([result.quarantined for result in two]),
        "quarantined_innocents_five_guilty": _mean([result.quarantined for result in five]),
        "quarantined_innocents_mass_failures": _mean([result.quarantined for result in failures]),
    }
    return Reading("quarantine-model", figures)


@scenario("quarantine-blocks", "the same with culprits that are blocks of prompts")
def quarantine_blocks(options: Options) -> Reading:
    """Simulate one, two and five bad blocks, in a small fleet and in a large one."""
    large = ModelOptions(routers=195, engines=78, per_s=400.0, message_latency_ms=250.0)
    figures = {}
    for size, fleet in (("6_routers", ModelOptions()), ("195_routers", large)):
        for culprits in (1, 2, 5):
            model = fleet._replace(blocks=True, culprits=culprits, seconds=25.0)
            results = _simulate(options, model)
            case = f"{culprits}_blocks_{size}"
            figures[f"ends_{case}"] = _mean([result.ends for result in results])
            figures[f"late_most_{case}"] = float(max(max(r.late_arrivals) for r in results))
            figures[f"served_least_{case}"] = min(result.served for result in results)
            figures[f"quarantined_innocents_{case}"] = _mean([r.quarantined for r in results])
    return Reading("quarantine-blocks", figures)


@scenario("quarantine-cost", "microseconds per request, by number of suspects")
def quarantine_cost(options: Options) -> Reading:
    """Measure with no, few and as many suspects as the table holds; the best of three runs each."""
    costs = {count: min(_check_us(count) for _ in range(3)) for count in SUSPECTS}
    figures = {f"us_{count}_suspects": cost for count, cost in costs.items()}
    figures["us_fingerprint_100_kb"] = _fingerprint_us(b"x" * 100_000)
    figures["ratio_10000_to_10"] = costs[10_000] / costs[10]
    return Reading("quarantine-cost", figures)


def _simulate(options: Options, model: ModelOptions, *, watching: bool = True) -> list[ModelResult]:
    seeds = range(options.seed, options.seed + SEEDS)
    return [QuarantineModel(model._replace(seed=s), watching=watching).run() for s in seeds]


def _mean(values: list[int]) -> float:
    return sum(values) / len(values)


def _check_us(suspects: int) -> float:
    quarantine = Quarantine(lambda name: False)
    for number in range(suspects):
        # Spread over workspaces, as the table bounds the suspects of each.
        aboard = [InterruptedRequest(f"f{number}", f"w{number % 100}", True)]
        quarantine.ended(
            Termination(f"e{number}", number, False, aboard), number * DECISION_DELAY_MS
        )
        quarantine.decide_due((number + 1) * DECISION_DELAY_MS)
    now_ms = suspects * DECISION_DELAY_MS
    started = time.perf_counter()
    for number in range(CHECKS):
        if quarantine.watching:
            name = fingerprint("shop", "shop.example", b"POST", b"/draft/%d" % number, BODY)
            quarantine.treatment_of(name, "shop", now_ms)
            quarantine.answered(name)
    return (time.perf_counter() - started) / CHECKS * 1e6


def _fingerprint_us(body: bytes) -> float:
    started = time.perf_counter()
    for _ in range(100):
        fingerprint("shop", "shop.example", b"POST", b"/draft/x", body)
    return (time.perf_counter() - started) / 100 * 1e6
