"""The dispatcher's core with a simulated clock and no network: shards, decisions per second."""

from __future__ import annotations

import heapq
import random
import time
from typing import NamedTuple

from tamarack_core.dispatch_messages import (
    USAGE_FINISHED,
    USAGE_RUNNING,
    Grants,
    ShardKey,
    Ticket,
    Usage,
)
from tamarack_core.dispatch_policy import DispatchPolicy
from tamarack_core.dispatcher import Dispatcher
from tamarack_core.endpoint_pool import EndpointSpec

ROUTER = "r1"
TOKENS_PER_MS = 0.1
SHORTEST, LONGEST = 5, 2_000
BACKLOG = 3
PROGRESS_MS = 250.0
STEP_MS = 20.0
WARM_UP_MS = 10_000.0


class GapReading(NamedTuple):
    """Largest difference in tokens served between backlogged workspaces."""

    shards: int
    exchange_ms: float
    gap_tokens: float
    grants: int


class _Shard:
    """One dispatcher, with endpoints that need time for tokens only."""

    def __init__(self, number: int, shards: int, slots: int, names: list[str], seed: int) -> None:
        self.random = random.Random(f"{seed}/{number}")
        self.key = key = ShardKey("model", number)
        self.dispatcher = Dispatcher(
            key, 1, DispatchPolicy(default_cost=500.0), 0.0, shards=shards, registration_ms=0.0
        )
        specs = [EndpointSpec(f"e{number}-{i}", "", "a", 8) for i in range(slots // 8)]
        self.dispatcher.configure(specs, DispatchPolicy(default_cost=500.0), {}, 0.0)
        self.names = names
        self.number = 0
        self.costs: dict[str, tuple[str, int, float]] = {}
        self.ends: list[tuple[float, str]] = []
        self.grants = 0

    def fill(self, now_ms: float) -> None:
        tickets = []
        for name in self.names:
            for _ in range(BACKLOG - self.dispatcher.queue.waiting_of(name)):
                self.number += 1
                tickets.append(Ticket(f"{name}/{self.number}", name, deadline_ms=10**9))
        if tickets:
            self.dispatcher.submit(ROUTER, tickets, now_ms)

    def step(self, now_ms: float, served: dict[str, float]) -> None:
        usages = []
        while self.ends and self.ends[0][0] <= now_ms:
            _, request = heapq.heappop(self.ends)
            name, cost, _ = self.costs.pop(request)
            usages.append(Usage(request, cost, USAGE_FINISHED))
        self.dispatcher.usage(ROUTER, usages, now_ms)
        self.fill(now_ms)
        for send in self.dispatcher.dispatch(now_ms):
            if not isinstance(send.message, Grants):
                continue
            for grant in send.message.grants:
                self.grants += 1
                name = grant.request.partition("/")[0]
                cost = self.random.randint(SHORTEST, LONGEST)
                self.costs[grant.request] = (name, cost, now_ms)
                heapq.heappush(self.ends, (now_ms + cost / TOKENS_PER_MS, grant.request))
        for name, _, _ in self.costs.values():
            served[name] += STEP_MS * TOKENS_PER_MS

    def progress(self, now_ms: float) -> None:
        usages = [
            Usage(request, (now_ms - started_ms) * TOKENS_PER_MS, USAGE_RUNNING)
            for request, (_, _, started_ms) in self.costs.items()
        ]
        self.dispatcher.usage(ROUTER, usages, now_ms)


def measure_gap(
    shards: int,
    *,
    workspaces: int = 120,
    slots: int = 64,
    exchange_ms: float = 1_000.0,
    length_ms: float = 50_000.0,
    estimate_others: bool = True,
    staggered: bool = True,
    seed: int = 1,
) -> GapReading:
    """Serve backlogged workspaces from several shards; return the largest gap.

    Parameters
    ----------
    estimate_others
        Whether a shard estimates the others' service since the last exchange.
    staggered
        Whether each shard delays a workspace by a different number of grants; without it by none.
    """
    names = [f"w{index}" for index in range(workspaces)]
    fleet = [_Shard(number, shards, slots, names, seed) for number in range(shards)]
    if not staggered:
        for shard in fleet:
            for name in names:
                shard.dispatcher.queue.override(name, stagger=0)
    served = dict.fromkeys(names, 0.0)
    gap = 0.0
    now_ms = 0.0
    next_exchange_ms = exchange_ms
    next_progress_ms = PROGRESS_MS
    while now_ms < length_ms:
        now_ms += STEP_MS
        for shard in fleet:
            shard.step(now_ms, served)
        if now_ms >= next_progress_ms:
            next_progress_ms += PROGRESS_MS
            for shard in fleet:
                shard.progress(now_ms)
        if shards > 1 and now_ms >= next_exchange_ms:
            next_exchange_ms += exchange_ms
            _exchange(fleet, estimate_others)
        if now_ms >= WARM_UP_MS:
            gap = max(gap, max(served.values()) - min(served.values()))
    return GapReading(shards, exchange_ms, gap, sum(shard.grants for shard in fleet))


def _exchange(fleet: list[_Shard], estimate_others: bool) -> None:
    messages = [shard.dispatcher.exchange() for shard in fleet]
    for shard in fleet:
        for message in messages:
            if message.shard != shard.key:
                shard.dispatcher.merge(message)
        if not estimate_others:
            for name in shard.names:
                shard.dispatcher.queue.override(name, factor=1.0)


class DecisionReading(NamedTuple):
    """Decisions per second of one dispatcher core."""

    workspaces: int
    endpoints: int
    decisions_per_s: float
    microseconds: float


def measure_decisions(
    workspaces: int, endpoints: int, *, rounds: int = 20_000, seed: int = 1
) -> DecisionReading:
    """Time submission, grant and settlement together, with all workspaces backlogged."""
    rng = random.Random(seed)
    policy = DispatchPolicy(queue_limit=10**6)
    dispatcher = Dispatcher(ShardKey("model", 0), 1, policy, 0.0, registration_ms=0.0)
    specs = [EndpointSpec(f"e{i}", "", "a", 8) for i in range(endpoints)]
    dispatcher.configure(specs, policy, {}, 0.0)
    names = [f"w{index}" for index in range(workspaces)]
    running: list[str] = []
    for index, name in enumerate(names):
        dispatcher.submit(ROUTER, [Ticket(f"first-{index}", name)], 0.0)
    number = 0
    decisions = 0
    started = time.perf_counter()
    while decisions < rounds:
        usages = [Usage(request, rng.randint(5, 500), USAGE_FINISHED) for request in running]
        dispatcher.usage(ROUTER, usages, 0.0)
        tickets = []
        for _ in range(max(1, len(running))):
            number += 1
            tickets.append(Ticket(f"t{number}", rng.choice(names)))
        dispatcher.submit(ROUTER, tickets, 0.0)
        running = [
            grant.request
            for send in dispatcher.dispatch(0.0)
            if isinstance(send.message, Grants)
            for grant in send.message.grants
        ]
        decisions += len(running)
    elapsed = time.perf_counter() - started
    return DecisionReading(
        workspaces, endpoints, decisions / elapsed, elapsed / decisions * 1_000_000
    )


if __name__ == "__main__":
    for reading in (
        measure_gap(1, slots=1024),
        measure_gap(16),
        measure_gap(16, estimate_others=False),
    ):
        print(reading)
    for size in (68, 680, 6_800):
        print(measure_decisions(size, 64))
