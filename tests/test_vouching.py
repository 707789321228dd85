"""What a router may claim for the fleet, and from whom it knows that."""

from __future__ import annotations

import pytest

from tamarack_core.stall_detector import STALL_MS
from tamarack_core.vouching import (
    HEARING_MS,
    LOST_WRITES_MS,
    SETTLED_MS,
    Verdict,
    Vouching,
)


def hearing(*routers: str, since_ms: float = 0.0) -> Vouching:
    """A router that started at 0 ms, and hears others since a time."""
    vouching = Vouching(0.0)
    vouching.expect(routers)
    for router in routers:
        vouching.hear(router, since_ms)
    return vouching


def pass_time(vouching: Vouching, from_ms: float, until_ms: float) -> None:
    """Let time pass for a router that runs."""
    now_ms = from_ms
    while now_ms < until_ms:
        now_ms = min(until_ms, now_ms + 500.0)
        vouching.observe(now_ms)


def test_a_router_that_does_not_know_the_list_claims_nothing() -> None:
    """Guards against a router that takes itself for the only one before it has read the list."""
    vouching = Vouching(0.0)
    assert vouching.missing(5.0) is None
    assert vouching.hears_all_since_ms(5.0) is None
    assert vouching.verdict(1.0, 5.0, until_ms=10.0) is Verdict.ASK
    assert vouching.verdict(1.0, 10.0, until_ms=10.0) is Verdict.REFUSE


def test_a_router_that_is_alone_speaks_for_the_fleet() -> None:
    """Guards against waiting for routers that are not there."""
    vouching = hearing()
    assert vouching.hears_all_since_ms(0.0) == 0.0
    assert vouching.verdict(0.0, 0.0, until_ms=0.0) is Verdict.VOUCHED


def test_one_silent_router_is_enough_to_claim_nothing() -> None:
    """Guards against a router that speaks for those that it does not hear."""
    vouching = hearing("a", "b")
    pass_time(vouching, 0.0, HEARING_MS)
    vouching.hear("a", 1_000.0)
    assert vouching.hears_all_since_ms(HEARING_MS) == 0.0
    assert vouching.hears_all_since_ms(HEARING_MS + 1.0) is None
    assert vouching.missing(HEARING_MS + 1.0) == {"b"}
    assert not vouching.routers_vouch(0.0, HEARING_MS + 1.0)


def test_what_happened_after_the_last_message_of_a_router_is_not_known() -> None:
    """Guards against a cut of less than the silence, in which another router has begun work."""
    vouching = hearing("a", since_ms=100.0)
    assert vouching.routers_vouch(99.0, 150.0)
    assert not vouching.routers_vouch(101.0, 150.0)
    vouching.hear("a", 160.0)
    assert vouching.routers_vouch(101.0, 160.0)
    assert vouching.hears_all_since_ms(160.0) == 100.0


def test_after_a_lapse_or_a_stall_a_router_is_heard_anew() -> None:
    """Guards against evidence from before a lapse that counts as continuous."""
    vouching = hearing("a")
    pass_time(vouching, 0.0, HEARING_MS + 1.0)
    vouching.hear("a", HEARING_MS + 1.0)
    assert vouching.heard_since_ms("a", HEARING_MS + 1.0) == HEARING_MS + 1.0
    woken_ms = HEARING_MS + STALL_MS + 2.0
    assert woken_ms - HEARING_MS - 1.0 < HEARING_MS
    assert vouching.heard_since_ms("a", woken_ms) is None
    vouching.observe(woken_ms)
    assert vouching.heard_since_ms("a", woken_ms) is None
    vouching.hear("a", woken_ms)
    assert vouching.hears_all_since_ms(woken_ms) == woken_ms


def test_a_router_that_has_left_the_list_is_not_waited_for() -> None:
    """Guards against a router that refuses because of one that has stopped."""
    vouching = hearing("a", "b")
    pass_time(vouching, 0.0, 3_000.0)
    vouching.hear("a", 3_000.0)
    assert vouching.missing(3_000.0) == {"b"}
    vouching.expect(["a"])
    assert vouching.missing(3_000.0) == set()


@pytest.mark.parametrize("table", ["endpoints", "routers", None])
def test_the_store_vouches_for_what_was_before_the_call(table: str | None) -> None:
    """Guards against an answer whose call was sent before the matter, or for another table."""
    vouching = Vouching(0.0)
    vouching.expect(["silent"])
    vouching.store_answered("endpoints", 100.0)
    vouched = Verdict.VOUCHED if table == "endpoints" else Verdict.ASK
    assert vouching.verdict(100.0, 110.0, until_ms=900.0, table=table) is vouched
    assert vouching.verdict(101.0, 110.0, until_ms=900.0, table=table) is Verdict.ASK
    assert vouching.verdict(101.0, 900.0, until_ms=900.0, table=table) is Verdict.REFUSE


def test_a_store_that_has_just_come_back_from_a_copy_vouches_for_nothing() -> None:
    """Guards against a copy that lacks what was written last."""
    vouching = Vouching(0.0)
    vouching.epoch_began(0.0, seen=False)
    vouching.settle()
    assert vouching.store_trusted(0.0, 0.0)
    vouching.epoch_began(50_000.0, seen=True)
    assert not vouching.settled(50_000.0)
    early_ms = 50_000.0 + LOST_WRITES_MS
    assert not vouching.store_trusted(early_ms - 1.0, early_ms)
    assert vouching.store_trusted(early_ms, early_ms)
    assert vouching.settled(50_000.0 + SETTLED_MS)


@pytest.mark.parametrize("hears_all", [True, False])
def test_a_router_that_has_not_seen_the_restore_trusts_the_store_late(hears_all: bool) -> None:
    """Guards against a router that starts after a restore and believes the copy."""
    vouching = Vouching(0.0)
    vouching.expect(["a"])
    vouching.epoch_began(0.0, seen=False)
    early_ms = LOST_WRITES_MS
    pass_time(vouching, 0.0, early_ms)
    if hears_all:
        vouching.hear("a", early_ms)
    assert not vouching.store_trusted(early_ms - 1.0, early_ms)
    assert vouching.store_trusted(early_ms, early_ms) is hears_all
    assert vouching.store_trusted(SETTLED_MS, SETTLED_MS)


def test_the_word_of_one_who_knows_that_the_epoch_is_old_settles_it() -> None:
    """Guards against starts that wait although nothing was restored."""
    vouching = Vouching(0.0)
    vouching.expect(["a"])
    vouching.epoch_began(0.0, seen=False)
    vouching.store_answered("endpoints", 1.0)
    assert not vouching.store_vouches("endpoints", 1.0, 2.0)
    vouching.settle()
    assert vouching.store_vouches("endpoints", 1.0, 2.0)
    assert vouching.settled(2.0)


def test_a_new_epoch_is_not_settled_by_what_was_said_of_the_one_before() -> None:
    """Guards against a second restore that is taken for the first."""
    vouching = Vouching(0.0)
    vouching.epoch_began(0.0, seen=False)
    vouching.settle()
    vouching.epoch_began(60_000.0, seen=True)
    assert vouching.epoch_ms == 60_000.0
    assert not vouching.settled(60_000.0)
