"""What routers remember of the software versions at which streams began, and what they conclude."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.clock import ManualClock
from tamarack_core.recent_table import MAX_ENTRIES, RecentTable
from tamarack_core.software_versions import SoftwareVersions
from tamarack_core.stall_detector import STALL_MS
from tamarack_core.stream_origins import (
    BegunStreams,
    Origin,
    OriginAnswer,
    StreamOrigins,
    by_origin,
    conclude,
)

RETENTION_MS = 1_000.0


def answer(
    known: str | None = None, *, sole: str | None = None, several: bool = False
) -> OriginAnswer:
    return OriginAnswer("r2", "r1", 1, known, sole, several)


def versions_at(clock: ManualClock) -> SoftwareVersions:
    return SoftwareVersions(clock, lambda: RETENTION_MS)


def pass_time(clock: ManualClock, versions: SoftwareVersions, span_ms: float) -> None:
    """Let time pass for a router that runs and is in touch."""
    end_ms = clock.now_ms + span_ms
    while clock.now_ms < end_ms:
        clock.advance(min(500.0, end_ms - clock.now_ms))
        versions.observe(in_touch=True)


# the only version of a service


def test_the_only_version_is_certain_once_no_stream_can_be_older_than_the_view() -> None:
    """Failure: a router that has just started takes the version that it sees for the only one."""
    clock = ManualClock()
    versions = versions_at(clock)
    assert versions.sole("pool") is None
    versions.update({"pool": {"v1"}})
    pass_time(clock, versions, RETENTION_MS - 1.0)
    assert versions.sole("pool") is None
    pass_time(clock, versions, 1.0)
    assert versions.sole("pool") == "v1"
    assert versions.sole("other") is None


def test_a_version_counts_for_as_long_as_its_streams_may_go_on() -> None:
    """Failure: the last endpoint of a version leaves, and its streams go on at another one."""
    clock = ManualClock()
    versions = versions_at(clock)
    versions.update({"pool": {"v1", "v2"}})
    pass_time(clock, versions, 5 * RETENTION_MS)
    versions.update({"pool": {"v2"}})
    pass_time(clock, versions, RETENTION_MS - 1.0)
    assert versions.recent("pool") == {"v1", "v2"}
    assert versions.sole("pool") is None
    pass_time(clock, versions, 1.0)
    assert versions.sole("pool") == "v2"


def test_a_version_that_another_router_tells_of_counts() -> None:
    """Failure: a router whose list is behind goes on with another router's stream."""
    clock = ManualClock()
    versions = versions_at(clock)
    versions.update({"pool": {"v1"}})
    pass_time(clock, versions, RETENTION_MS)
    assert versions.sole("pool") == "v1"
    versions.see("pool", "v2")
    assert versions.sole("pool") is None


@pytest.mark.parametrize("fault", ["stands still", "is out of touch"])
def test_a_router_that_may_have_missed_a_version_is_not_certain(fault: str) -> None:
    """Failure: a router that was frozen or cut off goes on by an old list of endpoints."""
    clock = ManualClock()
    versions = versions_at(clock)
    announced: list[str] = []
    versions.on_uncertain = announced.append
    versions.update({"pool": {"v1"}})
    pass_time(clock, versions, RETENTION_MS)
    assert versions.sole("pool") == "v1"
    if fault == "stands still":
        clock.advance(STALL_MS + 1.0)
        assert versions.sole("pool") is None
        versions.observe(in_touch=True)
    else:
        versions.observe(in_touch=False)
    assert announced == ["pool"]
    assert versions.sole("pool") is None
    pass_time(clock, versions, RETENTION_MS)
    assert versions.sole("pool") == "v1"
    assert announced == ["pool"]


def test_the_second_version_of_a_service_is_announced_once() -> None:
    """Failure: streams that began before the second version came are told to nobody."""
    clock = ManualClock()
    versions = versions_at(clock)
    announced: list[str] = []
    versions.on_uncertain = announced.append
    versions.update({"pool": {"v1"}, "web": {"v1"}})
    versions.update({"pool": {"v1"}, "web": {"v1"}})
    assert announced == []
    versions.update({"pool": {"v1", "v2"}, "web": {"v1"}})
    versions.update({"pool": {"v1", "v2"}, "web": {"v1"}})
    assert announced == ["pool"]
    versions.see("web", "v3")
    assert announced == ["pool", "web"]


@given(
    st.lists(
        st.tuples(st.floats(0.0, 3_000.0), st.sets(st.sampled_from(["v1", "v2", "v3"]))), min_size=1
    ),
    st.floats(0.0, 3_000.0),
)
def test_no_version_is_certain_while_another_one_was_listed_lately(
    changes: list[tuple[float, set[str]]], last_ms: float
) -> None:
    clock = ManualClock()
    versions = versions_at(clock)
    listed: list[tuple[float, set[str]]] = []
    for pause_ms, names in changes:
        versions.update({"pool": names})
        listed.append((clock.now_ms, names))
        pass_time(clock, versions, pause_ms)
    pass_time(clock, versions, last_ms)
    sole = versions.sole("pool")
    ends_ms = [at_ms for at_ms, _ in listed[1:]] + [clock.now_ms]
    recent = [
        names
        for (_, names), end_ms in zip(listed, ends_ms, strict=True)
        if end_ms > clock.now_ms - RETENTION_MS
    ]
    if sole is not None:
        assert set().union(*recent) == {sole}


# what is remembered


def test_each_new_version_is_told_at_once() -> None:
    """Guards against streams of a version that no row names yet when all routers are lost."""
    clock = ManualClock()
    versions = SoftwareVersions(clock, lambda: RETENTION_MS)
    changes: list[int] = []
    versions.on_change = lambda: changes.append(1)
    for number, listed in enumerate(({"v1"}, {"v1"}, {"v1", "v2"}, {"v2"}, {"v2", "v3"})):
        versions.update({"pool": listed})
        assert len(changes) == (1, 1, 2, 2, 3)[number]
    versions.see("pool", "v1")
    assert len(changes) == 3
    versions.see("pool", "v4")
    assert len(changes) == 4
    versions.observe(in_touch=False)
    assert len(changes) == 5


def test_an_origin_is_remembered_for_as_long_as_its_stream_may_go_on() -> None:
    """Failure: a stream's version is forgotten before its caller takes it up."""
    clock = ManualClock()
    origins = StreamOrigins(clock, lambda: RETENTION_MS)
    clock.advance(0.9 * RETENTION_MS)
    assert origins.record_own("a", Origin("pool", "v1"))
    assert not origins.record_own("a", Origin("pool", "v1"))
    origins.record_told(BegunStreams("pool", "v2", ["b", "c"]))
    for _ in range(9):
        clock.advance(0.1 * RETENTION_MS)
        assert origins.find("a") == Origin("pool", "v1")
        assert origins.find("c") == Origin("pool", "v2")
    assert origins.find("d") is None
    assert origins.own_attempts("pool") == [("a", Origin("pool", "v1"))]
    clock.advance(2 * RETENTION_MS)
    assert origins.find("a") is None
    assert len(origins) == 0


def test_an_attempt_that_is_sent_again_before_its_first_event_has_the_newest_origin() -> None:
    """Failure: a stream counts as begun at an endpoint that failed before its first event."""
    clock = ManualClock()
    origins = StreamOrigins(clock, lambda: RETENTION_MS)
    origins.record_own("a", Origin("pool", "v1"))
    clock.advance(RETENTION_MS)
    assert origins.record_own("a", Origin("pool", "v2"))
    assert origins.find("a") == Origin("pool", "v2")


def test_many_entries_are_forgotten_early() -> None:
    """Failure: callers with very many attempts exhaust a router's memory."""
    table: RecentTable[int, int] = RecentTable(ManualClock(), lambda: RETENTION_MS)
    for number in range(2 * MAX_ENTRIES):
        table[number] = number
    assert len(table) <= MAX_ENTRIES
    assert table.get(2 * MAX_ENTRIES - 1) == 2 * MAX_ENTRIES - 1


def test_origins_are_told_by_version() -> None:
    told = by_origin({"a": Origin("s", "1"), "b": Origin("s", "2"), "c": Origin("s", "1")})
    assert told == [BegunStreams("s", "1", ["a", "c"]), BegunStreams("s", "2", ["b"])]


# what follows from answers


@pytest.mark.parametrize(
    ("answers", "version"),
    [
        ([answer()], None),
        ([answer("v1"), answer(several=True)], "v1"),
        ([answer("v1"), answer(sole="v2")], "v1"),
        ([answer("v1"), answer("v2")], None),
        ([answer(sole="v1"), answer(sole="v1")], "v1"),
        ([answer(), answer(sole="v1"), answer(sole="v1")], None),
        ([answer(sole="v1"), answer(several=True)], None),
        ([answer(sole="v1"), answer(sole="v2")], None),
    ],
)
def test_a_version_follows_only_from_answers_that_agree(
    answers: list[OriginAnswer], version: str | None
) -> None:
    """Failure: a router that knows one version overrules one that knows of several."""
    assert conclude(answers, {"r2"}) == version


@pytest.mark.parametrize(("needed", "version"), [(["r2"], "v1"), (["r2", "r3"], None)])
def test_the_only_version_follows_only_from_the_answers_of_all(
    needed: list[str], version: str | None
) -> None:
    """Guards against a router that is silent, and has begun streams at another version."""
    assert conclude([answer(sole="v1")], needed) == version
    assert conclude([answer("v1")], needed) == "v1"


def test_streams_that_broke_are_forgotten_while_no_row_is_written() -> None:
    """Failure: a router's memory grows with each broken stream while the store is away."""
    clock = ManualClock()
    origins = StreamOrigins(clock, lambda: 1_000.0)
    for number in range(100):
        origins.record_own(f"a{number}", Origin("pool", "v1"))
        origins.record_ended(f"a{number}") if number % 2 else None
        clock.advance(100.0)
    assert [name for name, _ in origins.open_attempts()][-1] == "a98"
    assert len(origins.open_attempts()) <= 10
