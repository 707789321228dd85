"""Quarantine of requests that crash endpoints, in a simulated fleet and step by step."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_bench.quarantine_model import ModelOptions, ModelResult, QuarantineModel
from tamarack_core.crash_evidence import DECISION_DELAY_MS, FORGET_MS, MOST_SUSPECTS_OF_ONE
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine import MANY_QUARANTINED, Quarantine, Treatment
from tamarack_core.quarantine_entries import MOST_QUARANTINED_OF_ONE
from tamarack_core.quarantine_records import LONGEST_PAUSE_MS, QuarantineBounds
from tamarack_core.termination_evidence import InterruptedRequest, QuarantinedRequest, Termination
from tamarack_core.workspace_table import WorkspaceTable

LATE_MOST = 3
"""Allowed arrivals of one request later than 3 s after its third crash."""

MASS_MS = (5_000.0, 8_000.0, 11_000.0, 14_000.0, 17_000.0)


class Steps:
    """A quarantine with a manually advanced clock."""

    def __init__(self, *, tries: bool = True) -> None:
        self.now_ms = 1_000.0
        self.quarantine = Quarantine(lambda fingerprint: tries)
        self._crashes = 0

    def crash(
        self, *aboard: str, long_running: tuple[str, ...] = (), together: bool = False
    ) -> list[str]:
        """Crash an endpoint with the given requests; returns those quarantined by the decision."""
        self._crashes += 1
        requests = [InterruptedRequest(f, "shop", True) for f in aboard] + [
            InterruptedRequest(f, "shop", False) for f in long_running
        ]
        end = Termination(f"e{self._crashes}", self._crashes, together, requests)
        self.quarantine.ended(end, self.now_ms)
        self.now_ms += DECISION_DELAY_MS
        return [decision.fingerprint for decision in self.quarantine.decide_due(self.now_ms)]

    def treatment_of(self, fingerprint: str, workspace: str = "shop") -> Treatment:
        return self.quarantine.treatment_of(fingerprint, workspace, self.now_ms).treatment


# simulated fleet


def simulate(**options: object) -> ModelResult:
    return QuarantineModel(ModelOptions(**options)).run()  # type: ignore[arg-type]


@pytest.mark.parametrize("seed", range(1, 9))
@pytest.mark.parametrize(
    ("routers", "engines", "per_s", "message_latency_ms"),
    [(6, 9, 140.0, 30.0), (195, 78, 400.0, 250.0)],
)
def test_two_culprits_are_quarantined_and_few_unrelated_requests(
    routers: int, engines: int, per_s: float, message_latency_ms: float, seed: int
) -> None:
    """Failure: engines crash all day, or unrelated requests are refused permanently.

    Two requests crash any engine and arrive twice a second each, at any router. Each crash
    interrupts some 30 others, which are retried and then interrupted by the next crash. The first
    failure results if no evidence is kept, the second if every request that three crashes
    interrupted is quarantined.
    """
    result = simulate(
        routers=routers,
        engines=engines,
        per_s=per_s,
        message_latency_ms=message_latency_ms,
        seconds=20.0,
        seed=seed,
    )
    assert max(result.late_arrivals) <= LATE_MOST
    # Two culprits cost six crashes, three each; the others are those where both were present.
    assert result.ends <= 18
    assert result.quarantined <= 2


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_request_is_quarantined_after_a_mass_failure(seed: int) -> None:
    """Failure: requests are refused for minutes after a failure of instances.

    Half of the engines crash five times in a row; callers retry at once and are interrupted
    by each of these crashes, which must not count like crashes caused by a request.
    """
    result = simulate(culprits=0, failures_ms=MASS_MS, seconds=25.0, seed=seed)
    assert result.quarantined == 0
    assert result.served > 0.99


@pytest.mark.parametrize("seed", range(1, 6))
def test_a_culprit_is_found_among_repeats_of_a_popular_request(seed: int) -> None:
    result = simulate(culprits=1, hot_fraction=0.3, seconds=20.0, seed=seed)
    assert max(result.late_arrivals) <= LATE_MOST
    assert result.quarantined == 0


@pytest.mark.parametrize("rows", [True, False])
@pytest.mark.parametrize("seed", range(1, 6))
def test_replaced_routers_restore_the_quarantine_from_the_store(seed: int, rows: bool) -> None:
    """Failure: after all routers were replaced, a quarantined request crashes endpoints again.

    All routers are killed at once, and the quarantine is known only to them. Without the store's
    rows, as during an outage of the store, it crashes three more endpoints.
    """
    model = QuarantineModel(ModelOptions(culprits=1, seconds=30.0, seed=seed))
    crashes_before = []

    def replace() -> None:
        crashes_before.append(len(model.ended_ms))
        for number in range(len(model.routers)):
            model.replace_router(number, rows=rows)

    model.at(15_000.0, replace)
    result = model.run()
    assert max(result.late_arrivals) <= (0 if rows else LATE_MOST)
    if rows:
        assert len(model.ended_ms) == crashes_before[0]


def test_a_replaced_router_receives_the_quarantine_from_the_others() -> None:
    model = QuarantineModel(ModelOptions(culprits=1, seconds=30.0))
    model.at(10_000.0, lambda: model.replace_router(0))
    assert max(model.run().late_arrivals) == 0


# step by step


def test_a_single_crash_quarantines_no_request() -> None:
    steps = Steps()
    assert steps.crash("a", "b", "c") == []
    assert steps.treatment_of("a") is Treatment.FREE


def test_the_only_suspect_at_its_third_crash_is_quarantined() -> None:
    steps = Steps()
    assert steps.crash("a", "b") == []
    assert steps.crash("a", "c") == []
    assert steps.treatment_of("a") is Treatment.ISOLATED
    assert steps.treatment_of("b") is Treatment.FREE
    assert steps.crash("a", "d") == ["a"]
    assert steps.treatment_of("a") is Treatment.QUARANTINED
    assert steps.treatment_of("d") is Treatment.FREE


def test_two_suspects_at_one_crash_are_not_quarantined_until_one_is_alone() -> None:
    steps = Steps()
    steps.crash("a", "b")
    steps.crash("a", "b")
    assert steps.crash("a", "b") == []
    assert steps.crash("a") == ["a"]
    assert steps.treatment_of("b") is Treatment.ISOLATED
    assert steps.quarantine.answered("b")
    assert steps.treatment_of("b") is Treatment.FREE


def test_two_suspects_that_always_run_together_are_both_quarantined_eventually() -> None:
    """Failure: two such requests, always sent together by one caller, crash endpoints forever."""
    steps = Steps()
    decisions: list[str] = []
    ends = 0
    while not decisions:
        decisions = steps.crash("a", "b")
        ends += 1
    assert sorted(decisions) == ["a", "b"]
    assert ends <= 6


def test_an_answer_also_clears_from_undecided_crashes() -> None:
    steps = Steps()
    steps.crash("a")
    steps.crash("a")
    steps.quarantine.ended(
        Termination("e9", 9, False, [InterruptedRequest("a", "shop", True)]), steps.now_ms
    )
    assert steps.treatment_of("a") is Treatment.WAIT
    assert steps.quarantine.answered("a")
    assert steps.quarantine.decide_due(steps.now_ms + DECISION_DELAY_MS) == []
    assert steps.treatment_of("a") is Treatment.FREE
    assert not steps.quarantine.watching


def test_a_long_running_request_counts_less_beside_a_new_one() -> None:
    steps = Steps()
    for number in range(QuarantineBounds().ends):
        steps.crash(f"new{number}", long_running=("old",))
    assert steps.treatment_of("old") is Treatment.FREE


def test_a_request_that_crashes_endpoints_late_is_quarantined_if_it_was_alone() -> None:
    steps = Steps()
    decisions = [steps.crash(long_running=("old",)) for _ in range(3)]
    assert decisions == [[], [], ["old"]]


def test_coinciding_crashes_quarantine_no_request() -> None:
    steps = Steps()
    assert [steps.crash("a", together=True) for _ in range(5)] == [[]] * 5


def test_reports_of_several_routers_count_as_one_crash() -> None:
    steps = Steps()
    for number in range(4):
        end = Termination(
            "e1",
            1,
            False,
            [InterruptedRequest("a", "shop", True), InterruptedRequest(f"b{number}", "shop", True)],
        )
        steps.quarantine.ended(end, steps.now_ms)
    steps.quarantine.decide_due(steps.now_ms + DECISION_DELAY_MS)
    # A report after the decision does not count again.
    steps.quarantine.ended(
        Termination("e1", 1, False, [InterruptedRequest("a", "shop", True)]), steps.now_ms + 900.0
    )
    assert steps.quarantine.decide_due(steps.now_ms + 900.0 + DECISION_DELAY_MS) == []
    assert [reading.ends for reading in steps.quarantine.suspects(9)] == [1] * 5


def test_a_repeat_waits_while_a_suspect_runs_isolated() -> None:
    steps = Steps()
    steps.crash("a")
    steps.crash("a")
    key = EndpointIncarnation("e7", 7)
    steps.quarantine.begun("a", key)
    assert steps.treatment_of("a") is Treatment.WAIT
    steps.quarantine.finished("a", key)
    assert steps.treatment_of("a") is Treatment.ISOLATED


def test_suspects_run_at_different_endpoints() -> None:
    steps = Steps()
    keys = [EndpointIncarnation(f"e{n}", n) for n in range(3)]
    taken = []
    for name in "abc":
        key = steps.quarantine.choose_endpoint(name, keys)
        steps.quarantine.begun(name, key)
        taken.append(key)
    assert sorted(taken) == keys


def test_a_quarantined_request_is_tried_again_after_growing_pauses() -> None:
    """Failure: a harmless request is refused forever, or a harmful one crashes endpoints all day.

    The first results from decisions that never expire, the second from pauses that do not grow.
    """
    steps = Steps()
    for _ in range(3):
        steps.crash("a")
    pauses = []
    for _ in range(5):
        since_ms = steps.now_ms
        while steps.treatment_of("a") is Treatment.QUARANTINED:
            steps.now_ms += 1_000.0
        pauses.append(steps.now_ms - since_ms)
        assert steps.treatment_of("a") is Treatment.QUARANTINED, "one trial at a time"
        assert steps.crash("a", "beside") == ["a"]
        assert steps.treatment_of("beside") is Treatment.FREE
    assert pauses[0] <= QuarantineBounds().first_pause_ms
    assert all(after >= 4 * before for before, after in zip(pauses, pauses[1:4], strict=False))
    assert max(pauses) <= LONGEST_PAUSE_MS
    while steps.treatment_of("a") is Treatment.QUARANTINED:
        steps.now_ms += 60_000.0
    assert steps.quarantine.answered("a")
    assert steps.treatment_of("a") is Treatment.FREE


def test_only_one_router_tries_a_quarantined_request() -> None:
    steps = Steps(tries=False)
    for _ in range(3):
        steps.crash("a")
    steps.now_ms += 10 * LONGEST_PAUSE_MS
    assert steps.treatment_of("a") is Treatment.QUARANTINED


def test_requests_of_a_workspace_with_many_culprits_are_isolated_at_once() -> None:
    steps = Steps()
    for number in range(MANY_QUARANTINED):
        steps.quarantine.add(QuarantinedRequest(f"f{number}", "shop", 0), steps.now_ms)
    assert steps.treatment_of("new") is Treatment.ISOLATED
    assert steps.treatment_of("new", "another") is Treatment.FREE
    assert steps.crash("new") == ["new"]


def test_only_requests_deleted_from_the_store_are_released() -> None:
    steps = Steps()
    steps.quarantine.add(QuarantinedRequest("stored", "shop", 0), steps.now_ms, stored=True)
    steps.quarantine.add(QuarantinedRequest("told", "shop", 0), steps.now_ms)
    assert steps.quarantine.retain_stored(set()) == ["stored"]
    assert steps.treatment_of("told") is Treatment.QUARANTINED
    assert steps.quarantine.unstored() == [QuarantinedRequest("told", "shop", 0)]


def test_a_suspect_expires() -> None:
    steps = Steps()
    steps.crash("a")
    steps.crash("a")
    steps.now_ms += FORGET_MS + 1.0
    steps.crash("b")
    assert steps.treatment_of("a") is Treatment.FREE


def test_a_workspace_evicts_only_its_own_entries() -> None:
    """Failure: a quarantined request is sent on after ten thousand others of another workspace.

    This happens if the table has only one limit for all workspaces.
    """
    steps = Steps()
    steps.quarantine.add(QuarantinedRequest("kept", "small", 0), steps.now_ms)
    for number in range(10_000):
        steps.quarantine.add(QuarantinedRequest(f"f{number}", "flood", 0), steps.now_ms)
    assert steps.treatment_of("kept", "small") is Treatment.QUARANTINED
    assert len(steps.quarantine.entries(steps.now_ms)) == 1 + MOST_QUARANTINED_OF_ONE
    assert len(steps.quarantine.evicted) == 10_000 - MOST_QUARANTINED_OF_ONE
    requests = [InterruptedRequest(f"s{number}", "flood", True) for number in range(10_000)]
    steps.quarantine.ended(
        Termination("e1", 1, False, [*requests, InterruptedRequest("x", "small", True)]), 0.0
    )
    assert len(steps.quarantine.suspects(20_000)) == 1 + MOST_SUSPECTS_OF_ONE


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 30), st.sampled_from("abcd")), max_size=80))
def test_a_table_keeps_its_limits_and_spares_small_workspaces(
    puts: list[tuple[int, str]],
) -> None:
    table: WorkspaceTable[int] = WorkspaceTable(most=12, most_of_one=8)
    for number, workspace in puts:
        before = {w: table.count(w) for w in "abcd"}
        for evicted in table.put(f"{workspace}{number}", workspace, number):
            owner = evicted[0]
            assert before[owner] >= max(before.values()) or owner == workspace
        assert len(table) <= 12
        assert all(table.count(w) <= 8 for w in "abcd")
        assert sum(table.count(w) for w in "abcd") == len(table)
