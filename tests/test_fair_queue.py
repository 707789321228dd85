"""Fair queue: shares, returns from idleness, aging, merging of counters."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_core.defaults import AGING_MS
from tamarack_core.dispatch_messages import ShardCounters, ShardKey, Ticket
from tamarack_core.fair_queue import FairQueue, Waiting
from tamarack_core.remote_shards import merge_counters


def waiting(workspace: str, number: int, arrived_ms: float = 0.0, priority: int = 1) -> Waiting:
    return Waiting(
        Ticket(f"{workspace}-{number}", workspace, priority), "r1", arrived_ms, 1e9 + arrived_ms
    )


def serve(queue: FairQueue, rounds: int, cost: dict[str, float]) -> dict[str, float]:
    served: dict[str, float] = {}
    for _ in range(rounds):
        taken = queue.pop(0.0)
        assert taken is not None
        name = taken.ticket.workspace
        queue.charge(name, cost[name])
        served[name] = served.get(name, 0.0) + cost[name]
    return served


def test_weights_set_the_shares() -> None:
    queue = FairQueue({"large": 2.0})
    for number in range(300):
        queue.push(waiting("large", number), 0.0)
        queue.push(waiting("small", number), 0.0)
    served = serve(queue, 300, {"large": 10.0, "small": 10.0})
    assert abs(served["large"] / served["small"] - 2.0) < 0.05


def test_an_idle_workspace_accumulates_no_credit() -> None:
    # A returning workspace must not starve the others for minutes. `busy` is served alone for a
    # long time, then `idle` returns with a counter of zero. Without a lift to the lowest active
    # counter it would be credited for service that it did not request.
    queue = FairQueue()
    for number in range(1_000):
        queue.push(waiting("busy", number), 0.0)
    serve(queue, 500, {"busy": 10.0})
    for number in range(100):
        queue.push(waiting("idle", number), 0.0)
    served = serve(queue, 100, {"busy": 10.0, "idle": 10.0})
    assert abs(served["busy"] - served["idle"]) <= 20.0


def test_priority_goes_first_until_waiting_time_outweighs_it() -> None:
    queue = FairQueue()
    queue.push(waiting("a", 1, arrived_ms=0.0, priority=2), 0.0)
    queue.push(waiting("a", 2, arrived_ms=AGING_MS / 2, priority=0), 0.0)
    queue.push(waiting("a", 3, arrived_ms=3 * AGING_MS, priority=0), 0.0)
    order = [queue.pop(0.0) for _ in range(3)]
    assert [w.ticket.request for w in order if w] == ["a-2", "a-1", "a-3"]


def test_a_request_is_queued_once_even_if_pushed_again() -> None:
    queue = FairQueue()
    assert queue.push(waiting("a", 1), 0.0)
    assert not queue.push(waiting("a", 1), 0.0)
    assert queue.pop(0.0) is not None
    assert queue.pop(0.0) is None


@settings(max_examples=60, deadline=None)
@given(
    weights=st.lists(st.floats(0.2, 5.0), min_size=2, max_size=6),
    costs=st.lists(st.floats(1.0, 500.0), min_size=40, max_size=200),
)
def test_the_gap_stays_within_the_two_largest_charges(
    weights: list[float], costs: list[float]
) -> None:
    names = [f"w{index}" for index in range(len(weights))]
    queue = FairQueue(dict(zip(names, weights, strict=True)))
    for number in range(len(costs)):
        for name in names:
            queue.push(waiting(name, number), 0.0)
    served = dict.fromkeys(names, 0.0)
    largest = 0.0
    for cost in costs:
        taken = queue.pop(0.0)
        assert taken is not None
        name = taken.ticket.workspace
        weight = weights[names.index(name)]
        queue.charge(name, cost)
        served[name] += cost / weight
        largest = max(largest, cost / weight)
        assert max(served.values()) - min(served.values()) <= 2 * largest + 1e-6


counters = st.builds(
    lambda term, charged, refunded: ShardCounters(ShardKey("s", 1), term, charged, refunded),
    st.integers(1, 3),
    st.dictionaries(st.sampled_from("abc"), st.floats(0, 100)),
    st.dictionaries(st.sampled_from("abc"), st.floats(0, 100)),
)


@given(one=counters, two=counters, three=counters)
def test_merging_is_commutative_associative_and_idempotent(
    one: ShardCounters, two: ShardCounters, three: ShardCounters
) -> None:
    assert merge_counters(one, two) == merge_counters(two, one)
    assert merge_counters(one, one) == one
    left = merge_counters(merge_counters(one, two), three)
    assert left == merge_counters(one, merge_counters(two, three))
