"""The budget of bytes that all requests of a process hold."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from tamarack_core.memory_budget import HOLDER_SHARE, SMALL_BYTES, SMALL_RESERVE, MemoryBudget
from tamarack_gateway.caller_memory import CallerMemory

LIMIT = 1_000_000


def test_large_holders_leave_room_for_small_ones() -> None:
    """Guards against a few large messages for which small requests are refused."""
    budget = MemoryBudget(LIMIT)
    large = [budget.holding() for _ in range(50)]
    for holding in large:
        size = SMALL_BYTES + 1
        while holding.resize(size):
            size *= 2
    small = [budget.holding() for _ in range(int(SMALL_RESERVE * LIMIT / SMALL_BYTES))]
    assert all(holding.resize(SMALL_BYTES) for holding in small)


def test_what_a_holder_releases_others_may_take() -> None:
    """Guards against a budget that is used up by messages that have ended."""
    budget = MemoryBudget(LIMIT)
    for _ in range(100):
        holding = budget.holding()
        assert holding.resize(int(HOLDER_SHARE * (1.0 - SMALL_RESERVE) * LIMIT))
        holding.release()
    assert budget.held_bytes == 0


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 2 * LIMIT)), max_size=60))
def test_holders_together_stay_within_the_limit(steps: list[tuple[int, int]]) -> None:
    """Guards against a sum of messages, each within its limit, that exceeds the memory."""
    budget = MemoryBudget(LIMIT)
    holdings = [budget.holding() for _ in range(10)]
    for number, size in steps:
        before = holdings[number].held_bytes
        fits = holdings[number].resize(size)
        assert holdings[number].held_bytes == (size if fits else before)
        assert fits or size > before
        assert budget.held_bytes == sum(holding.held_bytes for holding in holdings) <= LIMIT


def test_requests_that_end_after_their_connection_are_not_counted_again() -> None:
    """Guards against a budget that shrinks with each caller that leaves behind pending requests."""
    budget = MemoryBudget(LIMIT)
    caller = CallerMemory(budget)
    for size in (1_000, 2_000):
        caller.received(size)
    caller.began(1_000)
    caller.release()
    caller.ended()
    assert budget.held_bytes == 0
