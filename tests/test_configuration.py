"""Configuration: changes, derived data, monotonic versions."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_core.config_follower import ConfigFollower, QueryPeer, QueryStore, encode_change
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change, EntryName, EntryPut
from tamarack_core.dispatch_messages import ShardKey

names = st.sampled_from(["n0", "n1", "n2", "n3"])
puts = st.one_of(
    st.builds(
        lambda name, keys: EntryPut("workspace", name, {"key_hashes": [k * 64 for k in keys]}),
        names,
        st.lists(st.sampled_from("ab"), max_size=2, unique=True),
    ),
    st.builds(
        lambda name, model: EntryPut("service", name, {"kind": "model", "model": model}),
        names,
        st.sampled_from(["m0", "m1"]),
    ),
    st.builds(
        lambda name, service, slots: EntryPut(
            "endpoint",
            name,
            {"service": service, "address": "a:1", "failure_domain": "d", "slots": slots},
        ),
        names,
        names,
        st.integers(1, 3),
    ),
    st.builds(
        lambda name, loads: EntryPut("preset", name, {"loads": loads}),
        names,
        st.dictionaries(names, st.sampled_from(["m0", "m1"])),
    ),
)
deletes = st.builds(
    EntryName, st.sampled_from(["workspace", "service", "endpoint", "preset"]), names
)
steps = st.tuples(st.lists(puts, max_size=3), st.lists(deletes, max_size=2), names)


@settings(max_examples=150, deadline=None)
@given(st.lists(steps, max_size=12))
def test_reused_derived_data_equals_a_full_rebuild(
    history: list[tuple[list[EntryPut], list[EntryName], str]],
) -> None:
    config = Configuration()
    for put, delete, preset in history:
        change = Change(config.version + 1, "c", "t", 0, put, delete, preset)
        for service in ("n0", "n1", "n2", "n3"):
            config.shard_endpoints(ShardKey(service, 0), 1)
        config = config.apply(change)
        rebuilt = Configuration.restore(config.snapshot())
        assert config.models == rebuilt.models
        for service in ("n0", "n1", "n2", "n3"):
            assert config.endpoints_of(service) == rebuilt.endpoints_of(service)
            for number in range(4):
                shard = ShardKey(service, number)
                assert config.shard_endpoints(shard, 1) == rebuilt.shard_endpoints(shard, 1)
            assert config.policy(service) == rebuilt.policy(service)


def change(version: int) -> bytes:
    put = EntryPut("workspace", f"w{version}", {"key_hashes": []})
    return encode_change(Change(version, f"c{version}", "t", 0, [put], [], ""))


@given(st.lists(st.lists(st.integers(1, 12), max_size=6), max_size=20))
def test_a_version_never_decreases_for_any_order_of_changes(
    batches: list[list[int]],
) -> None:
    follower = ConfigFollower()
    for batch in batches:
        before = follower.config.version
        follower.apply_changes([change(number) for number in batch])
        assert follower.config.version >= before
        assert len(follower.config.entries("workspace")) == follower.config.version


def test_a_cold_router_is_not_ready_from_an_old_snapshot_alone() -> None:
    # A replaced router must not revert an accepted change: it starts cold, loads a snapshot, and
    # the store becomes unavailable. Only the head version of the store or of a peer shows how old
    # the snapshot is.
    source = ConfigFollower()
    source.apply_changes([change(number) for number in range(1, 6)])
    cold = ConfigFollower()
    cold.restore(source.config)
    assert not cold.ready
    cold.peer_version("r2", 7)
    assert not cold.ready
    assert cold.next_query(0.0, store_up=False) == QueryPeer("r2", 5)
    cold.apply_changes([change(6), change(7)])
    assert cold.ready


def test_a_lagging_router_queries_another_peer_after_no_answer() -> None:
    follower = ConfigFollower()
    follower.apply_changes([change(1)])
    follower.peer_version("r2", 3)
    follower.peer_version("r3", 3)
    first = follower.next_query(0.0, store_up=False)
    second = follower.next_query(1_000.0, store_up=False)
    assert isinstance(first, QueryPeer) and isinstance(second, QueryPeer)
    assert first.router != second.router


def test_a_cold_router_with_a_store_reads_it_first() -> None:
    follower = ConfigFollower()
    follower.store_head(4)
    assert follower.next_query(0.0, store_up=True) == QueryStore(0)


def test_every_fault_of_a_change_is_found() -> None:
    faults = Configuration().check(
        [
            EntryPut("workspace", "UPPER", {"key_hashes": ["short"], "extra": 1}),
            EntryPut("service", "s", {"kind": "other", "deadline_ms": -1}),
            EntryPut("nothing", "x", {}),
            EntryPut("endpoint", "e", {"service": "s"}),
        ],
        [EntryName("preset", "gone")],
    )
    assert {fault.path for fault in faults} == {
        "workspace/UPPER",
        "workspace/UPPER/extra",
        "service/s/kind",
        "service/s/deadline_ms",
        "nothing/x",
        "endpoint/e/address",
        "endpoint/e/failure_domain",
        "preset/gone",
    }
