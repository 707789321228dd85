"""Suspects that survive restarts and interruptions of single routers."""

from __future__ import annotations

import asyncio

from gateway_site import Fleet, play, until

from tamarack_core.crash_evidence import DECISION_DELAY_MS, FORGET_MS
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine import Quarantine, Treatment
from tamarack_core.quarantine_records import MOST_CRASHES, Suspect
from tamarack_core.suspect_exchange import (
    ASK_FOR_MS,
    ASK_MS,
    MOST_TOLD,
    SETTLED_MS,
    EvidenceCatchUp,
    KnownSuspects,
)
from tamarack_core.termination_evidence import InterruptedRequest, Termination
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.suspect_records import KEY, MAX_ROW_BYTES

FATAL = "0" * 24


def crash(router: Gateway, *, number: int) -> None:
    """Let a router detect the crash of an endpoint under a request."""
    aboard = [InterruptedRequest(FATAL, "shop", True)]
    router._quarantine.record_termination(Termination(f"i-{number}", number, False, aboard))


def weight(router: Gateway) -> float:
    """Weight that a router gives to the request."""
    suspects = router.state.quarantine.suspects(9)
    return next((one.weight for one in suspects if one.fingerprint == FATAL), 0.0)


def stored(fleet: Fleet) -> bytes:
    """The row of suspects in the store; empty if there is none."""
    return fleet.store.rows("suspects").get(KEY, b"")


def test_a_rolling_restart_forgets_no_suspect() -> None:
    """Guards against a request that crashes endpoints anew after each restart of the routers."""

    async def run() -> None:
        async with Fleet({}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            crash(fleet.gateway, number=1)
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: all(weight(router) == 1.0 for router in routers))
            for number in (3, 4):
                async with fleet.router(f"router-{number}") as started:
                    await until(lambda started=started: weight(started) == 1.0)
            async with fleet.router("router-5") as heir:
                await until(lambda: weight(heir) == 1.0)
                leaving = [asyncio.ensure_future(router.leave()) for router in routers]
                await asyncio.gather(*leaving)
                async with fleet.router("router-6") as last:
                    await until(lambda: weight(last) == 1.0)

    play(run())


def test_the_loss_of_all_routers_at_once_forgets_no_suspect() -> None:
    """Guards against a request that crashes endpoints anew after a restart of the whole fleet."""

    async def run() -> None:
        async with Fleet({}) as fleet:
            for number in (1, 2):
                crash(fleet.gateway, number=number)
                await until(lambda number=number: weight(fleet.gateway) == number)
            await until(lambda: b"i-2" in stored(fleet))
            await fleet.gateway.__aexit__(None, None, None)
            async with fleet.router("router-2") as started:
                await until(lambda: weight(started) == 2.0)
                started._quarantine.answered(FATAL)
                await until(lambda: b"i-2" not in stored(fleet))

    play(run())


def test_suspects_in_the_store_are_bounded_and_an_unreadable_row_is_ignored() -> None:
    """Guards against a row that the store refuses, and against one that ends the reader."""

    async def run() -> None:
        async with Fleet({}) as fleet:
            names = [f"{number:024x}" for number in range(1, 401)]
            for number in range(2):
                aboard = [InterruptedRequest(name, f"w-{name}", True) for name in names]
                end = Termination(f"{number:0200d}", number, False, aboard)
                fleet.gateway._quarantine.record_termination(end)
            await until(lambda: stored(fleet) != b"")
            assert len(stored(fleet)) <= MAX_ROW_BYTES
            await fleet.store.put("suspects", KEY, {"wall_ms": "x"})
            async with fleet.router("router-2") as started:
                await until(lambda: started.state.ready)
                crash(started, number=4)
                await until(lambda: b'"suspects":[[' in stored(fleet))

    play(run())


class Evidence:
    """The quarantine of one router, whose crashes are decided at once."""

    def __init__(self) -> None:
        self.now_ms = 1_000.0
        self.quarantine = Quarantine(lambda name: True)

    def crash(self, number: int, *, early: bool = True, decided: bool = True) -> list[str]:
        aboard = [InterruptedRequest(FATAL, "shop", early), InterruptedRequest("x", "shop", True)]
        self.quarantine.ended(Termination(f"i-{number}", number, False, aboard), self.now_ms)
        if not decided:
            return []
        self.now_ms += DECISION_DELAY_MS
        return [one.fingerprint for one in self.quarantine.decide_due(self.now_ms)]

    def learn(self, other: Evidence) -> None:
        told = other.quarantine.suspects_to_tell(MOST_TOLD, other.now_ms)
        self.quarantine.merge(told, self.now_ms)

    def weight(self, trait: str = FATAL) -> float:
        weights = {one.fingerprint: one.weight for one in self.quarantine.suspects(9)}
        return weights.get(trait, 0.0)


def test_told_evidence_counts_each_crash_once() -> None:
    """Guards against a request refused after one crash that several routers told of."""
    first, second = Evidence(), Evidence()
    first.crash(1)
    second.crash(1, early=False)
    second.crash(2)
    for _ in range(3):
        first.learn(second)
        second.learn(first)
    assert first.weight() == second.weight() == 2.0
    assert first.weight("x") == 2.0


def test_told_evidence_leads_to_the_decision_that_all_crashes_would() -> None:
    """Guards against a restarted router that needs three crashes anew."""
    first, second = Evidence(), Evidence()
    first.crash(1)
    first.crash(2)
    first.quarantine.cleared(["x"])
    second.learn(first)
    assert second.quarantine.treatment_of(FATAL, "shop", 0.0).treatment is Treatment.ISOLATED
    second.quarantine.answered("x")
    assert second.crash(3) == [FATAL]


def test_a_cleared_suspect_is_not_suspected_anew_for_the_same_crashes() -> None:
    """Guards against sound requests that are isolated again whenever a router comes back."""
    first, second = Evidence(), Evidence()
    for router in (first, second):
        router.crash(1)
    second.crash(2, decided=False)
    first.crash(2)
    first.crash(3)
    second.quarantine.answered(FATAL)
    second.learn(first)
    assert second.weight() == 1.0
    assert second.weight("x") == 2.0


def test_told_evidence_is_bounded_and_old_evidence_is_not_taken() -> None:
    """Guards against messages and memory that grow with each crash."""
    first, second = Evidence(), Evidence()
    first.crash(1)
    assert len(first.quarantine.suspects_to_tell(1, first.now_ms)) == 1
    told = first.quarantine.suspects_to_tell(9, first.now_ms + FORGET_MS + 1.0)
    second.quarantine.merge(told, second.now_ms)
    assert second.quarantine.suspect_count == 0
    suspect = Suspect("shop")
    for number in range(2 * MOST_CRASHES):
        suspect.add(EndpointIncarnation("i", number), 0.1)
    assert len(suspect.crashes) == MOST_CRASHES


def test_a_router_asks_until_enough_others_have_answered() -> None:
    """Guards against a router that believes after its start that there are no suspects."""
    catch_up = EvidenceCatchUp(0.0)
    assert not catch_up.asks([], 0.0)
    assert catch_up.asks(["r1", "r2"], 0.0)
    catch_up.asked(0.0)
    assert not catch_up.asks(["r1", "r2"], ASK_MS - 1.0)
    catch_up.answered(KnownSuspects("r1", True))
    assert catch_up.asks(["r1", "r2"], SETTLED_MS) or catch_up.lacks(SETTLED_MS)
    catch_up.answered(KnownSuspects("r2", False))
    assert not catch_up.asks(["r1", "r2"], SETTLED_MS)
    assert not catch_up.lacks(SETTLED_MS)
    catch_up.restart(SETTLED_MS)
    assert catch_up.asks(["r1"], SETTLED_MS)
    assert not catch_up.lacks(SETTLED_MS + ASK_FOR_MS)


def test_a_router_that_was_cut_off_asks_again() -> None:
    """Guards against evidence that a frozen or cut-off router never hears of."""
    members = FleetMembers()
    member = Member("r1", 1, "a", "r1:1", True, 0.0)
    members.record_summary(member)
    assert not members.returned(*members.poll_changes(0.0))
    assert not members.returned(*members.poll_changes(5_000.0))
    members.record_summary(member._replace(heard_ms=6_000.0))
    assert members.returned(*members.poll_changes(6_000.0))
    assert not members.returned(*members.poll_changes(12_000.0))
    members.record_summary(member._replace(heard_ms=13_000.0, boot=2))
    assert not members.returned(*members.poll_changes(13_000.0))
