"""Simulation of many routers and engines that serve workspaces with excess demand.

Routers decide as in production: each has its own shares and engine models, and reports to the
others with a delay. Engines prefill prompts in order of arrival and cache prefix blocks.
"""

from __future__ import annotations

import copy
import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarack_core.admission import FREE_ENGINE, Admission
from tamarack_core.admitted_placement import Engines, LatencyRequirements, place_admitted
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import EngineModel
from tamarack_core.first_token import FIRST_TOKEN_MS
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.workspace_shares import WorkspaceShares

WINDOW_MS = 4_000.0
AIM_MS, DEADLINE_MS = 1_000.0, 10_000.0
ENGINE_TOKENS = 1_500_000
"""KV memory of an engine in tokens: large enough that blocks are recomputed only if a request goes
to an engine without them."""

RETURNS = 2
"""Number of retries of a refused request."""


class Demand(NamedTuple):
    """Demand of a workspace.

    Attributes
    ----------
    rate
        Tokens per second, each generated token counted twice.
    parts
        Number of shared prefix blocks, one of which begins each request.
    """

    rate: float
    parts: int = 30


class Scenario(NamedTuple):
    """Parameters of a simulation.

    Attributes
    ----------
    tokens_per_s
        Configured throughput.
    restarted
        Number of routers that restart at `restart_ms` without shares.
    scattered
        Whether only engines that prefilled a block cache it; otherwise all cache all blocks.
    report_interval_ms
        Interval in milliseconds at which a router reports to the others.
    """

    workspaces: dict[str, Demand]
    tokens_per_s: float
    engines: int = 20
    routers: int = 10
    restarted: int = 0
    restart_ms: float = 6_000.0
    scattered: bool = True
    length_ms: float = 12_000.0
    seed: int = 1
    report_interval_ms: float = 20.0


class Outcome(NamedTuple):
    """Tokens by workspace in the measured period, and the utilization of the engines.

    `served` counts requests whose first token came before their deadline, `late` those of them that
    missed the latency target. `by_idle` counts requests admitted only because an engine was idle.
    """

    asked: dict[str, float]
    served: dict[str, float]
    late: dict[str, float]
    read: float
    busy: float
    by_idle: dict[str, float]

    def fairness(self, workspaces: list[str]) -> float:
        """Minimum of service relative to the demand or the best service, whichever is lower."""
        best = max(self.served.values())
        return min(self.served.get(name, 0.0) / min(self.asked[name], best) for name in workspaces)


class _Engine:
    """A simulated engine; an engine model serves as its prefix cache."""

    def __init__(self) -> None:
        self.cache = EngineModel(memory_tokens=ENGINE_TOKENS)
        self.free_ms = 0.0
        self.busy_ms = 0.0
        self.read = 0.0

    def take(self, prompt: Prompt, now_ms: float) -> float:
        """Prefill a prompt; returns the time of its first token."""
        reading_ms = self.cache.reading_ms(prompt)
        self.read += self.cache.unread_tokens(prompt)
        self.cache.add_blocks(prompt.parts)
        self.busy_ms += reading_ms
        self.free_ms = max(now_ms, self.free_ms) + reading_ms
        return self.free_ms + FIRST_TOKEN_MS


class _Router:
    """Local state of one router and its pending reports."""

    def __init__(self, names: list[str], now_ms: float) -> None:
        self.shares = WorkspaceShares(WINDOW_MS, now_ms)
        self.models = {name: EngineModel() for name in names}
        self.records = {name: EndpointRecord() for name in names}
        self.news: list[Callable[[_Router, float], None]] = []

    def queue_report(self, news: Callable[[_Router, float], None]) -> None:
        self.news.append(news)


class _Request(NamedTuple):
    name: str
    workspace: str
    prompt: Prompt
    arrived_ms: float
    returns: int = 0


class Simulation:
    """Runs one scenario; the time before `from_ms` is its warm-up."""

    def __init__(self, scenario: Scenario, *, from_ms: float, until_ms: float) -> None:
        self._scenario = scenario
        self._random = random.Random(scenario.seed)
        self._from_ms, self._until_ms = from_ms, until_ms
        self._names = [f"e{number}" for number in range(scenario.engines)]
        self._endpoints = [Endpoint(n, "pool", f"{n}:1", "a", 64, False) for n in self._names]
        self._engines = {name: _Engine() for name in self._names}
        self._routers = [_Router(self._names, float("-inf")) for _ in range(scenario.routers)]
        self._parts = {name: self._make_parts(name) for name in scenario.workspaces}
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._order = itertools.count()
        self._asked: dict[str, float] = defaultdict(float)
        self._served: dict[str, float] = defaultdict(float)
        self._late: dict[str, float] = defaultdict(float)
        self._by_idle: dict[str, float] = defaultdict(float)
        self._now_ms = 0.0

    def run(self) -> Outcome:
        """Run the simulation to its end."""
        scenario = self._scenario
        self._fill_caches()
        for name in scenario.workspaces:
            self._at(0.0, self._arrive, name)
        for number in range(scenario.routers):
            self._at(self._random.uniform(0.0, scenario.report_interval_ms), self._report, number)
        self._at(scenario.restart_ms, self._restart)
        while self._events and self._events[0][0] < scenario.length_ms:
            self._now_ms, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
        engines = self._engines.values()
        busy_ms = sum(min(engine.busy_ms, scenario.length_ms) for engine in engines)
        busy = busy_ms / len(self._engines) / scenario.length_ms
        read = sum(engine.read for engine in engines)
        by_idle = dict(self._by_idle)
        return Outcome(dict(self._asked), dict(self._served), dict(self._late), read, busy, by_idle)

    def _at(self, when_ms: float, act: Callable[..., None], *arguments: Any) -> None:
        heapq.heappush(self._events, (when_ms, next(self._order), act, arguments))

    def _counted(self, at_ms: float) -> bool:
        return self._from_ms <= at_ms < self._until_ms

    # prompts

    def _make_parts(self, workspace: str) -> list[PrefixBlock]:
        sizes = (
            min(39_900, int(self._random.lognormvariate(9.25, 0.7)))
            for _ in range(self._scenario.workspaces[workspace].parts)
        )
        return [PrefixBlock(f"{workspace}/{number}", size) for number, size in enumerate(sizes)]

    def _fill_caches(self) -> None:
        """Cache each block at one engine, or at all, before the start; all routers know of it."""
        for parts in self._parts.values():
            for number, part in enumerate(parts):
                kept = [self._random.choice(self._names)] if self._scenario.scattered else []
                for name in kept or self._names:
                    block = PrefixBlock(part.key, part.tokens if self._scenario.scattered else 1)
                    parts[number] = block
                    self._engines[name].cache.add_blocks((block,))
                    for router in self._routers:
                        router.models[name].add_blocks((block,))

    def _prompt(self, workspace: str, name: str) -> Prompt:
        parts = self._parts[workspace]
        # Some blocks are more popular: the first ones about twice as often as the last.
        shared = parts[int(len(parts) * self._random.random() ** 1.4)]
        own = min(30_000, int(self._random.lognormvariate(7.6, 1.1)))
        tokens_in = shared.tokens + own
        return Prompt(tokens_in, 60, (shared, PrefixBlock(name, own)))

    # callers

    def _arrive(self, workspace: str) -> None:
        now_ms = self._now_ms
        name = f"{workspace}-{next(self._order)}"
        prompt = self._prompt(workspace, name)
        if self._counted(now_ms):
            self._asked[workspace] += prompt.charge
        self._request(_Request(name, workspace, prompt, now_ms))
        gap_ms = prompt.charge / self._scenario.workspaces[workspace].rate * 1000
        self._at(now_ms + self._random.expovariate(1.0 / gap_ms), self._arrive, workspace)

    def _request(self, request: _Request) -> None:
        router = self._random.choice(self._routers)
        charge, workspace = request.prompt.charge, request.workspace
        router.shares.record_demand(workspace, charge, self._now_ms)
        router.queue_report(
            lambda other, now_ms: other.shares.record_demand(workspace, charge, now_ms)
        )
        self._decide(router, request, self._now_ms)

    def _decide(self, router: _Router, request: _Request, received_ms: float) -> None:
        now_ms = self._now_ms
        left_ms = request.arrived_ms + DEADLINE_MS - now_ms
        draw = self._random.random()
        retried = request.returns > 0
        requirements = LatencyRequirements(
            AIM_MS, AIM_MS, now_ms - received_ms, left_ms, retried, draw
        )
        rate = self._scenario.tokens_per_s
        position = router.shares.position(request.workspace, rate, now_ms)
        engines = Engines(self._endpoints, router.models, router.records)
        placement = place_admitted(request.prompt, engines, position, requirements, now_ms)
        assert placement is not None
        decision = placement.decision
        if decision.admission is Admission.ADMITTED:
            if decision.reason == FREE_ENGINE and self._counted(now_ms):
                self._by_idle[request.workspace] += request.prompt.charge
            self._send(router, request, placement.choice.endpoint.name)
        elif decision.admission is Admission.HELD:
            self._at(now_ms + decision.wait_ms, self._decide, router, request, received_ms)
        elif request.returns < RETURNS:
            again = request._replace(returns=request.returns + 1)
            self._at(now_ms + decision.wait_ms, self._request, again)

    # sends

    def _send(self, router: _Router, request: _Request, engine: str) -> None:
        now_ms, prompt = self._now_ms, request.prompt
        model = router.models[engine]
        parts = [(part.key, part.tokens) for part in model.blocks_to_report(prompt, now_ms)]
        reading_ms = model.sent(request.name, prompt, now_ms)
        router.shares.record_service(request.workspace, prompt.charge, now_ms)

        def apply(other: _Router, at_ms: float) -> None:
            other.models[engine].add_peer_work(reading_ms, at_ms)
            other.models[engine].add_peer_blocks(parts, at_ms)
            other.shares.record_service(request.workspace, prompt.charge, at_ms)

        router.queue_report(apply)
        begins_ms = self._engines[engine].take(prompt, now_ms)
        self._at(begins_ms, self._first_event, router, request, engine)

    def _first_event(self, router: _Router, request: _Request, engine: str) -> None:
        now_ms, model = self._now_ms, router.models[engine]
        model.first_event(request.name, now_ms)
        wait_ms, pace = model.wait_ms(now_ms), model.pace(now_ms)

        def apply(other: _Router, at_ms: float) -> None:
            other.models[engine].observe_peer(wait_ms, pace, at_ms)

        router.queue_report(apply)
        took_ms = now_ms - request.arrived_ms
        if self._counted(now_ms) and took_ms <= DEADLINE_MS:
            self._served[request.workspace] += request.prompt.charge
            if took_ms > AIM_MS:
                self._late[request.workspace] += request.prompt.charge

    # routers

    def _report(self, number: int) -> None:
        router = self._routers[number]
        news, router.news = router.news, []
        for other in range(len(self._routers)):
            if news and other != number:
                delay_ms = self._random.uniform(20.0, 100.0)
                self._at(self._now_ms + delay_ms, self._receive, other, news)
        self._at(self._now_ms + self._scenario.report_interval_ms, self._report, number)

    def _receive(self, number: int, news: list[Callable[[_Router, float], None]]) -> None:
        for apply in news:
            apply(self._routers[number], self._now_ms)

    def _restart(self) -> None:
        for number in range(self._scenario.restarted):
            old = self._routers[number]
            fresh = _Router(self._names, self._now_ms)
            # A starting router queries the engines' caches, so it may copy the former models.
            fresh.models = copy.deepcopy(old.models)
            self._routers[number] = fresh
            fresh.news = old.news
