"""Fair shares of workspaces at a site with several services of model engines."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from test_gateway_bounds import ADDRESS, state_with

from tamarack_core.admission import Admission
from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.prompt import Prompt, blocks_of
from tamarack_core.ruleset import (
    EngineTraits,
    RequestKind,
    Route,
    Ruleset,
    Service,
    ServiceShare,
)
from tamarack_gateway.engine_admission import EngineAdmission
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import Request
from tamarack_gateway.outbox import Outbox, Placements, PlacementSum, Tokens
from tamarack_gateway.site import RequestFacts

TOKENS_PER_S = 300_000.0
PROMPT = Prompt(1_000, 60, blocks_of("m", [("shared", 800), ("own", 200)]))


def make_state(clock: ManualClock, **engines: int) -> FleetState:
    """A router's local state with the given number of engines of each service."""
    state = state_with(clock)
    services = [Service(name, 100, EngineTraits(16, 500_000, 6)) for name in engines]
    state.put_rules(Ruleset(1, [], services, {}, tokens_per_s=TOKENS_PER_S))
    for service, count in engines.items():
        for number in range(count):
            name = f"{service}-{number}"
            state.registry.put(Endpoint(name, service, ADDRESS, "a", 16, False), clock.now_ms)
    state.sync_endpoints()
    return state


def verdict(state: FleetState, service: str, workspace: str) -> Admission:
    """Admission decision on a workspace's request at a service."""
    share = (ServiceShare(service, 1),)
    route = Route("/", "h", "/", RequestKind.STREAM, share, 4_000.0, 800.0, 2, False, True)
    facts = RequestFacts("attempt", "h", "/", None, "key", PROMPT, None)
    request = Request(b"POST", b"/", [], b"", state.clock.now_ms)
    admission = EngineAdmission(state, service, request, facts, route, workspace)
    placement = admission.place(state.usable(service), PROMPT, 4_000.0)
    assert placement is not None
    return placement.decision.admission


def placements_of(**services: list[Tokens]) -> Placements:
    return Placements([], services)


def test_a_workspace_beyond_its_share_at_one_service_may_use_idle_engines_of_another() -> None:
    """Failure: a workspace is refused beside idle engines for its service at another pool."""
    clock = ManualClock(10_000.0)
    state = make_state(clock, busy=2, idle=2)
    flood, other = Tokens("flood", 20_000_000, 4_000_000), Tokens("other", 9_000_000, 1_000_000)
    state.apply_placements(placements_of(busy=[flood, other]))
    for name in ("busy-0", "busy-1"):
        state.models[name].add_peer_work(30.0, clock.now_ms)
    assert verdict(state, "busy", "flood") is Admission.REFUSED
    assert verdict(state, "busy", "other") is not Admission.REFUSED
    assert verdict(state, "idle", "flood") is Admission.ADMITTED


@pytest.mark.parametrize("known", [True, False])
def test_reports_of_an_unknown_service_are_not_stored(known: bool) -> None:
    """Failure: a peer that reports unknown services makes a router's memory grow without bound."""
    clock = ManualClock(10_000.0)
    state = make_state(clock, **({"pool": 1} if known else {}))
    for number in range(1_000):
        state.apply_placements(placements_of(**{f"s{number}": [Tokens("w", 10, 10)]}))
    state.apply_placements(placements_of(pool=[Tokens("w", 10, 0)]))
    assert len(state.shares._shares) == int(known)
    state.put_rules(Ruleset(2, [], [], {}))
    assert not state.shares._shares


def test_throughput_is_divided_between_services_by_their_engines() -> None:
    """Failure: the throughput of all services together is assumed for each of them."""
    state = make_state(ManualClock(), large=3, small=1)
    assert state.throughput("large") == pytest.approx(0.75 * TOKENS_PER_S)
    assert state.throughput("small") == pytest.approx(0.25 * TOKENS_PER_S)
    assert make_state(ManualClock(), only=1).throughput("only") == TOKENS_PER_S


_ROW = st.tuples(
    st.sampled_from(["a", "b"]),
    st.sampled_from(["w1", "w2", "w3"]),
    st.integers(0, 9),
    st.booleans(),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(st.lists(_ROW, max_size=6), max_size=6))
def test_relays_neither_lose_nor_duplicate_tokens(
    reports: list[list[tuple[str, str, int, bool]]],
) -> None:
    """Failure: a workspace's service is reported for another workspace, twice, or not at all."""
    whole: Counter[tuple[str, str, bool]] = Counter()
    relay = PlacementSum()
    for report in reports:
        outbox = Outbox()
        for service, workspace, tokens, served in report:
            (outbox.served if served else outbox.asked)(service, workspace, tokens)
            whole[service, workspace, served] += tokens
        placements = outbox.take()
        if placements is not None:
            relay.add(placements)
    summed = relay.take() or Placements([], {})
    found = Counter(
        {
            (service, row.workspace, served): row.served if served else row.asked
            for service, rows in summed.tokens.items()
            for row in rows
            for served in (False, True)
        }
    )
    assert +found == +whole
    assert relay.take() is None
