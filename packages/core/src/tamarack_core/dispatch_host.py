"""Dispatchers of the shards that one router dispatches, and their terms."""

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
    """Dispatchers that run on this router.

    Routers choose where they send tickets, and a router that receives one dispatches its shard.
    Two dispatchers of a shard over-admit for a short time but never run a request twice.
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
        self._configured_changes = 0
        self._config = Configuration()
        self._dispatchers: dict[ShardKey, Dispatcher] = {}
        self._highest_terms: dict[ShardKey, int] = {}
        self._idle_since: dict[ShardKey, float] = {}
        self._next_exchange_ms = 0.0
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name."""
        return self._counts

    @property
    def dispatchers(self) -> dict[ShardKey, Dispatcher]:
        """Dispatchers by shard."""
        return self._dispatchers

    def watched(self) -> dict[str, str]:
        """Addresses by name of the endpoints whose load this router polls."""
        return {
            spec.name: spec.address
            for dispatcher in self._dispatchers.values()
            for spec in dispatcher.pool.specs
        }

    def configure(self, config: Configuration, now_ms: float) -> None:
        """Apply a configuration; dispatchers of shards that no longer exist are removed."""
        self._config = config
        for shard in list(self._dispatchers):
            if shard.number >= config.shard_count(shard.service, self._shard_size):
                del self._dispatchers[shard]
            else:
                self._configure_one(shard, now_ms)

    def ensure(
        self, shard: ShardKey, term: int, now_ms: float
    ) -> tuple[Dispatcher | None, list[Send]]:
        """Return the shard's dispatcher; start a term if there is none or `term` is higher.

        A router that has seen the higher term ignores messages of a lower one as stale. It would
        switch to another dispatcher, return when its avoidance expires, and repeat this forever.
        """
        self._highest_terms[shard] = max(term, self._highest_terms.get(shard, 0))
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is not None and dispatcher.term >= term:
            return dispatcher, []
        if not self._config.version:
            return None, []
        return self._start_term(shard, now_ms)

    def term_start(self, sender: str, message: TermStart) -> None:
        """Step down for a dispatcher with a higher term; the greater router name wins a tie."""
        shard = message.shard
        self._highest_terms[shard] = max(message.term, self._highest_terms.get(shard, 0))
        dispatcher = self._dispatchers.get(shard)
        if dispatcher is None or sender == self._membership.me.router:
            return
        if (message.term, sender) > (dispatcher.term, self._membership.me.router):
            self._counts["stepped_down"] += 1
            del self._dispatchers[shard]

    def step_down(self) -> None:
        """Drop all dispatchers, such as after a pause, when other routers have taken over."""
        self._counts["stepped_down"] += len(self._dispatchers)
        self._dispatchers.clear()

    def router_died(self, router: str, now_ms: float) -> None:
        """Release the tickets and grants of a dead router."""
        for dispatcher in self._dispatchers.values():
            dispatcher.router_died(router, now_ms)

    def report(self, endpoint: str, load: LoadReport, now_ms: float) -> None:
        """Process a load report of an endpoint."""
        for dispatcher in self._dispatchers.values():
            if dispatcher.pool.knows(endpoint):
                dispatcher.report(endpoint, load, now_ms)

    def set_leaving(self, names: frozenset[str], now_ms: float) -> None:
        """Apply the platform's list of leaving endpoints."""
        self._leaving = names
        for dispatcher in self._dispatchers.values():
            dispatcher.pool.set_leaving(names, now_ms)

    def merge(self, message: ShardCounters) -> None:
        """Merge the counters of another shard."""
        for shard, dispatcher in self._dispatchers.items():
            if shard.service == message.shard.service and shard != message.shard:
                dispatcher.merge(message)

    def tick(self, now_ms: float) -> list[Send]:
        """Refuse expired tickets, exchange counters and drop idle dispatchers."""
        sends: list[Send] = []
        if self._order == LOCAL and self._configured_changes != self._membership.changes:
            self._configured_changes = self._membership.changes
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
        """Grant free slots at all dispatchers."""
        sends: list[Send] = []
        for dispatcher in self._dispatchers.values():
            sends.extend(dispatcher.dispatch(now_ms))
        return sends

    def _start_term(self, shard: ShardKey, now_ms: float) -> tuple[Dispatcher, list[Send]]:
        term = self._highest_terms[shard] = self._highest_terms[shard] + 1
        # With the local order, a router dispatches only its own tickets and contacts no others.
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
        own_specs = []
        for spec in specs:
            me, usable = self._membership.me.router, self._membership.usable
            slots = slots_of(me, [*usable, me] if me not in usable else usable, spec.slots, first)
            first += spec.slots
            own_specs.append(spec._replace(slots=slots))
        return own_specs

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
            preferred = (
                winner(f"{shard.service}/{shard.number}", usable) == self._membership.me.router
            )
            if preferred or not dispatcher.idle:
                self._idle_since.pop(shard, None)
                continue
            since_ms = self._idle_since.setdefault(shard, now_ms)
            if now_ms - since_ms >= DISPATCHER_IDLE_MS:
                del self._dispatchers[shard]
                del self._idle_since[shard]
