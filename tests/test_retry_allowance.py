"""The retry budget of a fleet whose routers start, are killed and leave."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_core.retry_allowance import RetryAllowance

drawn = settings(max_examples=150, derandomize=True, deadline=None)

RATIO, SLACK, WINDOW_MS = 0.2, 56.0, 10_000.0


class Routers:
    """Some routers of a fleet, of which each retries as much as it may."""

    def __init__(self, count: int) -> None:
        self.now_ms = 1_000.0
        self.routers = [self._new(count) for _ in range(count)]
        self.requests: list[float] = []
        self.retries: list[float] = []

    def request(self, number: int) -> None:
        self.routers[number].record_request("pool", self.now_ms)
        self.requests.append(self.now_ms)

    def retry(self, number: int) -> None:
        while self.routers[number].take("pool", self.now_ms):
            self.retries.append(self.now_ms)
            self._check()

    def kill(self, number: int) -> None:
        self.routers[number] = self._new(len(self.routers))

    def add(self) -> None:
        self.routers.append(self._new(len(self.routers) + 1))
        for router in self.routers:
            router.seen(len(self.routers))

    def _new(self, routers: int) -> RetryAllowance:
        allowance = RetryAllowance(RATIO, SLACK, WINDOW_MS, started_ms=self.now_ms)
        allowance.seen(routers)
        return allowance

    def _check(self) -> None:
        retries = sum(at > self.now_ms - WINDOW_MS for at in self.retries)
        asked = sum(at > self.now_ms - 2 * WINDOW_MS for at in self.requests)
        assert retries <= RATIO * asked + SLACK


@drawn
@given(
    st.integers(1, 5),
    st.lists(
        st.tuples(
            st.sampled_from(["request", "retry all", "kill", "kill all", "kill all", "add"]),
            st.integers(0, 4),
            st.floats(0.0, 1_000.0),
        ),
        min_size=10,
        max_size=80,
    ),
)
def test_routers_that_start_do_not_renew_the_budget(
    count: int, steps: list[tuple[str, int, float]]
) -> None:
    """Guards against a service that gets a fleet's whole slack anew after each restart."""
    fleet = Routers(count)
    fleet.now_ms += 2 * WINDOW_MS
    for action, number, past_ms in steps:
        fleet.now_ms += past_ms
        number %= len(fleet.routers)
        if action == "request":
            fleet.request(number)
        elif action == "retry all":
            for each in range(len(fleet.routers)):
                fleet.retry(each)
        elif action == "kill":
            fleet.kill(number)
        elif action == "kill all":
            for each in range(len(fleet.routers)):
                fleet.kill(each)
        elif len(fleet.routers) < 12:
            fleet.add()


def test_all_routers_killed_again_and_again_stay_within_the_budget() -> None:
    """Guards against 195 repeats in ten seconds where 149 are allowed."""
    fleet = Routers(3)
    fleet.now_ms += 2 * WINDOW_MS
    for _ in range(8):
        for number in range(3):
            fleet.kill(number)
        for _ in range(20):
            fleet.now_ms += 100.0
            for number in range(3):
                fleet.request(number)
                fleet.retry(number)
    assert fleet.retries


def test_a_router_takes_no_slack_before_it_knows_how_many_share_it() -> None:
    """Guards against a router that takes the whole slack while the store has not answered yet."""
    allowance = RetryAllowance(RATIO, SLACK, WINDOW_MS, started_ms=0.0)
    assert not allowance.take("pool", 2 * WINDOW_MS)
    assert allowance.routers == 1
    allowance.seen(2)
    assert allowance.take("pool", 2 * WINDOW_MS)


def test_the_slack_of_a_started_router_is_back_after_one_window() -> None:
    """Guards against a fleet that never retries after its restart."""
    allowance = RetryAllowance(RATIO, SLACK, WINDOW_MS, started_ms=0.0)
    allowance.seen(2)
    assert not allowance.take("pool", 0.0)
    assert allowance.take("pool", WINDOW_MS / 2)
    taken = sum(allowance.take("pool", WINDOW_MS) for _ in range(100))
    assert taken >= 0.6 * SLACK / 2


def test_the_first_routers_of_a_store_have_their_slack_at_once() -> None:
    """Guards against a new fleet that retries nothing, though nobody has used its budget."""
    allowance = RetryAllowance(RATIO, SLACK, WINDOW_MS, started_ms=0.0)
    allowance.seen(2)
    assert not allowance.take("pool", 1.0)
    allowance.settle()
    assert allowance.take("pool", 1.0)
