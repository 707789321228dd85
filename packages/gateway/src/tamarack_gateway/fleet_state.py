"""The local state of one router: the configuration, the endpoints and their condition."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from tamarack_core.clock import Clock
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation, EndpointRegistry
from tamarack_core.engine_model import EngineModel
from tamarack_core.evacuations import Evacuations
from tamarack_core.first_token import FirstTokenTime
from tamarack_core.key_freshness import KeyFreshness
from tamarack_core.leaving import LeavingPlan
from tamarack_core.memory_budget import BUDGET_FRACTION, MemoryBudget
from tamarack_core.quarantine import Quarantine
from tamarack_core.quarantine_records import DEFAULT_BOUNDS, QuarantineBounds
from tamarack_core.retry_allowance import RetryAllowance
from tamarack_core.retry_detector import RetryDetector
from tamarack_core.ruleset import CallerBounds, Ruleset
from tamarack_core.service_shares import ServiceShares
from tamarack_core.service_times import ServiceTimes
from tamarack_core.software_versions import LONGEST_STREAM_MS, SoftwareVersions
from tamarack_core.suspect_exchange import EvidenceCatchUp, SuspectEvidence
from tamarack_core.terminations import Terminations
from tamarack_core.vouching import Vouching
from tamarack_core.warm_up import SETTLE_MS, WarmUps
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.endpoint_notices import EndpointNotices
from tamarack_gateway.outbox import Placements
from tamarack_gateway.site import GatewaySettings
from tamarack_gateway.unreadable_rows import UnreadableRows

FRESH_FRACTION = 0.6
"""Largest age of the key confirmation, as a fraction of the revocation bound, at which callers are
still sent to this router: 3 s of 5. Store calls that wait a fifth of the bound keep the age below
it even if one is lost, also where another router makes them and passes the result on. Above it,
keys could expire before a caller is served."""

RETAINED_FRACTION = 0.85
"""Longest time for which a missing entry is retained, as a fraction of the time for which a leaving
endpoint may get new work: 1.7 s of 2. The rest is for the change and the work to be delivered."""

ADDRESS_TTL_MS = 1_000.0
"""Time to live of the addresses that callers get; some callers use them three times as long. A
router that stops serves callers for that time."""

KEY_MARGIN_MS = 500.0
"""Margin by which a key expires before its revocation bound: a request forwarded just before is
still on its way to the endpoint, and timers fire late."""

UNCONFIGURED_WARM_UP_MS = 10_000.0
"""Longest warm-up in milliseconds of endpoints that are listed before the configuration is known;
it has no effect on services that the configuration then does not limit."""


class FleetState:
    """State shared by the tasks of one router; only the event loop's thread accesses it.

    Attributes
    ----------
    owns
        Returns whether this router owns a key; each key is handled by one router of the fleet.
    is_briefed
        Returns whether what only other routers may know has been asked for.
    on_incarnation_ended
        Called with an incarnation of an endpoint that is no longer listed, and whether a new
        incarnation of the same name has replaced it.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        log: DecisionLog,
        *,
        seed: int,
        quarantine: QuarantineBounds = DEFAULT_BOUNDS,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.clock = clock
        self.log = log
        self.random = random.Random(seed)
        self.memory = MemoryBudget(BUDGET_FRACTION * settings.memory_bytes)
        self.rules: Ruleset | None = None
        self.registry = EndpointRegistry(kept_ms=bounds.drain_ms * RETAINED_FRACTION)
        self.endpoints_known = False
        self.evacuations = Evacuations()
        self.warm_ups = WarmUps()
        self.vouching = Vouching(clock.now_ms)
        self.software_versions = SoftwareVersions(clock, lambda: self.longest_stream_ms)
        self.terminations = Terminations(clock)
        self.notices = EndpointNotices(self.registry, log, clock, settings.router)
        self.models: dict[str, EngineModel] = {}
        self.records: dict[str, EndpointRecord] = {}
        self._incarnations: dict[str, int | None] = {}
        self.freshness = KeyFreshness(bounds.revoke_ms - KEY_MARGIN_MS)
        self.allowance = RetryAllowance(
            bounds.retry_ratio,
            bounds.retry_slack,
            bounds.retry_window_ms,
            started_ms=clock.now_ms,
        )
        self.shares = ServiceShares(bounds.share_window_ms, clock.now_ms)
        self.retry_detector = RetryDetector()
        self.catch_up = EvidenceCatchUp(clock.now_ms)
        self.quarantine = Quarantine(
            lambda fingerprint: self.owns(fingerprint),
            quarantine,
            settled=lambda: not self.catch_up.lacks(clock.now_ms),
        )
        self.quarantine_known = False
        self.complete: Callable[[], bool] = _always
        self.owns: Callable[[str], bool] = _owns_nothing
        self.on_incarnation_ended: Callable[[EndpointIncarnation, bool], None] = _ignore
        self.leaving: LeavingPlan | None = None
        self._times: dict[str, ServiceTimes] = {}
        self._first_tokens: dict[str, FirstTokenTime] = {}
        self.unreadable = UnreadableRows(log, clock)
        self.unreadable_rules: str | None = None
        self.keys_known = True
        self.is_briefed: Callable[[], bool] = _is_true

    def learn_suspects(self, told: Sequence[SuspectEvidence], teller: str) -> None:
        """Add evidence of crashes that this router has missed."""
        changes = self.quarantine.evidence_changes
        self.quarantine.merge(told, self.clock.now_ms)
        if self.quarantine.evidence_changes > changes:
            self.log.change(
                "suspects learned",
                teller=teller,
                told=len(told),
                suspects=self.quarantine.suspect_count,
            )

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.initialized and self.leaving is None and self.complete()

    @property
    def stopping_ms(self) -> int | None:
        """Milliseconds since the request to stop; None if the router is not stopping."""
        plan = self.leaving
        return None if plan is None else round(self.clock.now_ms - plan.requested_ms)

    @property
    def initialized(self) -> bool:
        """Whether everything that decisions about requests depend on has been read.

        A router that accepted callers before it has read the quarantined requests would forward
        these; in a fleet that restarts, each router would.
        """
        read = self.rules is not None and self.endpoints_known and self.quarantine_known
        return read and self.is_briefed()

    @property
    def fresh(self) -> bool:
        """Whether keys remain valid long enough to send callers here."""
        fresh_ms = self.settings.bounds.revoke_ms * FRESH_FRACTION
        return self.freshness.age_ms(self.clock.now_ms) <= fresh_ms

    @property
    def address_ttl_ms(self) -> float:
        """Time to live, in milliseconds, of the addresses given to callers."""
        return min(ADDRESS_TTL_MS, self.settings.bounds.address_ttl_ms)

    @property
    def longest_stream_ms(self) -> float:
        """Longest time in milliseconds for which a caller may go on with a stream."""
        longest_ms = self.rules.longest_resumable_ms if self.rules is not None else 0.0
        return max(LONGEST_STREAM_MS, longest_ms)

    @property
    def bounds(self) -> CallerBounds:
        """Limits on what callers may send."""
        return self.rules.bounds if self.rules is not None else CallerBounds()

    def put_rules(self, rules: Ruleset) -> bool:
        """Put a configuration in force, unless it is older than the current one."""
        if self.rules is not None and rules.version < self.rules.version:
            return False
        if self.rules is None or rules.version != self.rules.version:
            self.log.change("configuration", version=rules.version)
        self.rules = rules
        self.shares.keep(rules.engine_services)
        self.unreadable_rules, self.keys_known = None, True
        self._resize_models()
        self.warm_ups.on_begin()
        return True

    def put_unreadable_rules(self, reason: str, keys: dict[str, str] | None) -> None:
        """Record that the newest configuration cannot be read, apart from `keys` if given.

        The last valid version stays in force. Revoked keys must still be rejected: the keys of the
        newest version are used. If these cannot be read either, all keys expire as they do while
        the store is unavailable.
        """
        self.unreadable_rules = reason
        self.keys_known = keys is not None
        if self.rules is not None and keys is not None:
            self.rules = self.rules.with_keys(keys)

    def sync_endpoints(self) -> None:
        """Keep models and records for exactly the current incarnations of the listed endpoints."""
        listed = {name: self.registry.find(name) for name in self.registry.names}
        for endpoint in listed.values():
            if endpoint is not None and not self.knows(endpoint.key):
                self._start_incarnation(endpoint)
        for name in [name for name in self.records if name not in listed]:
            over = EndpointIncarnation(name, self._incarnations[name])
            del self.records[name], self.models[name], self._incarnations[name]
            self.on_incarnation_ended(over, False)
        self.software_versions.update(self.registry.software_versions)
        self._resize_models()

    def knows(self, key: EndpointIncarnation) -> bool:
        """Whether this is the current incarnation of a listed endpoint."""
        return key.name in self._incarnations and self._incarnations[key.name] == key.life

    def model(self, key: EndpointIncarnation) -> EngineModel | None:
        """The model of an engine; None if it is not listed or has another incarnation now.

        Messages about one incarnation must not affect the model of the next: a delayed message
        about cached prefix blocks would attract requests to an engine with an empty cache.
        """
        return self.models.get(key.name) if self.knows(key) else None

    def apply_placements(self, placements: Placements) -> None:
        """Apply what other routers placed, and what they observed in first events."""
        now_ms = self.clock.now_ms
        incarnations, models = self._incarnations, self.models
        for name, reading_ms, parts, life in placements.placed:
            if name in incarnations and incarnations[name] == life:
                models[name].add_peer_work(reading_ms, now_ms)
                if parts:
                    models[name].add_peer_blocks(parts, now_ms)
        for name, wait_ms, pace, life in placements.seen:
            if name in incarnations and incarnations[name] == life:
                models[name].observe_peer(wait_ms, pace, now_ms)
        # Counts for services that this router does not know are dropped: they may be invalid.
        known = self.rules.engine_services if self.rules is not None else ()
        for service, rows in placements.tokens.items():
            if service in known:
                shares = self.shares.of(service)
                for workspace, asked, served in rows:
                    if asked >= 0 and served >= 0:
                        shares.count(workspace, asked, served, now_ms)

    def record(self, key: EndpointIncarnation) -> EndpointRecord | None:
        """The record of an endpoint's answers; None if not listed or of another incarnation."""
        return self.records.get(key.name) if self.knows(key) else None

    def times(self, service: str) -> ServiceTimes:
        """Request durations of a service; entries of removed services are dropped."""
        if service not in self._times:
            known = {known.name for known in self.rules.services} if self.rules else set()
            self._times = {name: times for name, times in self._times.items() if name in known}
            self._times[service] = ServiceTimes()
        return self._times[service]

    def tokens_per_event(self, service: str) -> int | None:
        """Tokens per event in a service's streams; None for a plain service."""
        known = self.rules.service(service) if self.rules else None
        return known.engine.tokens_per_event if known is not None and known.engine else None

    def usable(self, service: str) -> list[Endpoint]:
        """Endpoints of a service that may get new work."""
        endpoints = self.registry.usable(service)
        if self.evacuations:
            covers = self.evacuations.covers
            endpoints = [e for e in endpoints if not covers(e.failure_domain)]
        return self.terminations.without_excluded(endpoints)

    def available(self, service: str) -> list[Endpoint]:
        """Usable endpoints of a service that may get a request now.

        Endpoints that rest are left out, and those that are warming up and get no more now.
        """
        endpoints = self.notices.rests.without_excluded(self.usable(service))
        if self.warm_up_limit(service) is None:
            return endpoints
        return self.warm_ups.without_limited(endpoints, self.clock.now_ms)

    def is_available(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is still among those that `available` returns for its service."""
        key, service = endpoint.key, endpoint.service
        return (
            self.registry.is_usable(endpoint)
            and not self.evacuations.covers(endpoint.failure_domain)
            and not self.terminations.covers(key)
            and not self.notices.rests.covers(key)
            and (
                self.warm_up_limit(service) is None or self.warm_ups.allows(key, self.clock.now_ms)
            )
        )

    def in_regions(
        self, endpoints: list[Endpoint], regions: frozenset[str] | None
    ) -> list[Endpoint]:
        """Those of some endpoints that lie in one of the regions; all if `regions` is None."""
        if regions is None:
            return endpoints
        region_of = self.settings.regions
        return [e for e in endpoints if region_of.get(e.failure_domain) in regions]

    def warm_up_limit(self, service: str) -> int | None:
        """Requests a second that an endpoint may get while it is warming up; None if unlimited."""
        known = self.rules.service(service) if self.rules else None
        if known is None or known.warm_up is None:
            return None
        bounds = self.settings.bounds
        return int(known.warm_up.requests_per_s * bounds.warm_up_factor + bounds.warm_up_slack)

    def record_warm_up(self, endpoint: Endpoint, *, unused: bool) -> None:
        """Record what an endpoint's entry says of its warm-up.

        Parameters
        ----------
        unused
            Whether no router has sent requests to this incarnation.
        """
        now_ms, longest_ms = self.clock.now_ms, self._longest_warm_up_ms(endpoint.service)
        remaining_ms = min(max(0.0, endpoint.warm_up_ms), longest_ms)
        grantable_ms = now_ms if unused else self._settled_ms(endpoint.failure_domain)
        if self.warm_ups.listed(endpoint.key, remaining_ms, now_ms, grantable_ms=grantable_ms):
            self.log.change(
                "endpoint warming up", endpoint=endpoint.name, remaining_ms=round(remaining_ms)
            )

    def evacuate(self, domain: str) -> None:
        """Send nothing more to the endpoints of a failure domain."""
        if self.evacuations.begin(domain, self.clock.now_ms):
            known = domain in self.registry.failure_domains
            self.log.change("failure domain evacuated", domain=domain, known=known)

    def restore(self, domain: str) -> None:
        """Use the endpoints of an evacuated failure domain again.

        They may have become cold meanwhile without having told so yet.
        """
        grantable_ms = self._settled_ms(domain)
        if not self.evacuations.end(domain, self.clock.now_ms):
            return
        self.log.change("failure domain restored", domain=domain)
        now_ms = self.clock.now_ms
        for endpoint in self.registry.in_failure_domain(domain):
            until_ms = now_ms + self._longest_warm_up_ms(endpoint.service)
            self.warm_ups.restored(endpoint.key, until_ms, now_ms, grantable_ms=grantable_ms)

    def _longest_warm_up_ms(self, service: str) -> float:
        if self.rules is None:
            return UNCONFIGURED_WARM_UP_MS
        known = self.rules.service(service)
        return known.warm_up.duration_ms if known is not None and known.warm_up else 0.0

    def _settled_ms(self, domain: str) -> float:
        """Time from which no request counts that was sent to a failure domain without a limit."""
        now_ms = self.clock.now_ms
        return max(now_ms, self.evacuations.domains.get(domain, now_ms) + SETTLE_MS)

    def shortest_aim_ms(self, service: str, aim_ms: float) -> float:
        """Shortest latency target of all routes on a service's engines, including `aim_ms`."""
        return min(aim_ms, self.rules.shortest_aim_ms(service)) if self.rules else aim_ms

    def throughput(self, service: str) -> float:
        """Configured throughput of a service's engines in tokens a second.

        The configuration has one figure for all engines; each service gets a share in proportion
        to the number of its engines.
        """
        if self.rules is None:
            return 0.0
        whole, names = self.rules.tokens_per_s, self.rules.engine_services
        if len(names) < 2 or service not in names:
            return whole
        counts = {name: len(self.usable(name)) for name in names}
        return whole * counts[service] / max(1, sum(counts.values()))

    def engines(self) -> list[Endpoint]:
        """Model engines among the endpoints that may get new work."""
        names = self.rules.engine_services if self.rules is not None else ()
        return [endpoint for name in names for endpoint in self.usable(name)]

    def _start_incarnation(self, endpoint: Endpoint) -> None:
        name = endpoint.name
        if name in self._incarnations:
            fields = {"life": endpoint.life, "life_before": self._incarnations[name]}
            self.log.change("endpoint restarted", endpoint=name, **fields)
            self.on_incarnation_ended(EndpointIncarnation(name, self._incarnations[name]), True)
        self._incarnations[name] = endpoint.life
        self.records[name] = EndpointRecord()
        first_token = self._first_tokens.setdefault(endpoint.service, FirstTokenTime())
        self.models[name] = EngineModel(first_token=first_token)

    def _resize_models(self) -> None:
        # An endpoint may be listed before the configuration names its service, and a later version
        # may change the engines' memory size: a model of the wrong size would count prefix blocks
        # as cached that have been evicted.
        for name, model in self.models.items():
            endpoint = self.registry.find(name)
            service = self.rules.service(endpoint.service) if self.rules and endpoint else None
            if service is not None and service.engine is not None:
                model.resize(service.engine.memory_tokens)


def _always() -> bool:
    """Default of `FleetState.complete`: all tasks run."""
    return True


def _is_true() -> bool:
    """Default of `FleetState.is_briefed`: there is nothing to ask for."""
    return True


def _owns_nothing(key: str) -> bool:
    """Default of `FleetState.owns`: no key is owned."""
    return False


def _ignore(key: EndpointIncarnation, replaced: bool) -> None:
    """Default of `FleetState.on_incarnation_ended`: does nothing."""
