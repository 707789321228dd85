"""Scenarios of orders to engines."""

from __future__ import annotations

import time
from typing import Any

from tamarack_bench.fleet_run import finish_load, loaded_fleet, now_ms
from tamarack_bench.load import CallerPlan
from tamarack_bench.scenarios import Options, Reading, scenario
from tamarack_client.admin import AdminClient
from tamarack_standins.deployments import DEPLOYMENTS
from tamarack_standins.fleet import Fleet

RELOAD_TIMEOUT_S = 60.0
OTHER_MODEL = "other-model"


@scenario("reload", "available capacity while a preset switch reloads a third of the engines")
def reload(options: Options) -> Reading:
    """Switch to a preset that loads another model on every third engine, under load."""
    deployment = DEPLOYMENTS[options.deployment]
    plans = [CallerPlan(name, 8, 0.0) for name in deployment.large]
    with loaded_fleet(options, plans) as loaded:
        fleet = loaded.fleet
        engines = [e for e in fleet.endpoints if e["kind"] == "model"]
        moved = engines[::3]
        admin = fleet.admin()
        _add_preset(admin, moved)
        start_ms = now_ms()
        admin.switch_preset("moved")
        least = _watch_reload(fleet, engines, moved)
        took_ms = now_ms() - start_ms
        orders = [
            order
            for e in engines
            for order in fleet.get_json(e["address"], "/standin/orders")["orders"]
        ]
        summary = finish_load(loaded)
    fences = {order["fence"] for order in orders}
    figures = {
        "engines": float(len(engines)),
        "engines_moved": float(len(moved)),
        "least_engines_taking_work": float(least),
        "least_part_taking_work": least / len(engines),
        "took_ms_per_engine": took_ms / len(moved),
        "orders": float(len(orders)),
        "orders_per_engine_moved": len(orders) / len(moved),
        "holders": float(len(fences)),
        "cut_or_mixed": float(sum(1 for r in summary.results if r.outcome in ("cut", "mixed"))),
        "refused": float(sum(1 for r in summary.results if r.outcome == "not-run")),
        "unknown": float(sum(1 for r in summary.results if r.outcome == "unknown")),
    }
    return Reading("reload", figures)


def _add_preset(admin: AdminClient, moved: list[dict[str, Any]]) -> None:
    """Add the other model and the preset that has some engines load it."""
    loads = {e["endpoint"]: OTHER_MODEL for e in moved}
    service = {"kind": "model", "model": OTHER_MODEL, "max_unavailable": 1}
    admin.change(
        [
            {"kind": "service", "name": "other", "body": service},
            {"kind": "preset", "name": "moved", "body": {"loads": loads}},
        ]
    )


def _watch_reload(fleet: Fleet, engines: list[dict[str, Any]], moved: list[dict[str, Any]]) -> int:
    """Wait until the moved engines have loaded the other model.

    Returns the smallest number of engines that accepted work at one time.
    """
    deadline = time.monotonic() + RELOAD_TIMEOUT_S
    least = len(engines)
    while time.monotonic() < deadline:
        states = [fleet.get_json(e["address"], "/load") for e in engines]
        least = min(least, sum(1 for state in states if not state["leaving"]))
        if all(
            state["model"] == OTHER_MODEL and state["accepting"]
            for state, engine in zip(states, engines, strict=True)
            if engine in moved
        ):
            break
        time.sleep(0.05)
    return least
