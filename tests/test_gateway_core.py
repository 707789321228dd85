"""Routing decisions of the gateway, on a simulated clock."""

from __future__ import annotations

import pytest

from tamarack_core.admission import FREE_ENGINE, Admission, Decision, admit
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint, EndpointRegistry
from tamarack_core.engine_model import EngineModel
from tamarack_core.first_token import FIRST_TOKEN_MS
from tamarack_core.key_freshness import KeyFreshness
from tamarack_core.placement import choose_engine, choose_plain
from tamarack_core.prompt import PrefixBlock, Prompt, blocks_of
from tamarack_core.retry_allowance import RetryAllowance
from tamarack_core.retry_detector import RetryDetector
from tamarack_core.ruleset import RequestKind, Route, Ruleset, ServiceShare
from tamarack_core.workspace_shares import WorkspaceShares
from tamarack_gateway.event_splitter import BadStreamError, EventSplitter


def make_route(prefix: str, **changes: object) -> Route:
    route = Route(
        prefix,
        "h",
        prefix,
        RequestKind.STREAM,
        (ServiceShare("one", 90), ServiceShare("two", 10)),
        1_000.0,
        500.0,
        2,
        False,
        True,
    )
    return route._replace(**changes)


def make_prompt(shared: str, own: str, tokens: int = 13_000) -> Prompt:
    parts = blocks_of("m", [(shared, tokens), (own, 3_000)])
    return Prompt(tokens + 3_000, 100, parts)


def endpoints(*names: str) -> list[Endpoint]:
    return [Endpoint(name, "pool", f"{name}:1", "a", 64, False) for name in names]


def test_the_route_with_the_longest_prefix_is_used() -> None:
    rules = Ruleset(1, [make_route("/a/"), make_route("/a/b/"), make_route("/")], [], {})
    found = [rules.route_for("h", path) for path in ("/a/b/c", "/a/bc", "/x")]
    assert [route.prefix for route in found if route] == ["/a/b/", "/a/", "/"]
    assert rules.route_for("other", "/a/") is None


def test_requests_are_split_by_weight() -> None:
    route = make_route("/")
    assert [route.service_for(draw) for draw in (0.0, 0.89, 0.91)] == ["one", "one", "two"]


def test_keys_expire_by_the_send_time_of_the_confirming_call() -> None:
    """Failure: a revoked key is accepted after its deadline.

    The answer that confirms the configuration is delayed for seconds, and the time of the answer is
    used as that of the confirmation.
    """
    freshness = KeyFreshness(4_500.0)
    assert not freshness.trusted(0.0)
    freshness.confirm(1_000.0)
    assert freshness.trusted(5_500.0)
    assert not freshness.trusted(5_501.0)
    freshness.confirm(500.0)
    assert not freshness.trusted(5_501.0)


def test_retries_of_all_routers_stay_within_the_fleet_wide_budget() -> None:
    """Failure: failing endpoints receive every request several times.

    All routers retry at once, one of them partitioned from the others. Each must use only its part
    of the slack, and no larger one when it sees fewer routers.
    """
    allowances = [RetryAllowance(0.2, 50.0, 10_000.0) for _ in range(6)]
    for allowance in allowances:
        allowance.seen(6)
        allowance.seen(1)
        for _ in range(100):
            allowance.record_request("pool", 1_000.0)
    taken = sum(
        sum(allowance.take("pool", 1_000.0) for _ in range(200)) for allowance in allowances
    )
    assert 0 < taken <= 0.2 * 600 + 50
    assert allowances[0].take("pool", 12_000.0) is True


def test_entries_that_expire_in_an_outage_are_retained_until_shortly_after_it() -> None:
    """Failure: after an outage of the store no endpoint is left, although all of them work.

    Entries expire while endpoints cannot write their heartbeats, and missing entries are dropped at
    once.
    """
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.replace(endpoints("e1", "e2"), 0.0, keep_until_ms=-1.0)
    registry.replace(endpoints("e1"), 1_000.0, keep_until_ms=2_300.0)
    assert len(registry.usable("pool")) == 2
    assert registry.next_expiry_ms == 2_300.0
    assert registry.expire(2_299.0) == []
    assert registry.expire(2_300.0) == ["e2"]
    assert [endpoint.name for endpoint in registry.usable("pool")] == ["e1"]


def test_retention_ends_a_fixed_time_after_the_recovery_of_the_store() -> None:
    """Failure: an endpoint that left gets new requests for more than two seconds.

    An endpoint leaves without notice 1.3 s after the store is available again, and its entry is
    retained for the full period from then on instead of from the store's recovery.
    """
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.replace(endpoints("e1"), 0.0, keep_until_ms=-1.0)
    returned_ms = 10_000.0
    registry.remove("e1", returned_ms + 1_300.0, keep_until_ms=returned_ms + 2_300.0)
    assert len(registry.usable("pool")) == 1
    assert registry.expire(returned_ms + 2_300.0) == ["e1"]
    registry.replace(endpoints("e1"), 15_000.0, keep_until_ms=-1.0)
    registry.remove("e1", 15_100.0, keep_until_ms=99_000.0)
    assert registry.next_expiry_ms is not None
    assert registry.next_expiry_ms < 15_100.0 + 2_000.0
    registry.expire(99_000.0)
    registry.replace(endpoints("e2"), 20_000.0, keep_until_ms=12_300.0)
    registry.remove("e2", 21_000.0, keep_until_ms=12_300.0)
    assert registry.usable("pool") == []


def test_a_draining_entry_is_not_retained() -> None:
    registry = EndpointRegistry(kept_ms=1_700.0)
    draining = [endpoint._replace(draining=True) for endpoint in endpoints("e1")]
    registry.replace(draining, 0.0, keep_until_ms=-1.0)
    registry.remove("e1", 0.0, keep_until_ms=5_000.0)
    assert len(registry) == 0


def test_a_first_event_corrects_the_predicted_queue() -> None:
    model = EngineModel()
    prompt = make_prompt("s", "a")
    model.sent("r1", prompt, 0.0)
    model.sent("r2", make_prompt("t", "b"), 0.0)
    alone_ms = model.reading_ms(make_prompt("u", "c"))
    assert model.wait_ms(0.0) == pytest.approx(2 * alone_ms)
    model.first_event("r1", 1_000.0)
    assert model.wait_ms(1_000.0) == pytest.approx(alone_ms)


def test_a_slow_first_token_is_not_mistaken_for_a_queue() -> None:
    """Failure: requests are refused because of predicted queues that do not exist.

    Engines deliver a first token 60 ms after the prefill and prefill other prompts meanwhile, but
    all prompts sent after a request count as not prefilled at its first event. With 30 such engines
    at a third of their capacity, the shortest predicted queue was 29 ms in the median of 14,700
    refusals.
    """
    model = EngineModel()
    short = Prompt(500, 10, (PrefixBlock("m/short", 500),))
    for number in range(10):
        now_ms = 1_000.0 * number
        took_ms = model.sent(f"short-{number}", short, now_ms)
        model.first_event(f"short-{number}", now_ms + took_ms + 60.0)
    long = Prompt(5_000, 10, (PrefixBlock("m/long", 5_000),))
    first_ms = model.sent("first", short, 20_000.0)
    behind_ms = model.sent("behind", long, 20_000.0)
    model.first_event("first", 20_060.0 + first_ms)
    assert model.wait_ms(20_060.0 + first_ms) <= behind_ms - 45.0


def test_first_events_of_other_routers_correct_the_predicted_queue() -> None:
    """Failure: in a large fleet requests are refused although the engines' queues are short.

    Other routers send requests to an engine for seconds, while this router gets no first event from
    it. If only its own first events correct the predicted queue, the sum of sent work drifts away.
    """
    model = EngineModel()
    for number in range(40):
        now_ms = 100.0 * number
        model.add_peer_work(150.0, now_ms)
        model.observe_peer(20.0, 1.0, now_ms)
    assert model.wait_ms(4_000.0) < 200.0
    for _ in range(20):
        model.observe_peer(0.0, 2.0, 4_000.0)
    assert model.pace(4_000.0) == pytest.approx(2.0, abs=0.1)


def test_a_learned_slowdown_decays() -> None:
    model = EngineModel()
    for number in range(20):
        now_ms = number * 5_000.0
        model.sent(f"r{number}", make_prompt(f"s{number}", "a"), now_ms)
        waited_ms = model.wait_ms(now_ms)
        model.first_event(f"r{number}", now_ms + 4 * waited_ms)
    assert model.pace(100_000.0) > 1.3
    assert model.pace(200_000.0) == pytest.approx(1.0, abs=0.01)


def test_cached_blocks_are_not_recomputed_until_they_are_evicted() -> None:
    model = EngineModel(memory_tokens=50_000)
    first = make_prompt("s", "a")
    model.sent("r1", first, 0.0)
    assert model.unread_tokens(make_prompt("s", "b")) == 3_000
    model.sent("r2", make_prompt("t", "c"), 0.0)
    model.sent("r3", make_prompt("u", "d"), 0.0)
    assert model.unread_tokens(make_prompt("s", "b")) == 16_000


def test_blocks_reported_by_an_engine_do_not_evict_more_recent_ones() -> None:
    model = EngineModel(memory_tokens=50_000)
    model.sent("r1", make_prompt("s", "a"), 0.0)
    reported = [PrefixBlock("m/t", 12_000), PrefixBlock("m/u", 2_000), PrefixBlock("m/v", 1_000)]
    model.add_reported_blocks(reported)
    assert model.unread_tokens(make_prompt("s", "b")) == 3_000
    assert model.caches(reported[0])
    assert not model.caches(reported[2])


def test_blocks_are_reported_at_most_once_per_interval() -> None:
    model = EngineModel()
    prompt = make_prompt("s", "a")
    assert [part.key for part in model.blocks_to_report(prompt, 0.0)] == ["m/s"]
    assert model.blocks_to_report(prompt, 2_900.0) == []
    model.add_peer_blocks([("m/s", 13_000)], 2_950.0)
    assert model.blocks_to_report(prompt, 3_100.0) == []
    assert len(model.blocks_to_report(prompt, 6_000.0)) == 1


def test_requests_that_share_a_block_use_one_engine_until_its_queue_is_long() -> None:
    """Failure: a third of all prefilled tokens are blocks that another engine caches.

    Routers that have just started know of no cached blocks and place by queues alone. The preferred
    engine of a block is the same for all routers, and is assumed to cache it.
    """
    engines = endpoints("e1", "e2", "e3")
    records = {engine.name: EndpointRecord() for engine in engines}
    choices = set()
    for _ in range(5):
        models = {engine.name: EngineModel() for engine in engines}
        choice = choose_engine(make_prompt("s", "a"), engines, models, records, 0.0)
        assert choice is not None
        choices.add(choice.endpoint.name)
    assert len(choices) == 1
    preferred = choices.pop()
    models[preferred].add_peer_work(2_000.0, 0.0)
    spilled = choose_engine(make_prompt("s", "a"), engines, models, records, 0.0)
    assert spilled is not None
    assert spilled.endpoint.name != preferred


def test_a_new_engine_gets_no_block_that_another_one_caches() -> None:
    """Failure: after a crash or a release, engines recompute blocks that others cache.

    A new engine is the preferred one of a block that another engine caches. If it is assumed to
    cache the block, too, requests are sent there.
    """
    old, new = endpoints("e1", "e2"), endpoints("e1", "e2", "e3", "e4", "e5", "e6")
    records = {engine.name: EndpointRecord() for engine in new}
    models = {engine.name: EngineModel() for engine in new}
    for number in range(12):
        prompt = make_prompt(f"s{number}", "a")
        caching = choose_engine(prompt, old, models, records, 0.0)
        assert caching is not None
        models[caching.endpoint.name].add_blocks(prompt.parts[:-1])
        models[caching.endpoint.name].add_peer_work(20.0, 0.0)
        again = choose_engine(prompt, new, models, records, 0.0)
        assert again is not None
        assert again.endpoint == caching.endpoint


def test_a_failing_endpoint_is_avoided_and_tried_again() -> None:
    plain = endpoints("w1", "w2")
    records = {endpoint.name: EndpointRecord() for endpoint in plain}
    records["w1"].failed(0.0, 3.0)
    records["w2"].outstanding = 1
    for now_ms, expected in ((0.0, "w2"), (60_000.0, "w1")):
        choice = choose_plain(plain, records, "a", now_ms)
        assert choice is not None
        assert choice.endpoint.name == expected


def decision(**changes: float) -> Decision:
    options = {
        "first_token_ms": 500.0,
        "unavoidable_ms": 60.0,
        "aim_ms": 800.0,
        "shortest_aim_ms": 800.0,
        "waited_ms": 0.0,
        "left_ms": 8_000.0,
        "standing": 0.0,
        "lead": 1.0,
        "retried": False,
        "draw": 0.0,
    }
    return admit(**{**options, **changes})


def decide(**changes: float) -> bool:
    return decision(**changes).admission is Admission.ADMITTED


def test_routes_with_long_targets_do_not_fill_queues_for_short_targets() -> None:
    """Failure: the route with the shortest target is refused five times as often as the longest.

    Demand exceeds the capacity, and each route fills the queues up to its own latency target.
    Engines serve in order of arrival, so the route with the longest target alone determines the
    length of the queues.
    """
    queue = {"first_token_ms": 560.0, "unavoidable_ms": 60.0}
    assert decide(**queue, aim_ms=800.0)
    assert not decide(**queue, aim_ms=1_600.0)
    assert decide(first_token_ms=360.0, aim_ms=1_600.0)


def test_a_request_is_queued_at_the_router_while_its_target_allows() -> None:
    """Failure: callers are refused and wait for their retry while engines run out of work.

    A queue is slightly longer than a request's bound, and the router can only send or refuse.
    """
    held = decision(first_token_ms=560.0, aim_ms=1_600.0)
    assert held.admission is Admission.HELD
    assert held.wait_ms == pytest.approx(500.0 - 0.85 * 400.0)
    assert decision(first_token_ms=560.0, aim_ms=1_600.0, waited_ms=700.0).admission is (
        Admission.REFUSED
    )
    assert decision(first_token_ms=1_900.0, aim_ms=1_600.0).admission is Admission.REFUSED
    assert decision(first_token_ms=560.0, aim_ms=1_600.0, standing=2.0).admission is (
        Admission.REFUSED
    )


def test_a_request_that_would_miss_its_target_is_refused() -> None:
    assert decide()
    assert not decide(first_token_ms=900.0)
    assert not decide(left_ms=400.0)


def test_a_retried_request_has_priority_over_new_ones() -> None:
    """Failure: callers that retry after the requested delay are refused again.

    Queues are just too long for new requests, and retries have the same bound.
    """
    detector = RetryDetector()
    assert [detector.is_retry("r", wait_ms) for wait_ms in (8_000.0, 7_900.0, 7_000.0)] == [
        False,
        False,
        True,
    ]
    assert not decide(first_token_ms=850.0)
    assert decide(first_token_ms=850.0, retried=True)


def test_a_long_prompt_is_not_refused_for_its_own_prefill() -> None:
    assert decide(first_token_ms=1_500.0, unavoidable_ms=1_300.0)


def test_the_bound_falls_with_the_excess_over_the_share() -> None:
    """Failure: a workspace gets a third of its demand beside one that gets four times as much.

    Several workspaces ask for more than their shares. One bound for all workspaces beyond their
    share fills the queues with requests of the one with the highest demand.
    """
    assert decide(standing=1.2)
    assert not decide(standing=4.0)
    assert decide(first_token_ms=200.0, standing=2.0)
    assert not decide(first_token_ms=200.0, standing=3.0)


def test_the_highest_demand_gets_no_more_than_another_excessive_one() -> None:
    """Failure: of two workspaces beyond their shares one gets a quarter of the other's service.

    Some of 45 engines always have short queues; one workspace received 7 times its share, the other
    2.5 times. If both bounds are close to the minimum, both are admitted equally often, and the
    higher demand gets more.
    """
    shares = WorkspaceShares(4_000.0)
    for name, asked, served in (("flood", 9e6, 2.8e6), ("other", 2e6, 1e6), ("small", 1e5, 1e5)):
        shares.record_demand(name, asked, 0.0)
        shares.record_service(name, served, 0.0)
    rate = 210_000.0
    assert shares.lead("flood", rate, 0.0) == pytest.approx(2.8)
    assert shares.lead("other", rate, 0.0) == 1.0
    assert shares.lead("small", rate, 0.0) == 1.0
    short_queue = {"first_token_ms": 90.0, "unavoidable_ms": 20.0}
    assert decide(**short_queue, standing=2.5, lead=1.0)
    assert not decide(**short_queue, standing=7.0, lead=2.8)
    free = {"first_token_ms": 40.0, "unavoidable_ms": 20.0}
    assert decide(**free, standing=7.0, lead=1.0)
    assert not decide(**free, standing=7.0, lead=2.8)


@pytest.mark.parametrize("queue_ms", [FIRST_TOKEN_MS, 20.0])
def test_a_workspace_with_a_lead_does_not_get_idle_engines(
    queue_ms: float,
) -> None:
    """Failure: with one minimum bound for all, one of many engines is always idle enough for it."""
    queue = {"first_token_ms": 20.0 + queue_ms, "unavoidable_ms": 20.0}
    assert not decide(**queue, standing=3.0, lead=2.0)
    assert decide(**queue, standing=7.0, lead=1.0)


def test_a_refusal_contains_the_queue_and_the_bound() -> None:
    """Failure: a workspace is refused for seconds and the logs do not show the reason.

    The refusals are `beyond its share` and show the standing alone, but neither the bound that
    follows from standing and lead nor the queue that exceeded it.
    """
    refused = decision(first_token_ms=200.0, standing=3.0, lead=2.0)
    assert refused.admission is Admission.REFUSED
    assert refused.queue_ms == pytest.approx(140.0)
    assert 0.0 < refused.bound_ms < refused.queue_ms
    held = decision(first_token_ms=560.0, aim_ms=1_600.0)
    assert (held.queue_ms, held.bound_ms) == (pytest.approx(500.0), pytest.approx(340.0))
    assert decision(first_token_ms=90.0).queue_ms == pytest.approx(30.0)


def test_an_admission_shows_whether_an_idle_engine_was_the_reason() -> None:
    """Failure: logs do not show whether a workspace was admitted despite its lead."""
    free = decision(first_token_ms=73.0, standing=7.0, lead=1.5)
    assert (free.admission, free.reason) == (Admission.ADMITTED, FREE_ENGINE)
    timely = decision(first_token_ms=70.0)
    assert (timely.admission, timely.reason) == (Admission.ADMITTED, "in time")


def test_a_restarted_router_knows_which_workspaces_exceed_their_share() -> None:
    """Failure: for seconds a fifth of the routers admit every request of the highest demand.

    They were killed and restart while workspaces are far beyond their shares. If the reports of the
    first tenths of a second are compared with the share of a whole window, all are within it.
    """
    for started_ms, standing in ((10_000.0, 2.5), (float("-inf"), 0.625)):
        shares = WorkspaceShares(4_000.0, started_ms)
        for workspace, tokens in (("flood", 2.5e6), ("other", 2.5e6)):
            shares.record_demand(workspace, 4 * tokens, 10_900.0)
            shares.record_service(workspace, tokens, 10_900.0)
        assert shares.standing("flood", 2e6, 11_000.0) == pytest.approx(standing)


def test_a_small_workspace_does_not_delay_large_ones() -> None:
    """Failure: all large workspaces are refused at the same time, and engines run out of work.

    A small workspace asks for slightly more than its share, and some of its requests wait. If it
    counts as the least-served backlogged workspace, all others have a large lead over it. It is
    admitted because of its low `filled` instead.
    """
    shares = WorkspaceShares(4_000.0)
    for name, asked, served in (("a", 9e6, 2.2e6), ("b", 5e6, 2e6), ("small", 4e5, 3e5)):
        shares.record_demand(name, asked, 0.0)
        shares.record_service(name, served, 0.0)
    rate = 150_000.0
    assert shares.standing("small", rate, 0.0) > 1.0
    assert shares.lead("a", rate, 0.0) == pytest.approx(1.1)
    assert shares.lead("b", rate, 0.0) == 1.0
    assert shares.position("small", rate, 0.0).filled < 0.2
    queue = {"first_token_ms": 350.0, "unavoidable_ms": 60.0}
    assert decide(**queue, **shares.position("small", rate, 0.0)._asdict())
    assert not decide(**queue, **shares.position("b", rate, 0.0)._asdict())


def test_a_workspace_without_recent_demand_delays_no_other() -> None:
    """Failure: a workspace gets a third of its demand; another one gets three times as much.

    The demand of both exceeds the capacity; that of a third one ended two seconds ago. If the third
    still counts as backlogged, it is the least-served one: both others have a large lead over it
    and get the same minimum bound.
    """
    shares = WorkspaceShares(4_000.0)
    for now_ms in range(0, 4_000, 200):
        stopped = now_ms >= 2_000
        shares.record_demand("past", 0.0 if stopped else 600_000.0, now_ms)
        shares.record_service("past", 0.0 if stopped else 60_000.0, now_ms)
        for name, served in (("little", 100_000.0), ("much", 250_000.0)):
            shares.record_demand(name, 800_000.0, now_ms)
            shares.record_service(name, served, now_ms)
    assert shares.lead("little", 100_000.0, 3_900.0) == 1.0
    assert shares.lead("much", 100_000.0, 3_900.0) == pytest.approx(2.5)


def test_the_workspaces_with_the_highest_demand_are_listed() -> None:
    shares = WorkspaceShares(4_000.0)
    for number in range(30):
        shares.record_demand(f"w{number}", 1_000.0 * number, 0.0)
        shares.record_service(f"w{number}", 500.0 * number, 0.0)
    rows = shares.largest(3, 10_000.0, 0.0)
    assert [row.workspace for row in rows] == ["w29", "w28", "w27"]
    assert (rows[0].asked, rows[0].served) == (29_000.0, 14_500.0)
    assert rows[0].position == shares.position("w29", 10_000.0, 0.0)
    assert shares.largest(3, 10_000.0, 9_000.0) == []


def test_workspaces_with_excess_demand_get_equal_shares() -> None:
    shares = WorkspaceShares(4_000.0)
    for workspace, tokens in (("small", 1_000.0), ("large", 9_000.0), ("larger", 30_000.0)):
        shares.record_demand(workspace, tokens, 0.0)
        shares.record_service(workspace, tokens, 0.0)
    assert shares.share(5_000.0, 0.0) == pytest.approx(10_000.0)
    assert shares.standing("larger", 5_000.0, 0.0) == pytest.approx(3.0)
    assert shares.standing("small", 5_000.0, 0.0) < 0.2
    assert shares.standing("larger", 5_000.0, 9_000.0) == 0.0


def test_events_are_split_and_their_ids_must_be_consecutive() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") == []
    assert [event.number for event in splitter.feed(b"\nid: 2\ndata: b\n\nid: 3")] == [1, 2]
    splitter.restart()
    assert [event.number for event in splitter.feed(b"id: 3\n\n")] == [3]
    with pytest.raises(BadStreamError):
        splitter.feed(b"id: 5\n\n")
