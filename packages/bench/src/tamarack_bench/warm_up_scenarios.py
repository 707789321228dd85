"""Scenarios of endpoints that warm up: use of the rate that they tolerate, by way and fleet."""

from __future__ import annotations

from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_bench.warm_up_model import WAYS, WarmUpOptions, simulate

SEEDS = 3

FLEETS = (
    WarmUpOptions(routers=8, cold=2, per_s=130.0),
    WarmUpOptions(routers=83, cold=17, per_s=946.0),
    WarmUpOptions(routers=200, cold=41, per_s=2_280.0),
)
"""Fleets in which one of four failure domains returns cold."""


@scenario("warm-up", "part of the permitted rate used, and most requests in a second, by way")
def warm_up(options: Options) -> Reading:
    """Simulate each way in fleets of several sizes."""
    figures: dict[str, float] = {}
    for fleet in FLEETS:
        for name in WAYS:
            results = [simulate(name, fleet._replace(seed=options.seed + n)) for n in range(SEEDS)]
            size, used = fleet.routers, sum(result.used for result in results) / SEEDS
            figures[f"{name}_used_{size}"] = round(used, 2)
            figures[f"{name}_most_{size}"] = float(max(result.most for result in results))
    return Reading("warm-up", figures)
