"""Fair shares of workspaces whose demand exceeds the capacity, with many routers and engines."""

from __future__ import annotations

import heapq
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from share_simulation import Demand, Outcome, Scenario, Simulation

from tamarack_core.admission import Admission, admit
from tamarack_core.workspace_shares import WorkspaceShares

HEAVY = {
    "flood": Demand(6e6),
    "wide": Demand(2e6),
    "squeezed": Demand(1.5e6),
    "fourth": Demand(1.2e6),
}
SMALL = {f"small-{number}": Demand(40_000.0, parts=5) for number in range(5)}

NOMINAL = 400_000.0
"""Configured tokens per second: a fifth of what the engines serve with a high cache hit rate."""


def run(seed: int, *, restarted: int = 0) -> Outcome:
    """Simulate six seconds after a warm-up of four; routers restart two seconds into them."""
    scenario = Scenario(
        {**HEAVY, **SMALL},
        NOMINAL,
        engines=16,
        routers=8,
        restarted=restarted,
        restart_ms=6_000.0,
        length_ms=10_000.0,
        seed=seed,
    )
    return Simulation(scenario, from_ms=4_000.0, until_ms=10_000.0).run()


@pytest.mark.parametrize(("seed", "restarted"), [(1, 0), (2, 0), (1, 2)])
def test_no_workspace_gets_less_than_half_of_anothers_service(seed: int, restarted: int) -> None:
    """Failure: one workspace is refused for six seconds, while another gets over twice as much.

    Four workspaces, one with the highest demand, ask for several times the capacity and have
    received several times their configured share. If the bound on the queue falls with the excess
    over that share down to one minimum for all four, the highest demand is admitted most, because
    among many engines some queue is always shorter than the minimum. With standings of 1.6 to 6.5
    all four were refused as `beyond its share`: the one at 5 got 9.2 million tokens in six seconds,
    the one at 2 got 4.3 million of 17.9 million requested, while a quarter of the engines got a
    third of the mean number of requests.
    """
    outcome = run(seed, restarted=restarted)
    assert outcome.fairness(list(HEAVY)) >= 0.5
    assert outcome.fairness(list(SMALL)) >= 0.5


def test_few_requests_are_refused_while_engines_are_idle() -> None:
    """Failure: callers are refused as beyond their shares while many engines are idle.

    Three workspaces together ask for about the capacity, each for more than its configured share.
    The bound on the queue falls with the excess over that share, even if no other workspace waits
    and engines are idle. Of 13 refusals in two routers' logs nine occurred while the queue of some
    engine was below 5 ms; the median queue of the chosen engine was 294 ms, with 139 ms allowed.
    """
    workspaces = {"a": Demand(1e6), "b": Demand(8e5), "c": Demand(3e5), **SMALL}
    parts = []
    for seed in range(1, 5):
        scenario = Scenario(workspaces, NOMINAL, engines=16, routers=8, length_ms=10_000.0)
        played = Simulation(scenario._replace(seed=seed), from_ms=4_000.0, until_ms=10_000.0).run()
        assert played.fairness(["a", "b", "c"]) >= 0.75
        assert played.fairness(list(SMALL)) >= 0.65
        parts.append(sum(played.served.values()) / sum(played.asked.values()))
    # It was 0.73 with the failure, although the engines had capacity for all requests.
    assert sum(parts) / len(parts) >= 0.82


MANY_ENGINES = 78
RATES = (3.7, 1.8, 1.5, 1.2, 1.0, 0.85, 0.73, 0.6, 0.5, 0.37, 0.37, 0.3)
"""Demand of twelve workspaces in million tokens per second; in total 1.7 times the capacity."""


@pytest.mark.parametrize("report_interval_ms", [20.0, 100.0])
@pytest.mark.parametrize("seed", [1, 2])
def test_shares_are_fair_among_many_engines(seed: int, report_interval_ms: float) -> None:
    """Failure: of many engines one is always idle, and the highest demand finds it most often."""
    large = {f"large-{number}": Demand(rate * 1e6) for number, rate in enumerate(RATES)}
    small = {f"small-{number}": Demand(40_000.0, parts=3) for number in range(50)}
    nominal = NOMINAL * MANY_ENGINES / 16
    scenario = Scenario({**large, **small}, nominal, MANY_ENGINES, 8, length_ms=10_000.0)
    scenario = scenario._replace(seed=seed, report_interval_ms=report_interval_ms)
    outcome = Simulation(scenario, from_ms=4_000.0, until_ms=10_000.0).run()
    assert outcome.fairness(list(large)) >= 0.5
    asked, served = (
        sum(tokens.get(name, 0.0) for name in small) for tokens in (outcome.asked, outcome.served)
    )
    assert served >= 0.5 * asked


TOKENS = 4_000.0
TOKENS_PER_MS = 50.0
ENGINES = 2
FROM_MS, UNTIL_MS = 4_000.0, 10_000.0


class Queueing:
    """Two engines and one router without prefix caches, so that only admission control matters."""

    def __init__(self, asks: list[float], nominal: float) -> None:
        self._rates = [part * ENGINES * TOKENS_PER_MS / TOKENS for part in asks]
        self._nominal = nominal * ENGINES * TOKENS_PER_MS * 1000
        self._shares = WorkspaceShares(FROM_MS)
        self._free_ms = [0.0] * ENGINES
        self._random = random.Random(1)
        self._events: list[tuple[float, int, float | None]] = []
        self.asked, self.served = [0.0] * len(asks), [0.0] * len(asks)

    def run(self) -> None:
        """Run the simulation to its end."""
        for number in range(len(self._rates)):
            self._schedule_arrival(number, 0.0)
        while self._events[0][0] < UNTIL_MS:
            now_ms, number, received_ms = heapq.heappop(self._events)
            if received_ms is None:
                self._schedule_arrival(number, now_ms)
                self._shares.record_demand(str(number), TOKENS, now_ms)
                self.asked[number] += TOKENS * (now_ms >= FROM_MS)
            self._decide(number, now_ms, now_ms if received_ms is None else received_ms)

    def _schedule_arrival(self, number: int, now_ms: float) -> None:
        gap_ms = self._random.expovariate(self._rates[number])
        heapq.heappush(self._events, (now_ms + gap_ms, number, None))

    def _decide(self, number: int, now_ms: float, received_ms: float) -> None:
        reading_ms = TOKENS / TOKENS_PER_MS
        engine = min(range(ENGINES), key=lambda engine: self._free_ms[engine])
        begins_ms = max(now_ms, self._free_ms[engine])
        position = self._shares.position(str(number), self._nominal, now_ms)
        decision = admit(
            first_token_ms=begins_ms - now_ms + reading_ms,
            unavoidable_ms=reading_ms,
            aim_ms=1_000.0,
            shortest_aim_ms=1_000.0,
            waited_ms=now_ms - received_ms,
            left_ms=10_000.0,
            retried=False,
            draw=0.0,
            **position._asdict(),
        )
        if decision.admission is Admission.HELD:
            heapq.heappush(self._events, (now_ms + decision.wait_ms, number, received_ms))
        elif decision.admission is Admission.ADMITTED:
            self._free_ms[engine] = begins_ms + reading_ms
            self.served[number] += TOKENS * (now_ms >= FROM_MS)
            self._shares.record_service(str(number), TOKENS, now_ms)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(st.lists(st.floats(0.05, 3.0), min_size=1, max_size=6), st.floats(0.1, 1.0))
def test_capacity_is_used_and_shares_are_fair(asks: list[float], nominal: float) -> None:
    """Failure: a workspace gets less than half of its demand or of another one's service.

    Or engines run out of work while callers are refused. Demands are fractions of the capacity, and
    `nominal` is the configured throughput as a fraction of it.
    """
    played = Queueing(asks, nominal)
    played.run()
    best = max(played.served)
    for wanted, got in zip(played.asked, played.served, strict=True):
        # A tolerance of three requests, for the start of the measured six seconds.
        assert got + 3 * TOKENS >= 0.5 * min(wanted, best)
    capacity = ENGINES * TOKENS_PER_MS * (UNTIL_MS - FROM_MS)
    assert sum(played.served) >= 0.85 * min(capacity, sum(played.asked))


def test_positions_are_defined_without_a_configured_throughput() -> None:
    """Failure: callers and metrics requests get no answer, and their connections stay open.

    Without a configured throughput, one workspace has been served and another has only asked, so
    that its service, the divisor of the lead, is zero.
    """
    shares = WorkspaceShares(4_000.0, 0.0)
    shares.record_demand("a", 1_000, 5_000.0)
    shares.record_service("a", 100, 5_000.0)
    shares.record_demand("b", 1_000, 5_000.0)
    assert shares.position("a", 0.0, 5_100.0).lead >= 1.0


@pytest.mark.parametrize("part", [1.05, 1.15, 1.25])
def test_a_workspace_with_steady_demand_is_always_backlogged(part: float) -> None:
    """Failure: a workspace with seven times the service of another has no lead half of the time.

    The other one has a steady demand just above the level. Its recent demand comes from slices that
    sometimes cover only 750 ms, and must not be divided by a whole second.
    """
    shares, now_ms = WorkspaceShares(4_000.0, 0.0), 10_000.0
    leads = []
    while now_ms < 20_000.0:
        now_ms += 10
        shares.record_demand("large", 2_000, now_ms)
        shares.record_service("large", 700, now_ms)
        shares.record_demand("steady", 400 * part, now_ms)
        shares.record_service("steady", 100, now_ms)
        if now_ms > 15_000:
            leads.append(shares.position("large", 20_000, now_ms).lead)
    assert min(leads) > 1.5


def test_positions_are_not_computed_from_all_workspaces_for_each_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: a router with 6,800 workspaces decides on at most 50 requests a second.

    A tenth of them ask for more than their share. This happens if the equal shares and the
    least-served workspace are computed from all workspaces for each request.
    """
    shares = WorkspaceShares(4_000.0, 0.0)
    for number in range(6_800):
        shares.count(f"w{number}", 40_000.0 if number % 10 == 0 else 100.0, 50.0, 5_000.0)
    first = shares.position("w0", 1e6, 5_000.0)
    calls = []
    asks_now = WorkspaceShares._asks_now
    monkeypatch.setattr(
        WorkspaceShares, "_asks_now", lambda *args: calls.append(args) or asks_now(*args)
    )
    for number in range(100):
        assert shares.position("w0", 1e6, 5_000.0 + number) == first
    assert not calls
    shares.position("w0", 1e6, 6_000.0)
    assert calls
