"""Orders to engines: lease and planner."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change, EntryPut
from tamarack_core.order_lease import LeaseRow, OrderLease
from tamarack_core.order_planner import Observed, Order, plan_orders

LEASE_MS, ORDER_MS = 5_000.0, 1_000.0


def make_config(loads: dict[str, str], limit: int = 1) -> Configuration:
    puts = [
        EntryPut("service", "a", {"kind": "model", "model": "ma", "max_unavailable": limit}),
        EntryPut("service", "b", {"kind": "model", "model": "mb", "max_unavailable": limit}),
        EntryPut("preset", "p", {"loads": loads}),
    ]
    for number in range(4):
        body = {"service": "a", "address": "127.0.0.1:1", "failure_domain": "x"}
        puts.append(EntryPut("endpoint", f"e{number}", body))
    return Configuration().apply(Change(1, "c", "t", 0, puts, [], "p"))


class Table:
    """A table service with one versioned row."""

    def __init__(self) -> None:
        self.row: LeaseRow | None = None
        self.version = 0

    def run_once(self, lease: OrderLease, now_ms: float, *, lost: bool = False) -> None:
        lease.observe(self.row, now_ms)
        step = lease.next_step(now_ms)
        if step is None:
            return
        current = self.row.version if self.row else 0
        if step.if_version != current:
            lease.give_up()
            return
        self.version += 1
        self.row = LeaseRow(step.row.holder, step.row.fence, self.version)
        if not lost:
            lease.written(step, now_ms)


def test_a_paused_holder_sends_no_order_after_it_resumes() -> None:
    # No engine may load a model that the active preset does not assign to it. The holder is
    # stopped until its lease expires, another router takes the lease, and the first one resumes
    # while it still considers its lease valid.
    table = Table()
    first, second = OrderLease("r1"), OrderLease("r2")
    table.run_once(first, 0.0)
    assert first.may_send(100.0)
    now_ms = 100.0
    while not second.may_send(now_ms):
        table.run_once(second, now_ms)
        now_ms += 100.0
    assert now_ms >= LEASE_MS + ORDER_MS
    assert not first.may_send(now_ms)
    assert second.fence == first.fence + 1
    table.run_once(first, now_ms)
    assert not first.may_send(now_ms)


@given(
    st.lists(
        st.tuples(st.sampled_from([0, 1]), st.floats(1.0, 9_000.0), st.booleans()), max_size=60
    )
)
def test_at_most_one_router_may_send_despite_pauses_and_lost_writes(
    events: list[tuple[int, float, bool]],
) -> None:
    table = Table()
    leases = [OrderLease("r1"), OrderLease("r2")]
    now_ms = 0.0
    for actor, wait_ms, lost in events:
        now_ms += wait_ms
        table.run_once(leases[actor], now_ms, lost=lost)
        assert sum(lease.may_send(now_ms) for lease in leases) <= 1


def test_engines_are_drained_then_loaded_then_accepting() -> None:
    config = make_config({"e0": "mb"})
    fine = {f"e{n}": Observed(True, "ma") for n in range(4)}
    assert plan_orders(config, fine) == [Order("e0", False)]
    draining = {**fine, "e0": Observed(True, "ma", accepting=False, in_flight=2)}
    assert plan_orders(config, draining) == []
    empty = {**fine, "e0": Observed(True, "ma", accepting=False)}
    assert plan_orders(config, empty) == [Order("e0", False, "mb")]
    loading = {**fine, "e0": Observed(True, "ma", accepting=False, loading=True)}
    assert plan_orders(config, loading) == []
    loaded = {**fine, "e0": Observed(True, "mb", accepting=False)}
    assert plan_orders(config, loaded) == [Order("e0", True)]
    assert plan_orders(config, {**fine, "e0": Observed(True, "mb")}) == []


@given(
    st.dictionaries(st.sampled_from(["e0", "e1", "e2", "e3"]), st.just("mb")),
    st.integers(1, 3),
)
def test_unavailable_engines_stay_within_the_limit_of_a_service(
    loads: dict[str, str], limit: int
) -> None:
    config = make_config(loads, limit)
    engines = {f"e{n}": Observed(True, "ma") for n in range(4)}
    for _ in range(40):
        for order in plan_orders(config, engines):
            state = engines[order.endpoint]
            model = order.model or state.model
            engines[order.endpoint] = state._replace(accepting=order.accepting, model=model)
        assert sum(1 for state in engines.values() if not state.accepting) <= limit
    assert {name for name, state in engines.items() if state.model == "mb"} == set(loads)
    assert all(state.accepting for state in engines.values())


def test_an_engine_that_restarted_with_its_old_model_is_loaded_again() -> None:
    # An engine is loaded, then replaced, and restarts with its original model.
    config = make_config({"e0": "mb"})
    engines = {f"e{n}": Observed(True, "ma") for n in range(4)}
    engines["e0"] = Observed(True, "mb")
    assert plan_orders(config, engines) == []
    engines["e0"] = Observed(True, "ma")
    assert plan_orders(config, engines) == [Order("e0", False)]
