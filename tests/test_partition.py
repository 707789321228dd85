"""Router processes, partitioned from each other and from the store by forwarders."""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterator
from typing import Any

import pytest
import urllib3

from tamarack_bench.accounts import check_promises
from tamarack_bench.load import CallerPlan, Load
from tamarack_client import AdminClient, Client
from tamarack_standins.deployments import ADMIN_TOKEN, DEPLOYMENTS
from tamarack_standins.fleet import Fleet

WAIT_S = 30.0
SHARD = "dispatch-model/0"
http = urllib3.PoolManager(retries=False, timeout=5.0)


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    with Fleet(DEPLOYMENTS["kitami"], 3, forward=True) as running:
        yield running


def wait_for(condition: Callable[[], Any]) -> None:
    """Wait until a condition holds, for at most `WAIT_S` seconds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "the condition did not come to hold"
        threading.Event().wait(0.05)


def state(fleet: Fleet, router: str) -> Any:
    return fleet.get_json(fleet.routers[router].metrics, "/state")


def alive(fleet: Fleet, router: str) -> float:
    return float(state(fleet, router)["gauges"]["members_alive"])


def cut_off(fleet: Fleet, router: str) -> None:
    for other in fleet.routers:
        if other != router:
            fleet.cut_routers(router, other)


def load_of(fleet: Fleet) -> Load:
    plans = [CallerPlan(w, 2, 0.05, 0.4, 0.3, (5, 40)) for w in fleet.deployment.workspaces[:4]]
    return Load(
        fleet.addresses,
        fleet.keys,
        plans,
        model=fleet.deployment.model,
        plain=fleet.deployment.plain.name,
        seed=5,
    )


def test_both_sides_of_a_partition_serve_and_no_request_runs_twice(fleet: Fleet) -> None:
    # After a partition no request may hang or run twice. One router is partitioned from the other
    # two under load and rejoins. Both sides dispatch in between, but each request is still run by
    # one router only.
    alone, *others = fleet.routers
    with load_of(fleet) as load:
        wait_for(lambda: len(load.results) > 20)
        cut_off(fleet, alone)
        wait_for(lambda: alive(fleet, alone) == 1)
        wait_for(lambda: all(alive(fleet, other) == 2 for other in others))
        for address in fleet.addresses:
            client = Client([address], fleet.keys[fleet.deployment.workspaces[0]])
            assert client.complete(fleet.deployment.model, "x", max_tokens=3).status == 200
        fleet.heal()
        wait_for(lambda: all(alive(fleet, router) == 3 for router in fleet.routers))
        before = len(load.results)
        wait_for(lambda: len(load.results) > before + 20)
    promises = check_promises(load.results, fleet.runs())
    assert promises.answered > 0
    assert not promises.broken


def test_one_dispatcher_remains_after_a_partition(fleet: Fleet) -> None:
    alone = next(iter(fleet.routers))
    with load_of(fleet):
        cut_off(fleet, alone)
        wait_for(lambda: alive(fleet, alone) == 1)
        fleet.heal()
        wait_for(lambda: all(alive(fleet, router) == 3 for router in fleet.routers))
        # All routers that use the shard converge to one dispatcher and term.
        wait_for(lambda: len({state(fleet, r)["terms"].get(SHARD, "") for r in fleet.routers}) == 1)


def test_an_isolated_router_refuses_requests_and_names_other_routers(fleet: Fleet) -> None:
    # One router loses the store and all other routers, and recovers without intervention.
    alone, *others = fleet.routers
    cut_off(fleet, alone)
    fleet.cut_store(alone)
    metrics = fleet.routers[alone].metrics
    wait_for(lambda: http.request("GET", f"http://{metrics}/readyz").status == 503)
    key = fleet.keys[fleet.deployment.workspaces[0]]
    headers = {"Authorization": f"Bearer {key}"}
    address = fleet.routers[alone].address
    refused = http.request("POST", f"http://{address}/v1/completions", headers=headers, body=b"{}")
    assert (refused.status, refused.headers["Tamarack-Outcome"]) == (503, "not-run")
    named = json.loads(http.request("GET", f"http://{address}/v1/addresses", headers=headers).data)
    assert address not in named["addresses"]
    fleet.heal()
    wait_for(lambda: http.request("GET", f"http://{metrics}/readyz").status == 200)


def test_an_isolated_router_catches_up_with_changes_after_it_reconnects(fleet: Fleet) -> None:
    alone, *others = fleet.routers
    cut_off(fleet, alone)
    fleet.cut_store(alone)
    wait_for(lambda: alive(fleet, alone) == 1)
    admin = AdminClient([fleet.routers[others[0]].admin], ADMIN_TOKEN)
    version = admin.switch_preset("peak")
    assert state(fleet, alone)["version"] < version
    fleet.heal()
    wait_for(lambda: state(fleet, alone)["version"] >= version)


def test_silently_broken_connections_are_reopened(fleet: Fleet) -> None:
    # Healthy routers must not declare each other dead while requests wait. A device between the
    # routers drops the state of all open connections, and only new connections work. A broken
    # connection gives no error, so after 250 ms without an answer the router opens a new one
    # before it suspects the peer.
    with load_of(fleet) as load:
        wait_for(lambda: len(load.results) > 20)
        fleet.silence_peers()
        before = len(load.results)
        wait_for(lambda: len(load.results) > before + 60)
        wait_for(lambda: all(alive(fleet, router) == 3 for router in fleet.routers))
    assert not check_promises(load.results, fleet.runs()).broken
