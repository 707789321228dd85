"""The shards that one router dispatches, and their terms."""

from __future__ import annotations

from collections import Counter

from tamarack_core.actions import Send
from tamarack_core.configuration import Configuration
from tamarack_core.defaults import (
    DISPATCHER_IDLE_MS,
    EXCHANGE_INTERVAL_MS,
    REGISTRATION_WINDOW_MS,
    SHARD_SIZE,
)
from tamarack_core.dispatch_messages import ShardCounters, ShardKey, TermStart
from tamarack_core.dispatcher import Dispatcher
from tamarack_core.endpoint_pool import EndpointSpec, LoadReport
from tamarack_core.membership import Membership
from tamarack_core.queue_policy import FAIR, LOCAL, slots_of
from tamarack_core.rendezvous import winner


class DispatchHost:
    """Dispatchers that live on this router.

    Routers choose whom they send tickets to; whoever receives one dispatches. Two at once cost
    over-admission for a moment, never a request run twice.
    """

    def __init__(
        self,
        membership: Membership,
        *,
        shard_size: int = SHARD_SIZE,
        exchange_ms: float = EXCHANGE_INTERVAL_MS,
        order: str = FAIR,
    ) -> None:
        self._membership = membership
        self._shard_size = shard_size
        self._exchange_ms = exchange_ms
        self._order = order
        self._leaving: frozenset[str] = frozenset()
        self._configured_at = 0
        self._config = Configuration()
        self._dispatchers: dict[ShardKey, Dispatcher] = {}
        self._seen: dict[ShardKey, int] = {}
        self._idle_since: dict[ShardKey, float] = {}
        self._next_exchange_ms = 0.0
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Events by name."""
        return self._counts

    @property
    def dispatchers(self) -> dict[ShardKey, Dispatcher]:
        """Dispatchers by shard."""
        return self._dispatchers

    def watched(self) -> dict[str, str]:
        """Addresses of the endpoints whose load this router needs."""
        return {
            spec.name: spec.address
            for dispatcher in self._dispatchers.values()
            for spec in dispatcher.pool.specs
        }

    def configure(self, config: Configuration, now_ms: float) -> None:
        """Take the configuration in force; shards that no longer exist end."""
        self._config = config
        for shard in list(self._dispatchers):
            if shard.number >= config.shard_count(shard.service, self._shard_size):
                del self._dispatchers[shard]
            else:
                self._configure_one(shard, now_ms)

    def ensure(
        self, shard: ShardKey, term: int, now_ms: float
    ) -> tuple[Dispatcher | None, list[Send]]:
        """Give the shard's dispatcher; begin a term if there is none, or a higher one was heard.

        A router that heard the higher term takes answers in a lower one for stale; it would turn
        away, come back when it stops avoiding this one, and so on for good.
        """
        self._seen[shard] = max(term, self._seen.get(shard, 0))
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None and dispatcher.term >= term:
            return dispatcher, []
        if not self._config.version:
            return None, []
        return self._begin(shard, now_ms)

    def term_start(self, sender: str, message: TermStart) -> None:
        """Step down for a dispatcher with a higher term; on a tie the greater name goes on."""
        shard = message.shard
        self._seen[shard] = max(message.term, self._seen.get(shard, 0))
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None or sender == self._membership.me.router:
            return
        if (message.term, sender) > (dispatcher.term, self._membership.me.router):
            self._counts["stepped_down"] += 1
            del self._dispatchers[shard]

    def step_down(self) -> None:
        """Give up all shards, as after a pause: others have taken over since."""
        self._counts["stepped_down"] += len(self._dispatchers)
        self._dispatchers.clear()

    def router_gone(self, router: str, now_ms: float) -> None:
        """Free what a dead router held."""
        for dispatcher in self._dispatchers.values():
            dispatcher.router_gone(router, now_ms)

    def report(self, endpoint: str, load: LoadReport, now_ms: float) -> None:
        """Take in an endpoint's load."""
        for dispatcher in self._dispatchers.values():
            if dispatcher.pool.knows(endpoint):
                dispatcher.report(endpoint, load, now_ms)

    def set_leaving(self, names: frozenset[str], now_ms: float) -> None:
        """Take the platform's list of leaving endpoints."""
        self._leaving = names
        for dispatcher in self._dispatchers.values():
            dispatcher.pool.set_leaving(names, now_ms)

    def merge(self, message: ShardCounters) -> None:
        """Take in another shard's counters."""
        for shard, dispatcher in self._dispatchers.items():
            if shard.service == message.shard.service and shard != message.shard:
                dispatcher.merge(message)

    def tick(self, now_ms: float) -> list[Send]:
        """Refuse late tickets, exchange counters, drop what is no longer dispatched here."""
        sends: list[Send] = []
        if self._order == LOCAL and self._configured_at != self._membership.changes:
            self._configured_at = self._membership.changes
            for shard in self._dispatchers:
                self._configure_one(shard, now_ms)
        for dispatcher in self._dispatchers.values():
            sends.extend(dispatcher.tick(now_ms))
        if now_ms >= self._next_exchange_ms:
            self._next_exchange_ms = now_ms + self._exchange_ms
            sends.extend(self._exchange())
            self._drop_idle(now_ms)
        return sends

    def dispatch(self, now_ms: float) -> list[Send]:
        """Grant whatever can be granted."""
        sends: list[Send] = []
        for dispatcher in self._dispatchers.values():
            sends.extend(dispatcher.dispatch(now_ms))
        return sends

    def _begin(self, shard: ShardKey, now_ms: float) -> tuple[Dispatcher, list[Send]]:
        term = self._seen[shard] = self._seen[shard] + 1
        # Alone, a router neither asks for others' tickets nor takes their shards.
        others = [] if self._order == LOCAL else self._membership.reachable
        dispatcher = Dispatcher(
            shard,
            term,
            self._config.policy(shard.service),
            now_ms,
            shards=self._config.shard_count(shard.service, self._shard_size),
            exchange_ms=self._exchange_ms,
            registration_ms=REGISTRATION_WINDOW_MS if others else 0.0,
            order=self._order,
        )
        dispatcher.pool.set_leaving(self._leaving, now_ms)
        self._dispatchers[shard] = dispatcher
        self._configure_one(shard, now_ms)
        self._counts["terms"] += 1
        me = self._membership.me.router
        return dispatcher, [Send(name, TermStart(shard, term)) for name in [me, *others]]

    def _configure_one(self, shard: ShardKey, now_ms: float) -> None:
        domains = {m.router: m.failure_domain for m in self._membership.members}
        self._dispatchers[shard].configure(
            self._endpoints_of(shard),
            self._config.policy(shard.service),
            domains,
            now_ms,
        )

    def _endpoints_of(self, shard: ShardKey) -> list[EndpointSpec]:
        specs = self._config.shard_endpoints(shard, self._shard_size)
        if self._order != LOCAL:
            return specs
        first = 0
        own = []
        for spec in specs:
            me, usable = self._membership.me.router, self._membership.usable
            slots = slots_of(me, [*usable, me] if me not in usable else usable, spec.slots, first)
            first += spec.slots
            own.append(spec._replace(slots=slots))
        return own

    def _exchange(self) -> list[Send]:
        sends: list[Send] = []
        usable = self._membership.usable
        for shard, dispatcher in self._dispatchers.items():
            count = self._config.shard_count(shard.service, self._shard_size)
            if count == 1:
                continue
            message = dispatcher.exchange()
            peers = {
                winner(f"{shard.service}/{index}", usable)
                for index in range(count)
                if index != shard.number
            }
            sends.extend(Send(name, message) for name in sorted(filter(None, peers)))
        return sends

    def _drop_idle(self, now_ms: float) -> None:
        usable = self._membership.usable
        for shard, dispatcher in list(self._dispatchers.items()):
            mine = winner(f"{shard.service}/{shard.number}", usable) == self._membership.me.router
            if mine or not dispatcher.idle:
                self._idle_since.pop(shard, None)
                continue
            since_ms = self._idle_since.setdefault(shard, now_ms)
            if now_ms - since_ms >= DISPATCHER_IDLE_MS:
                del self._dispatchers[shard]
                del self._idle_since[shard]
