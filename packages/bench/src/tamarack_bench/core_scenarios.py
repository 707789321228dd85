"""Scenarios of the core alone, with a simulated clock."""

from __future__ import annotations

from tamarack_bench.core_bench import measure_decisions, measure_gap
from tamarack_bench.member_bench import measure_membership
from tamarack_bench.placement_bench import measure_placing
from tamarack_bench.scenarios import Options, Reading, scenario


@scenario("core-shards", "fairness gap of 16 shards, relative to one exact dispatcher")
def core_shards(options: Options) -> Reading:
    """Measure with stagger and estimates of other shards, without stagger, and without either."""
    exact = measure_gap(1, slots=1024, seed=options.seed).gap_tokens
    both = measure_gap(16, seed=options.seed).gap_tokens
    estimating = measure_gap(16, staggered=False, seed=options.seed).gap_tokens
    neither = measure_gap(16, estimate_others=False, staggered=False, seed=options.seed).gap_tokens
    figures = {
        "gap_exact_tokens": exact,
        "gap_sharded_tokens": both,
        "gap_without_turns_tokens": estimating,
        "gap_without_either_tokens": neither,
        "ratio_to_exact": both / exact,
        "ratio_without_either": neither / exact,
    }
    return Reading("core-shards", figures)


@scenario("core-decisions", "decisions per second of one dispatcher core")
def core_decisions(options: Options) -> Reading:
    """Measure at three numbers of workspaces; the best of three runs each."""
    rates = {
        size: max(measure_decisions(size, 64).decisions_per_s for _ in range(3))
        for size in (68, 680, 6_800)
    }
    figures = {f"decisions_per_s_{size}_workspaces": rate for size, rate in rates.items()}
    figures["ratio_6800_to_68"] = rates[6_800] / rates[68]
    return Reading("core-decisions", figures)


@scenario("membership", "membership bytes per router and second, by fleet size")
def membership(options: Options) -> Reading:
    """Count the encoded bytes of idle fleets."""
    readings = {size: measure_membership(size, seed=options.seed) for size in (8, 16, 32, 64)}
    figures = {f"bytes_per_s_{size}_routers": value for size, value in readings.items()}
    figures["ratio_64_to_8"] = readings[64] / readings[8]
    series = {"bytes per second": [(float(size), value) for size, value in readings.items()]}
    return Reading("membership", figures, series)


@scenario("core-placing", "microseconds to place and admit one generation, by number of engines")
def core_placing(options: Options) -> Reading:
    """Measure with few and many engines and workspaces; the best of three runs each."""
    sizes = ((9, 16), (45, 30), (78, 60), (156, 60), (156, 6_800))
    costs = {
        size: min(measure_placing(*size, seed=options.seed) for _ in range(3)) for size in sizes
    }
    figures = {
        f"us_{engines}_engines_{spaces}_workspaces": costs[engines, spaces]
        for engines, spaces in sizes
    }
    figures["ratio_156_to_9_engines"] = costs[156, 60] / costs[9, 16]
    figures["ratio_6800_to_60_workspaces"] = costs[156, 6_800] / costs[156, 60]
    return Reading("core-placing", figures)
