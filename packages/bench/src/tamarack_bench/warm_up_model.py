"""Simulation of the ways to keep all routers together below the limit of endpoints that warm up.

Requests come to routers unevenly. All endpoints of a failure domain become cold at once, and each
way decides which of their requests routers may send there.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import partial
from typing import NamedTuple, Protocol

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.rendezvous import ranked, winner
from tamarack_core.warm_up import WINDOW_MS, WarmUps
from tamarack_core.warm_up_dealer import (
    LEASE_MS,
    TAKEOVER_MS,
    Demand,
    Target,
    WarmUpDealer,
)

STEP_MS = 10.0
SECOND_MS = 1_000.0
DEMAND_MS = 500.0

MESSAGE_MS = (40.0, 160.0)
"""Shortest and longest time in milliseconds of a message between routers, by relays."""

GATHER_MS = 200.0
"""Time in milliseconds for which the dealer collects demands."""

LARGE_SHARE = 0.25
"""Part of all requests that comes to one router: the callers of a large workspace keep to it."""


class WarmUpOptions(NamedTuple):
    """Options of a simulation.

    Attributes
    ----------
    cold
        Endpoints that warm up.
    per_s
        Requests a second of all routers together.
    rate, limit
        Requests a second that an endpoint may get by its rate, and in any single second at most.
    duration_ms
        Length of the warm-up.
    """

    routers: int
    cold: int
    per_s: float
    rate: float = 13.2
    limit: int = 18
    duration_ms: float = 3_000.0
    seed: int = 1


class WarmUpResult(NamedTuple):
    """Part of the rate that was used, and the most requests in any second at any endpoint."""

    used: float
    most: int


class Way(Protocol):
    """Decides which cold endpoints a router may send a request to."""

    def step(self, now_ms: float) -> None:
        """Advance to a time."""

    def allowed(self, router: str, endpoint: str, now_ms: float) -> bool:
        """Whether a router may send a request to an endpoint now; it then does."""


WAYS: dict[str, Callable[[WarmUpOptions, dict[str, float]], Way]] = {}


def way(name: str) -> Callable[[type], type]:
    """Register a way; it is made from the options and each router's requests a second."""

    def register(cls: type) -> type:
        WAYS[name] = cls
        return cls

    return register


class _Window:
    """Requests of one router at one endpoint in the last second."""

    def __init__(self, part: int) -> None:
        self._part = part
        self._sent_ms: list[float] = []

    def take(self, now_ms: float) -> bool:
        self._sent_ms = [at_ms for at_ms in self._sent_ms if at_ms > now_ms - WINDOW_MS]
        if len(self._sent_ms) >= self._part:
            return False
        self._sent_ms.append(now_ms)
        return True


class _Hashed:
    """A fixed number of routers an endpoint, by rendezvous hashing, each with a whole part."""

    count = 1

    def __init__(self, options: WarmUpOptions, per_s: dict[str, float]) -> None:
        self._windows = {
            (router, endpoint): _Window(options.limit // self.count)
            for endpoint in endpoints(options)
            for router in ranked(endpoint, per_s)[: self.count]
        }

    def step(self, now_ms: float) -> None:
        """Nothing changes with time."""

    def allowed(self, router: str, endpoint: str, now_ms: float) -> bool:
        """Whether the router is one of the endpoint's and has some of its part left."""
        window = self._windows.get((router, endpoint))
        return window is not None and window.take(now_ms)


@way("hash-1")
class _HashedToOne(_Hashed):
    count = 1


@way("hash-2")
class _HashedToTwo(_Hashed):
    count = 2


@way("hash-4")
class _HashedToFour(_Hashed):
    count = 4


@way("even")
class _Even(_Hashed):
    """Every router has an equal part; with more routers than requests it is one all the same."""

    def __init__(self, options: WarmUpOptions, per_s: dict[str, float]) -> None:
        part = max(1, options.limit // options.routers)
        self._windows = {(r, e): _Window(part) for e in endpoints(options) for r in per_s}


@way("permits")
class _Permits:
    """One router an endpoint permits each request; it arrives some time after its permission."""

    def __init__(self, options: WarmUpOptions, per_s: dict[str, float]) -> None:
        self._windows = {endpoint: _Window(options.limit) for endpoint in endpoints(options)}
        self._owners = {endpoint: winner(endpoint, per_s) for endpoint in self._windows}

    def step(self, now_ms: float) -> None:
        """Nothing changes with time."""

    def allowed(self, router: str, endpoint: str, now_ms: float) -> bool:
        """Whether the endpoint's owner permits the request."""
        return self._windows[endpoint].take(now_ms)


@way("dealt")
class _Dealt:
    """The product's dealer and leases."""

    def __init__(self, options: WarmUpOptions, per_s: dict[str, float]) -> None:
        self._per_s = per_s
        self._draw = random.Random(options.seed)
        self._dealer = WarmUpDealer()
        for at_ms in range(-int(TAKEOVER_MS) - 500, 1, 500):
            self._dealer.observe(True, float(at_ms))
        keys = [EndpointIncarnation(name, None) for name in endpoints(options)]
        self._targets = [Target(key, "pool", options.limit, GATHER_MS) for key in keys]
        self._warm_ups = {router: WarmUps() for router in per_s}
        for warm_ups in self._warm_ups.values():
            for key in keys:
                warm_ups.listed(key, options.duration_ms, 0.0, grantable_ms=0.0)
        self._messages: list[tuple[float, Callable[[], None]]] = []
        self._demanded_ms = {router: float("-inf") for router in per_s}

    def step(self, now_ms: float) -> None:
        """Deliver messages; send demands and leases that are due."""
        due = [deliver for due_ms, deliver in self._messages if due_ms <= now_ms]
        self._messages = [message for message in self._messages if message[0] > now_ms]
        for deliver in due:
            deliver()
        for router, per_s in self._per_s.items():
            if now_ms - self._demanded_ms[router] >= DEMAND_MS:
                self._demanded_ms[router] = now_ms
                self._send_demand(Demand(router, 1, now_ms, {"pool": per_s}), now_ms)
        if now_ms % 100.0 == 0.0:
            self._dealer.observe(True, now_ms)
            for lease in self._dealer.deal(self._targets, now_ms):
                apply = self._warm_ups[lease.router].lease
                until_ms = lease.stamp_ms + LEASE_MS
                self._send(now_ms, partial(apply, lease.key, lease.part, until_ms))

    def allowed(self, router: str, endpoint: str, now_ms: float) -> bool:
        """Whether the router's lease has some of its part left."""
        key = EndpointIncarnation(endpoint, None)
        allowed = self._warm_ups[router].allows(key, now_ms)
        if allowed:
            self._warm_ups[router].sent(key, now_ms)
        return allowed

    def _send_demand(self, demand: Demand, now_ms: float) -> None:
        self._send(now_ms, partial(self._dealer.hear, demand, now_ms))

    def _send(self, now_ms: float, deliver: Callable[[], None]) -> None:
        self._messages.append((now_ms + self._draw.uniform(*MESSAGE_MS), deliver))


def endpoints(options: WarmUpOptions) -> list[str]:
    """Names of the endpoints that warm up."""
    return [f"e{number}" for number in range(options.cold)]


def simulate(name: str, options: WarmUpOptions) -> WarmUpResult:
    """Simulate one way."""
    draw = random.Random(options.seed)
    routers = [f"r{number}" for number in range(options.routers)]
    weights = [draw.lognormvariate(0.0, 0.5) for _ in routers]
    rest = (1.0 - LARGE_SHARE) * options.per_s / sum(weights)
    per_s = {router: rest * w for router, w in zip(routers, weights, strict=True)}
    per_s[draw.choice(routers)] += LARGE_SHARE * options.per_s
    chosen = WAYS[name](options, per_s)
    names = endpoints(options)
    arrivals: dict[str, list[float]] = {endpoint: [] for endpoint in names}
    total = sum(per_s.values())
    now_ms, next_ms = 0.0, draw.expovariate(total) * SECOND_MS
    while now_ms < options.duration_ms:
        chosen.step(now_ms)
        while next_ms < now_ms + STEP_MS:
            [router] = draw.choices(routers, [per_s[router] for router in routers])
            found = (
                e for e in draw.sample(names, len(names)) if chosen.allowed(router, e, next_ms)
            )
            endpoint = next(found, None)
            if endpoint is not None:
                late_ms = draw.uniform(*MESSAGE_MS) if name == "permits" else 0.0
                arrivals[endpoint].append(next_ms + late_ms)
            next_ms += draw.expovariate(total) * SECOND_MS
        now_ms += STEP_MS
    permitted = options.rate * options.duration_ms / SECOND_MS * options.cold
    used = sum(len(times) for times in arrivals.values()) / permitted
    return WarmUpResult(used, max(_most(sorted(times)) for times in arrivals.values()))


def _most(times: list[float]) -> int:
    most, first = 0, 0
    for last, at_ms in enumerate(times):
        while times[first] <= at_ms - SECOND_MS:
            first += 1
        most = max(most, last - first + 1)
    return most
