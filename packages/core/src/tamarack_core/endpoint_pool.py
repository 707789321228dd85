"""Slots of one shard's endpoints, and endpoint selection."""

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

TWO_CHOICES_THRESHOLD = 16  # free endpoints; with more, only two random ones are compared
PREFIX_BONUS = 0.5  # score reduction for an endpoint that was sent the same prompt prefix
SAME_DOMAIN_BONUS = 0.05  # score reduction for an endpoint in the router's failure domain
IN_FLIGHT_WINDOW_MS = 1_000
SLOWDOWN_THRESHOLD = 2.0  # step time relative to idle above which the slot limit decreases
LIMIT_DECREASE_FACTOR = 0.8  # factor of the multiplicative decrease
LIMIT_INCREASE_SLOTS = 0.5  # slots added by a report without slowdown


class EndpointSpec(NamedTuple):
    """Configuration of an endpoint."""

    name: str
    address: str
    failure_domain: str
    slots: int
    drained: bool = False
    model: str = ""


class LoadReport(NamedTuple):
    """Load that an endpoint reported; reports arrive with a delay.

    Attributes
    ----------
    in_flight
        Number of requests in progress.
    step_ms
        Milliseconds between tokens; zero if it produces none.
    idle_step_ms
        Milliseconds between tokens at low load, as the endpoint reports; zero if unknown.
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
        self.backoff_until_ms = 0.0
        self.reported_ms = float("-inf")
        self.history: deque[tuple[float, int]] = deque()
        self.prefixes: OrderedDict[int, None] = OrderedDict()

    def record_in_flight(self, now_ms: float) -> None:
        self.history.append((now_ms, self.in_flight))
        while self.history and self.history[0][0] < now_ms - IN_FLIGHT_WINDOW_MS:
            self.history.popleft()

    def free_slots_at(self, now_ms: float) -> int:
        if (
            self.spec.drained
            or self.leaving
            or self.listed_leaving
            or now_ms < self.backoff_until_ms
        ):
            return 0
        foreign = self.foreign if now_ms - self.reported_ms < LOAD_STALE_MS else 0
        # After a failure one request at a time probes the endpoint until one succeeds.
        limit = 1 if self.failures else int(self.limit)
        return limit - self.in_flight - foreign


class EndpointPool:
    """Slots of the endpoints in one shard.

    Parameters
    ----------
    seed
        Seed of the random choice among endpoints.
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
        """Current slot limit, summed over the endpoints that accept requests."""
        usable = (e for e in self._endpoints.values() if not e.spec.drained and not e.leaving)
        return sum(int(endpoint.limit) for endpoint in usable)

    @property
    def has_free(self) -> bool:
        """Whether any endpoint has a free slot."""
        return bool(self._free)

    @property
    def in_flight(self) -> int:
        """Number of slots in use by grants."""
        return sum(endpoint.in_flight for endpoint in self._endpoints.values())

    @property
    def specs(self) -> list[EndpointSpec]:
        """Configuration of the endpoints."""
        return [endpoint.spec for endpoint in self._endpoints.values()]

    def configure(self, specs: list[EndpointSpec], now_ms: float) -> None:
        """Apply the configured endpoints; endpoints that remain keep their state."""
        retained: dict[str, _Endpoint] = {}
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
            retained[spec.name] = endpoint
        self._endpoints = retained
        self.refresh(now_ms)

    def set_leaving(self, names: frozenset[str], now_ms: float) -> None:
        """Apply the platform's list of leaving endpoints; they get no new requests."""
        if names != self._leaving:
            self._leaving = names
            for endpoint in self._endpoints.values():
                endpoint.listed_leaving = endpoint.spec.name in names
            self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Recompute the free endpoints, since backoffs and stale reports expire over time."""
        self._free = {n: e for n, e in self._endpoints.items() if e.free_slots_at(now_ms) > 0}

    def knows(self, name: str) -> bool:
        """Whether an endpoint is configured here."""
        return name in self._endpoints

    def report(self, name: str, load: LoadReport, now_ms: float) -> None:
        """Process a load report.

        Reports lag, so a report is compared with the peak number of own requests in the last
        second. Only the excess is foreign load, which a partition or a lost message can cause.
        """
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        if not load.ok:
            self._record_failure(endpoint, now_ms)
            return
        if endpoint.failures and not endpoint.in_flight:
            endpoint.backoff_until_ms = min(endpoint.backoff_until_ms, now_ms)
        endpoint.record_in_flight(now_ms)
        peak_in_flight = max(count for _, count in endpoint.history)
        endpoint.foreign = max(0, load.in_flight - peak_in_flight)
        endpoint.reported_ms = now_ms
        # An engine without the service's model rejects every request.
        other_model = bool(load.model and endpoint.spec.model != load.model)
        endpoint.leaving = load.leaving or other_model
        endpoint.step_ms = load.step_ms
        self._adapt_limit(endpoint, load)
        self._update_free(endpoint, now_ms)

    def choose(
        self, now_ms: float, *, prefix: int = 0, failure_domain: str = "", exclude: str = ""
    ) -> str | None:
        """Return the name of the best free endpoint, None if there is none."""
        candidates = self._candidates(prefix)
        best: _Endpoint | None = None
        best_score = 0.0
        for endpoint in candidates:
            if endpoint.spec.name == exclude or endpoint.free_slots_at(now_ms) <= 0:
                continue
            score = self._score(endpoint, prefix, failure_domain)
            if best is None or score < best_score:
                best, best_score = endpoint, score
        if best is None and len(candidates) < len(self._free):
            best = next((e for e in self._free.values() if e.spec.name != exclude), None)
        return best.spec.name if best else None

    def take(self, name: str, now_ms: float, *, prefix: int = 0) -> None:
        """Occupy a slot; unknown endpoints are ignored."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.in_flight += 1
        endpoint.record_in_flight(now_ms)
        if prefix:
            endpoint.prefixes[prefix] = None
            endpoint.prefixes.move_to_end(prefix)
            if len(endpoint.prefixes) > PREFIX_MEMORY:
                endpoint.prefixes.popitem(last=False)
        self._update_free(endpoint, now_ms)

    def release(self, name: str, now_ms: float, *, failed: bool = False) -> None:
        """Free a slot; `failed` means that the endpoint did not answer."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        endpoint.record_in_flight(now_ms)
        if failed:
            self._record_failure(endpoint, now_ms)
        else:
            endpoint.failures = 0
            self._update_free(endpoint, now_ms)

    def free_slots(self, now_ms: float) -> int:
        """Number of slots that can be granted now."""
        return sum(max(0, endpoint.free_slots_at(now_ms)) for endpoint in self._free.values())

    def _candidates(self, prefix: int) -> list[_Endpoint]:
        free = list(self._free.values())
        if len(free) <= TWO_CHOICES_THRESHOLD:
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

    def _adapt_limit(self, endpoint: _Endpoint, load: LoadReport) -> None:
        if not load.step_ms or not load.idle_step_ms:
            return
        if load.step_ms > SLOWDOWN_THRESHOLD * load.idle_step_ms:
            endpoint.limit = max(1.0, endpoint.limit * LIMIT_DECREASE_FACTOR)
        else:
            endpoint.limit = min(float(endpoint.spec.slots), endpoint.limit + LIMIT_INCREASE_SLOTS)

    def _record_failure(self, endpoint: _Endpoint, now_ms: float) -> None:
        endpoint.failures += 1
        backoff_ms = min(
            ENDPOINT_BACKOFF_MAX_MS, ENDPOINT_BACKOFF_MS * 2 ** (endpoint.failures - 1)
        )
        endpoint.backoff_until_ms = now_ms + backoff_ms
        self._update_free(endpoint, now_ms)

    def _update_free(self, endpoint: _Endpoint, now_ms: float) -> None:
        if endpoint.free_slots_at(now_ms) > 0:
            self._free[endpoint.spec.name] = endpoint
        else:
            self._free.pop(endpoint.spec.name, None)
