"""Routers that share the rate of an endpoint that warms up, on a network that loses messages."""

from __future__ import annotations

import random

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.warm_up import WarmUps
from tamarack_core.warm_up_dealer import LEASE_MS, VIEW_MS, Demand, Lease, Target, WarmUpDealer

KEY = EndpointIncarnation("e1", None)
LIMIT = 18
SECOND_MS = 1_000.0


class Router:
    """A router with its own clock, which runs `ahead_ms` ahead of the simulated time."""

    def __init__(self, name: str, ahead_ms: float) -> None:
        self.name = name
        self.ahead_ms = ahead_ms
        self.warm_ups = WarmUps()
        self.dealer = WarmUpDealer()
        self.paused_until_ms = 0.0
        self.leads_from_ms = float("inf")
        self.leads_until_ms = float("-inf")

    def leads(self, now_ms: float) -> bool:
        return self.leads_from_ms <= now_ms < self.leads_until_ms


class Message:
    """A demand or leases on the way to a router."""

    def __init__(self, receiver: Router, due_ms: float, body: Demand | list[Lease]) -> None:
        self.receiver = receiver
        self.due_ms = due_ms
        self.body = body


class Simulation:
    """Routers that demand, lease and send as often as they may, on a network that loses messages.

    The task of the dealer moves between routers, and for up to `VIEW_MS` two believe to have it.
    """

    STEP_MS = 50.0

    def __init__(self, seed: int, routers: int) -> None:
        self.draw = random.Random(seed)
        self.now_ms = 0.0
        self.routers = [Router(f"r{n}", self.draw.uniform(0, 1e6)) for n in range(routers)]
        self.messages: list[Message] = []
        self.sent_ms: list[float] = []
        self._next_change_ms = 0.0
        self._leader: Router | None = None

    def play(self, duration_ms: float) -> None:
        """Run the routers in random order, step by step."""
        while self.now_ms < duration_ms:
            self._change_leader()
            for router in self.draw.sample(self.routers, len(self.routers)):
                if self.draw.random() < 0.004:
                    router.paused_until_ms = self.now_ms + self.draw.uniform(100, 6_000)
                if router.paused_until_ms <= self.now_ms:
                    self._step(router)
            self.now_ms += self.STEP_MS

    @property
    def most_in_a_second(self) -> int:
        """Largest number of requests in any second."""
        most, first = 0, 0
        for last, at_ms in enumerate(self.sent_ms):
            while self.sent_ms[first] <= at_ms - SECOND_MS:
                first += 1
            most = max(most, last - first + 1)
        return most

    def _change_leader(self) -> None:
        if self.now_ms < self._next_change_ms:
            return
        if self._leader is not None:
            self._leader.leads_until_ms = self.now_ms + self.draw.uniform(0, VIEW_MS)
        leader = self.draw.choice(self.routers)
        leader.leads_from_ms, leader.leads_until_ms = self.now_ms, float("inf")
        self._leader = leader
        self._next_change_ms = self.now_ms + self.draw.uniform(VIEW_MS, 25_000)

    def _step(self, router: Router) -> None:
        own_ms = self.now_ms + router.ahead_ms
        key, draw = KEY, self.draw
        if not router.warm_ups.warming(key, own_ms):
            router.warm_ups.listed(key, 1e9, own_ms, grantable_ms=own_ms)
        due = [m for m in self.messages if m.receiver is router and m.due_ms <= self.now_ms]
        self.messages = [m for m in self.messages if m not in due]
        for message in draw.sample(due, len(due)):
            if isinstance(message.body, Demand):
                router.dealer.hear(message.body, own_ms)
            else:
                self._apply(router, message.body)
        if draw.random() < 0.5:
            router.dealer.observe(router.leads(self.now_ms), own_ms)
        if draw.random() < 0.1:
            demand = Demand(router.name, 1, own_ms, {"pool": draw.uniform(0, 40)})
            router.dealer.hear(demand, own_ms)
            self._publish(router, demand)
        leases = router.dealer.deal([Target(key, "pool", LIMIT, 0.0)], own_ms)
        if leases:
            self._apply(router, leases)
            self._publish(router, leases)
        while router.warm_ups.allows(key, own_ms) and draw.random() < 0.9:
            router.warm_ups.sent(key, own_ms)
            self.sent_ms.append(self.now_ms)

    def _apply(self, router: Router, leases: list[Lease]) -> None:
        for lease in leases:
            if lease.router == router.name:
                router.warm_ups.lease(lease.key, lease.part, lease.stamp_ms + LEASE_MS)

    def _publish(self, sender: Router, body: Demand | list[Lease]) -> None:
        for receiver in self.routers:
            if receiver is not sender and self.draw.random() < 0.8:
                due_ms = self.now_ms + self.draw.choice((20.0, 100.0, 400.0, 3_000.0))
                self.messages.append(Message(receiver, due_ms, body))
