"""Slots of one shard's endpoints, and the choice among free ones."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from typing import NamedTuple

from tamarack_core.defaults import (
    ENDPOINT_BACKOFF_MAX_MS,
    ENDPOINT_BACKOFF_MS,
    LOAD_STALE_MS,
    PREFIX_MEMORY,
)

TWO_CHOICES_FROM = 16
PREFIX_BONUS = 0.5
SAME_DOMAIN_BONUS = 0.05
OWN_WINDOW_MS = 1_000
SLOW_FACTOR = 2.0
SHRINK = 0.8
GROW = 0.5


class EndpointSpec(NamedTuple):
    """An endpoint as configured."""

    name: str
    address: str
    failure_domain: str
    slots: int
    drained: bool = False
    model: str = ""


class LoadReport(NamedTuple):
    """What an endpoint said of itself, some time ago.

    Attributes
    ----------
    in_flight
        Requests that it holds.
    step_ms
        Milliseconds between tokens; zero where there are none.
    idle_step_ms
        The same when it is barely loaded, by its own account; zero if unknown.
    """

    ok: bool
    in_flight: int = 0
    step_ms: float = 0.0
    idle_step_ms: float = 0.0
    leaving: bool = False
    model: str = ""


class _Endpoint:
    """State of one endpoint."""

    def __init__(self, spec: EndpointSpec) -> None:
        self.spec = spec
        self.limit = float(spec.slots)
        self.in_flight = 0
        self.foreign = 0
        self.step_ms = 0.0
        self.leaving = False
        self.listed_leaving = False
        self.failures = 0
        self.closed_until_ms = 0.0
        self.reported_ms = float("-inf")
        self.history: deque[tuple[float, int]] = deque()
        self.prefixes: OrderedDict[int, None] = OrderedDict()

    def note(self, now_ms: float) -> None:
        self.history.append((now_ms, self.in_flight))
        while self.history and self.history[0][0] < now_ms - OWN_WINDOW_MS:
            self.history.popleft()

    def free(self, now_ms: float) -> int:
        if (
            self.spec.drained
            or self.leaving
            or self.listed_leaving
            or now_ms < self.closed_until_ms
        ):
            return 0
        foreign = self.foreign if now_ms - self.reported_ms < LOAD_STALE_MS else 0
        # One request probes an endpoint that has failed until it has finished one.
        limit = 1 if self.failures else int(self.limit)
        return limit - self.in_flight - foreign


class EndpointPool:
    """Slots of the endpoints in one shard.

    Parameters
    ----------
    seed
        Seed of the random choice among many endpoints.
    """

    def __init__(self, *, seed: int = 0) -> None:
        self._endpoints: dict[str, _Endpoint] = {}
        self._random = random.Random(seed)
        self._free: dict[str, _Endpoint] = {}
        self._leaving: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._endpoints)

    @property
    def slots(self) -> int:
        """Slots of all endpoints that take work, as limited now."""
        usable = (e for e in self._endpoints.values() if not e.spec.drained and not e.leaving)
        return sum(int(endpoint.limit) for endpoint in usable)

    @property
    def has_free(self) -> bool:
        """Whether some endpoint has a free slot."""
        return bool(self._free)

    @property
    def in_flight(self) -> int:
        """Slots granted."""
        return sum(endpoint.in_flight for endpoint in self._endpoints.values())

    @property
    def specs(self) -> list[EndpointSpec]:
        """The endpoints as configured."""
        return [endpoint.spec for endpoint in self._endpoints.values()]

    def configure(self, specs: list[EndpointSpec], now_ms: float) -> None:
        """Take the configured endpoints; state of those that stay is kept."""
        kept: dict[str, _Endpoint] = {}
        for spec in specs:
            endpoint = self._endpoints.get(spec.name)
            if endpoint is None:
                endpoint = _Endpoint(spec)
                endpoint.listed_leaving = spec.name in self._leaving
            elif endpoint.spec != spec:
                endpoint.limit = min(endpoint.limit, spec.slots)
                if spec.slots > endpoint.spec.slots:
                    endpoint.limit = float(spec.slots)
                endpoint.spec = spec
            kept[spec.name] = endpoint
        self._endpoints = kept
        self.refresh(now_ms)

    def set_leaving(self, names: frozenset[str], now_ms: float) -> None:
        """Take the platform's word on which endpoints are leaving; they get no new work."""
        if names != self._leaving:
            self._leaving = names
            for endpoint in self._endpoints.values():
                endpoint.listed_leaving = endpoint.spec.name in names
            self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Find the free endpoints anew, since time alone can free some."""
        self._free = {n: e for n, e in self._endpoints.items() if e.free(now_ms) > 0}

    def knows(self, name: str) -> bool:
        """Whether an endpoint is configured here."""
        return name in self._endpoints

    def report(self, name: str, load: LoadReport, now_ms: float) -> None:
        """Take in a load report.

        Reports lag, so one is held against the largest count of the last second: only what goes
        beyond that is work of somebody else's, which a partition or a lost message can cause.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        if not load.ok:
            self._fail(endpoint, now_ms)
            return
        if endpoint.failures and not endpoint.in_flight:
            endpoint.closed_until_ms = min(endpoint.closed_until_ms, now_ms)
        endpoint.note(now_ms)
        own = max(count for _, count in endpoint.history)
        endpoint.foreign = max(0, load.in_flight - own)
        endpoint.reported_ms = now_ms
        # An engine that has not loaded the service's model yet would refuse each request.
        other_model = bool(load.model and endpoint.spec.model != load.model)
        endpoint.leaving = load.leaving or other_model
        endpoint.step_ms = load.step_ms
        self._adapt(endpoint, load)
        self._update(endpoint, now_ms)

    def choose(
        self, now_ms: float, *, prefix: int = 0, failure_domain: str = "", exclude: str = ""
    ) -> str | None:
        """Name the best free endpoint, None if there is none."""
        candidates = self._candidates(prefix)
        best: _Endpoint | None = None
        best_score = 0.0
        for endpoint in candidates:
            if endpoint.spec.name == exclude or endpoint.free(now_ms) <= 0:
                continue
            score = self._score(endpoint, prefix, failure_domain)
            if best is None or score < best_score:
                best, best_score = endpoint, score
        if best is None and len(candidates) < len(self._free):
            best = next((e for e in self._free.values() if e.spec.name != exclude), None)
        return best.spec.name if best else None

    def take(self, name: str, now_ms: float, *, prefix: int = 0) -> None:
        """Occupy a slot; unknown endpoints are passed over."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.in_flight += 1
        endpoint.note(now_ms)
        if prefix:
            endpoint.prefixes[prefix] = None
            endpoint.prefixes.move_to_end(prefix)
            if len(endpoint.prefixes) > PREFIX_MEMORY:
                endpoint.prefixes.popitem(last=False)
        self._update(endpoint, now_ms)

    def release(self, name: str, now_ms: float, *, failed: bool = False) -> None:
        """Free a slot; `failed` says that the endpoint did not answer."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        endpoint.note(now_ms)
        if failed:
            self._fail(endpoint, now_ms)
        else:
            endpoint.failures = 0
            self._update(endpoint, now_ms)

    def free_slots(self, now_ms: float) -> int:
        """Slots that a ticket could have now."""
        return sum(max(0, endpoint.free(now_ms)) for endpoint in self._free.values())

    def _candidates(self, prefix: int) -> list[_Endpoint]:
        free = list(self._free.values())
        if len(free) <= TWO_CHOICES_FROM:
            return free
        chosen = self._random.sample(free, 2)
        if prefix:
            chosen += [e for e in free if prefix in e.prefixes][:1]
        return chosen

    def _score(self, endpoint: _Endpoint, prefix: int, failure_domain: str) -> float:
        load = (endpoint.in_flight + 1) / max(1.0, endpoint.limit)
        score = load * (1.0 + endpoint.step_ms / 100.0)
        if prefix and prefix in endpoint.prefixes:
            score -= PREFIX_BONUS
        if failure_domain and endpoint.spec.failure_domain == failure_domain:
            score -= SAME_DOMAIN_BONUS
        return score

    def _adapt(self, endpoint: _Endpoint, load: LoadReport) -> None:
        if not load.step_ms or not load.idle_step_ms:
            return
        if load.step_ms > SLOW_FACTOR * load.idle_step_ms:
            endpoint.limit = max(1.0, endpoint.limit * SHRINK)
        else:
            endpoint.limit = min(float(endpoint.spec.slots), endpoint.limit + GROW)

    def _fail(self, endpoint: _Endpoint, now_ms: float) -> None:
        endpoint.failures += 1
        pause = min(ENDPOINT_BACKOFF_MAX_MS, ENDPOINT_BACKOFF_MS * 2 ** (endpoint.failures - 1))
        endpoint.closed_until_ms = now_ms + pause
        self._update(endpoint, now_ms)

    def _update(self, endpoint: _Endpoint, now_ms: float) -> None:
        if endpoint.free(now_ms) > 0:
            self._free[endpoint.spec.name] = endpoint
        else:
            self._free.pop(endpoint.spec.name, None)
