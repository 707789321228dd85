"""Work of one router in a fleet of 195, with fixed local state and without sockets."""

from __future__ import annotations

import random
from typing import Any

import pytest

from tamarack_core import endpoint_registry
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint, EndpointRegistry
from tamarack_core.engine_model import EngineModel
from tamarack_core.first_token import FIRST_TOKEN_MS
from tamarack_core.placement import (
    FAILURE_PENALTY_MS,
    NOT_PREFERRED_PENALTY_MS,
    PREFILL_WEIGHT,
    choose_engine,
)
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.rendezvous import score
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.outbox import Outbox, PlacementSum

ENGINES = 78
WORKSPACES = 60
NOW_MS = 10_000.0


def test_relayed_reports_grow_with_engines_and_not_with_requests() -> None:
    """Failure: 195 routers spend more processor time than they have and their event loops lag.

    At a thousand requests a second, relays that concatenate reports instead of summing them forward
    a report of every request to all routers.
    """
    draw = random.Random(5)
    passed = PlacementSum()
    reading: dict[str, float] = {}
    served: dict[str, int] = {}
    for _ in range(1_000):
        outbox = Outbox()
        engine, workspace = f"e{draw.randrange(ENGINES)}", f"w{draw.randrange(WORKSPACES)}"
        outbox.placed(engine, 50.0, [PrefixBlock(f"part-{draw.randrange(40)}", 5_000)])
        outbox.asked("s", workspace, 100.0)
        outbox.served("s", workspace, 100.0)
        reading[engine] = reading.get(engine, 0.0) + 50.0
        served[workspace] = served.get(workspace, 0) + 100
        report = outbox.take()
        assert report is not None
        passed.add(report)
    whole = passed.take()
    assert whole is not None
    assert {placed.endpoint: placed.reading_ms for placed in whole.placed} == reading
    assert {row.workspace: row.served for row in whole.tokens["s"]} == served
    assert {row.workspace: row.asked for row in whole.tokens["s"]} == served
    assert len(whole.placed) <= ENGINES
    assert len(whole.tokens) == 1 and len(whole.tokens["s"]) <= WORKSPACES
    assert passed.take() is None


def test_the_engine_with_the_lowest_cost_is_chosen_although_most_are_skipped() -> None:
    """Failure: requests go to engines with a higher cost than others.

    Most engines are skipped by a lower bound of their cost, based on the queue alone; this happens
    if the bound exceeds the actual cost of one of them.
    """
    for seed in range(300):
        _compare_with_exhaustive_search(random.Random(seed))


def test_the_list_of_usable_endpoints_is_built_once_for_many_changed_entries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: routers spend seconds on a list of thousands of endpoints, of which many change.

    Each of hundreds of entries in a message rebuilds the list of all endpoints.
    """
    built: list[int] = []
    build = endpoint_registry._usable

    def counting(present: list[Endpoint]) -> Any:
        built.append(len(present))
        return build(present)

    monkeypatch.setattr(endpoint_registry, "_usable", counting)
    registry = EndpointRegistry(kept_ms=1_000.0)
    entries = [Endpoint(f"e{n}", "s", f"e{n}:1", "a", 16, False) for n in range(3_000)]
    registry.replace(entries, NOW_MS, keep_until_ms=NOW_MS)
    for entry in entries[:500]:
        registry.put(entry._replace(slots=8), NOW_MS)
    assert [e.slots for e in registry.usable("s")].count(8) == 500
    assert registry.without_incarnation == []
    assert built == [3_000]


def test_routers_of_a_large_fleet_that_start_together_share_the_queries_of_engines() -> None:
    """Failure: each of 300 routers opens connections to all of 3,000 engines when it starts.

    None has heard of the others yet; the store lists them.
    """
    routers = [f"r{n}" for n in range(300)]
    engines = [f"e{n}" for n in range(3_000)]
    queried: list[str] = []
    for router in routers:
        me = Member(router, 1, "a", "x:1", True, NOW_MS)
        queried += FleetMembers().queried_by(me, engines, routers, NOW_MS)
    assert sorted(queried) == sorted(engines)
    alone = Member("r0", 1, "a", "x:1", True, NOW_MS)
    assert FleetMembers().queried_by(alone, engines, ["r0", "r1"], NOW_MS) == engines


def _compare_with_exhaustive_search(draw: random.Random) -> None:
    names = [f"e{number}" for number in range(ENGINES)]
    endpoints = [Endpoint(name, "s", f"{name}:1", "a", 16, False) for name in names]
    parts = [PrefixBlock(f"part-{number}", draw.randrange(300, 14_000)) for number in range(6)]
    models = {name: EngineModel() for name in names}
    records = {name: EndpointRecord() for name in names}
    for name in names:
        models[name].add_peer_work(draw.expovariate(1 / 200.0), NOW_MS)
        models[name].observe_peer(draw.expovariate(1 / 200.0), draw.uniform(0.6, 8.0), NOW_MS)
        models[name].add_blocks(tuple(draw.sample(parts, draw.choice((0, 0, 0, 1, 2)))))
        models[name].running = draw.randrange(20)
        if draw.random() < 0.1:
            records[name].failed(NOW_MS)
    shared = tuple(draw.sample(parts, draw.choice((1, 2))))
    own = PrefixBlock("own", draw.randrange(10, 5_000))
    prompt = Prompt(sum(part.tokens for part in (*shared, own)), 100, (*shared, own))
    chosen = choose_engine(prompt, endpoints, models, records, NOW_MS)
    assert chosen is not None
    costs = {e.name: _cost(prompt, e, endpoints, models, records) for e in endpoints}
    assert abs(costs[chosen.endpoint.name] - min(costs.values())) < 1e-6


def _cost(
    prompt: Prompt,
    endpoint: Endpoint,
    endpoints: list[Endpoint],
    models: dict[str, EngineModel],
    records: dict[str, EndpointRecord],
) -> float:
    model, anchor = models[endpoint.name], prompt.anchor
    assert anchor is not None
    cached = any(models[e.name].caches(anchor) for e in endpoints)
    preferred = None if cached else max(endpoints, key=lambda e: score(anchor.key, e.name))
    assumed = anchor.tokens if endpoint is preferred else 0
    reading_ms = model.reading_ms(prompt, assumed) * model.pace(NOW_MS)
    cost = model.wait_ms(NOW_MS) + PREFILL_WEIGHT * reading_ms + FIRST_TOKEN_MS
    cost += 25.0 * max(0, model.running + model.waiting + 1 - endpoint.slots)
    cost += FAILURE_PENALTY_MS * records[endpoint.name].failures(NOW_MS)
    if endpoint is not preferred and model.unread_tokens(prompt) >= prompt.tokens_in:
        cost += NOT_PREFERRED_PENALTY_MS
    return cost
