"""What one router believes: the configuration, the endpoints and how they do."""

from __future__ import annotations

import random
from collections.abc import Callable

from tamarack_core.clock import Clock
from tamarack_core.endpoint_book import Endpoint, EndpointBook, EndpointLife
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.engine_model import EngineModel
from tamarack_core.first_token import FirstTokenTime
from tamarack_core.key_freshness import KeyFreshness
from tamarack_core.leaving import LeavingPlan
from tamarack_core.quarantine import Quarantine
from tamarack_core.quarantine_records import USUAL_BOUNDS, QuarantineBounds
from tamarack_core.retry_allowance import RetryAllowance
from tamarack_core.return_detector import ReturnDetector
from tamarack_core.ruleset import CallerBounds, Ruleset
from tamarack_core.service_shares import ServiceShares
from tamarack_core.service_times import ServiceTimes
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.outbox import Placements
from tamarack_gateway.site import GatewaySettings
from tamarack_gateway.unreadable_rows import UnreadableRows

FRESH_PART = 0.6
"""Part of the revocation bound up to which a confirmation may be old where callers are sent: 3 s of
5. Calls of a fifth of the bound, one of them lost, keep it below, also where another router makes
them and tells; those who come later meet keys that lapse before they are served."""

KEPT_PART = 0.85
"""Part of the time for which an endpoint that leaves may get new work that a missing entry is kept
at the longest: 1.7 s of 2. In the rest the change is told and the work sent on."""

ADDRESS_TTL_MS = 1_000.0
"""Time for which callers may use an answer with addresses; some use it three times as long. A
router that stops serves them for that time."""

KEY_MARGIN_MS = 500.0
"""Time that a key lapses before its bound: a request that is sent on just before is still on its
way to the endpoint then, and timers fire late."""


ENDED_MS = 4_000.0
"""Time for which an endpoint that ended gets no work though it is still listed: its entry lapses
after three missed heartbeats of 1.2 s. Without it each router finds out by connections that are
refused, for 0.9 to 3.6 s."""

ENDED_LIFELESS_MS = 1_000.0
"""The same where entries tell no life: the next one cannot be told from the one that ended."""


CLOSING_MS = 500.0
"""The same where it is only known to close new connections: something before it accepts them for an
endpoint that has ended, or it is full. Without it, what is sent meanwhile is lost there."""


class FleetState:
    """The beliefs that tasks of one router share; only the loop's thread touches them.

    Attributes
    ----------
    owns
        Tells whether a matter that one router sees to is this router's.
    on_life_over
        Called with a life of an endpoint that the list tells no more, and whether another one of
        the same name has taken its place.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        clock: Clock,
        log: DecisionLog,
        *,
        seed: int,
        quarantine: QuarantineBounds = USUAL_BOUNDS,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.clock = clock
        self.log = log
        self.random = random.Random(seed)
        self.rules: Ruleset | None = None
        self.book = EndpointBook(kept_ms=bounds.drain_ms * KEPT_PART)
        self.endpoints_known = False
        self.models: dict[str, EngineModel] = {}
        self.records: dict[str, EndpointRecord] = {}
        self._lives: dict[str, int | None] = {}
        self.freshness = KeyFreshness(bounds.revoke_ms - KEY_MARGIN_MS)
        self.allowance = RetryAllowance(
            bounds.retry_ratio, bounds.retry_slack, bounds.retry_window_ms
        )
        self.shares = ServiceShares(bounds.share_window_ms, clock.now_ms)
        self.returns = ReturnDetector()
        self.quarantine = Quarantine(lambda fingerprint: self.owns(fingerprint), quarantine)
        self.quarantine_known = False
        self.owns: Callable[[str], bool] = _never
        self.on_life_over: Callable[[EndpointLife, bool], None] = _nobody
        self._ended_until_ms: dict[EndpointLife, float] = {}
        self._ended_ms: dict[EndpointLife, float] = {}
        self.leaving: LeavingPlan | None = None
        self._times: dict[str, ServiceTimes] = {}
        self._first_tokens: dict[str, FirstTokenTime] = {}
        self.unreadable = UnreadableRows(log, clock)
        self.unreadable_rules: str | None = None
        self.keys_known = True

    @property
    def ready(self) -> bool:
        """Whether callers should be sent here."""
        return self.informed and self.leaving is None

    @property
    def informed(self) -> bool:
        """Whether all is known that callers' requests are decided by.

        A router that took callers before it knows which requests are quarantined would send these
        on, each router of a fleet that starts anew.
        """
        return self.rules is not None and self.endpoints_known and self.quarantine_known

    @property
    def fresh(self) -> bool:
        """Whether keys will be trusted for a while yet."""
        fresh_ms = self.settings.bounds.revoke_ms * FRESH_PART
        return self.freshness.age_ms(self.clock.now_ms) <= fresh_ms

    @property
    def address_ttl_ms(self) -> float:
        """Time to live of the answers with addresses that callers are given."""
        return min(ADDRESS_TTL_MS, self.settings.bounds.address_ttl_ms)

    @property
    def bounds(self) -> CallerBounds:
        """What callers may send."""
        return self.rules.bounds if self.rules is not None else CallerBounds()

    def put_rules(self, rules: Ruleset) -> bool:
        """Put a version in force, unless it is older than the one that is."""
        if self.rules is not None and rules.version < self.rules.version:
            return False
        if self.rules is None or rules.version != self.rules.version:
            self.log.change("configuration", version=rules.version)
        self.rules = rules
        self.shares.keep(rules.engine_services)
        self.unreadable_rules, self.keys_known = None, True
        self._fit_models()
        return True

    def put_unreadable_rules(self, reason: str, keys: dict[str, str] | None) -> None:
        """Take in that the newest version cannot be read, but for its keys where these are told.

        The last good version stays in force. Keys that were taken away must open nothing all the
        same: those of the newest version count, and where these cannot be read either, keys lapse
        as they do when the store is away.
        """
        self.unreadable_rules = reason
        self.keys_known = keys is not None
        if self.rules is not None and keys is not None:
            self.rules = self.rules.with_keys(keys)

    def settle_endpoints(self) -> None:
        """Keep models and records for just the present lives of the endpoints that there are."""
        found = {name: self.book.find(name) for name in self.book.names}
        for endpoint in found.values():
            if endpoint is not None and not self.knows(endpoint.key):
                self._begin(endpoint)
        for name in [name for name in self.records if name not in found]:
            over = EndpointLife(name, self._lives[name])
            del self.records[name], self.models[name], self._lives[name]
            self.on_life_over(over, False)
        self._fit_models()

    def knows(self, key: EndpointLife) -> bool:
        """Whether this is the present life of an endpoint that is there."""
        return key.name in self._lives and self._lives[key.name] == key.life

    def model(self, key: EndpointLife) -> EngineModel | None:
        """What is believed of an engine; None where it is not there, or has another life now.

        Word of one life must not change what is believed of the next: a router's message that
        tells late of kept parts would draw requests to an engine that keeps nothing.
        """
        return self.models.get(key.name) if self.knows(key) else None

    def take_placements(self, told: Placements) -> None:
        """Take in what other routers placed, and what their first events showed."""
        now_ms = self.clock.now_ms
        lives, models = self._lives, self.models
        for name, reading_ms, parts, life in told.placed:
            if name in lives and lives[name] == life:
                models[name].sent_elsewhere(reading_ms, now_ms)
                if parts:
                    models[name].keep_named(parts, now_ms)
        for name, wait_ms, pace, life in told.seen:
            if name in lives and lives[name] == life:
                models[name].seen_elsewhere(wait_ms, pace, now_ms)
        # What is told of a service that this router does not know is not kept: it may be nonsense.
        known = self.rules.engine_services if self.rules is not None else ()
        for service, rows in told.tokens.items():
            if service in known:
                shares = self.shares.of(service)
                for workspace, asked, served in rows:
                    shares.count(workspace, asked, served, now_ms)

    def record(self, key: EndpointLife) -> EndpointRecord | None:
        """How an endpoint has answered; None where it is not there, or has another life now."""
        return self.records.get(key.name) if self.knows(key) else None

    def times(self, service: str) -> ServiceTimes:
        """How long requests of a service take; kept for as many services as there are."""
        if service not in self._times:
            known = {known.name for known in self.rules.services} if self.rules else set()
            self._times = {name: times for name, times in self._times.items() if name in known}
            self._times[service] = ServiceTimes()
        return self._times[service]

    def tokens_per_event(self, service: str) -> int | None:
        """Tokens that one event of a service's streams holds; None for a plain service."""
        known = self.rules.service(service) if self.rules else None
        return known.engine.tokens_per_event if known is not None and known.engine else None

    def usable(self, service: str) -> list[Endpoint]:
        """Endpoints of a service that may get new work."""
        endpoints = self.book.usable(service)
        if not self._ended_until_ms:
            return endpoints
        now_ms = self.clock.now_ms
        until_ms = self._ended_until_ms
        return [e for e in endpoints if until_ms.get(e.key, 0.0) <= now_ms]

    def put_ended(self, key: EndpointLife, *, refused: bool) -> None:
        """Take in that a life of an endpoint is over, though its entry may still be there.

        Parameters
        ----------
        refused
            Whether nobody listens at its address; one that closes new connections may be full.
        """
        now_ms = self.clock.now_ms
        believed_ms = ENDED_MS if key.life is not None else ENDED_LIFELESS_MS
        until_ms = now_ms + (believed_ms if refused else CLOSING_MS)
        kept = {k: until for k, until in self._ended_until_ms.items() if until > now_ms}
        self._ended_until_ms = {**kept, key: max(until_ms, kept.get(key, 0.0))}
        ends = {k: at for k, at in self._ended_ms.items() if now_ms - at < ENDED_MS}
        self._ended_ms = {key: now_ms, **ends}

    def ended_ms(self, key: EndpointLife) -> float | None:
        """When this router first learned that a life is over; None where it has not lately."""
        return self._ended_ms.get(key)

    def shortest_aim_ms(self, service: str, aim_ms: float) -> float:
        """Shortest aim of all routes that share a service's engines with one of `aim_ms`."""
        return min(aim_ms, self.rules.shortest_aim_ms(service)) if self.rules else aim_ms

    def throughput(self, service: str) -> float:
        """Tokens a second that a service's engines carry, as far as the configuration tells.

        It tells this of all engines together; each service has a part of it by its engines.
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

    def _begin(self, endpoint: Endpoint) -> None:
        name = endpoint.name
        if name in self._lives:
            lives = {"life": endpoint.life, "life_before": self._lives[name]}
            self.log.change("endpoint started again", endpoint=name, **lives)
            self.on_life_over(EndpointLife(name, self._lives[name]), True)
        self._lives[name] = endpoint.life
        self.records[name] = EndpointRecord()
        first_token = self._first_tokens.setdefault(endpoint.service, FirstTokenTime())
        self.models[name] = EngineModel(first_token=first_token)

    def _fit_models(self) -> None:
        # An endpoint may be listed before the configuration names its service, and a later version
        # may change what its engines hold: a model of the wrong size would take parts for kept
        # that have yielded.
        for name, model in self.models.items():
            endpoint = self.book.find(name)
            service = self.rules.service(endpoint.service) if self.rules and endpoint else None
            if service is not None and service.engine is not None:
                model.resize(service.engine.memory_tokens)


def _never(matter: str) -> bool:
    """Stands where nobody has told which matters are this router's."""
    return False


def _nobody(key: EndpointLife, replaced: bool) -> None:
    """Stands where nobody waits for the end of a life."""
