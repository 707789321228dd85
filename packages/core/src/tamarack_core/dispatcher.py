"""Dispatcher of one shard: grants endpoint slots to waiting tickets during one term."""

from __future__ import annotations

import heapq
from collections import Counter
from typing import NamedTuple

from tamarack_core.actions import Send
from tamarack_core.defaults import (
    PROGRESS_STEP,
    REGISTRATION_WINDOW_MS,
)
from tamarack_core.dispatch_messages import (
    USAGE_FAILED,
    USAGE_FINISHED,
    USAGE_RETURNED,
    USAGE_RUNNING,
    USAGE_UNREACHABLE,
    Grant,
    Grants,
    Poll,
    PollAck,
    Probe,
    RefuseTickets,
    Register,
    ShardCounters,
    ShardKey,
    Ticket,
    TicketRefusal,
    Usage,
)
from tamarack_core.dispatch_policy import DispatchPolicy
from tamarack_core.endpoint_pool import EndpointPool, EndpointSpec, LoadReport
from tamarack_core.errors import ErrorCode
from tamarack_core.estimator import Estimator
from tamarack_core.fair_queue import FairQueue, Waiting
from tamarack_core.grant_intervals import GrantIntervals
from tamarack_core.queue_policy import FAIR, QUEUES
from tamarack_core.remote_shards import RemoteShards
from tamarack_core.router_accounts import GRANT_IN_FLIGHT_MS, RouterAccounts
from tamarack_core.running_grants import Running, RunningGrants

WAIT_PREDICTION_MIN_TICKETS = 8  # tickets of a workspace; with fewer, no wait is predicted
MAX_UNPLACED_TICKETS = 8  # tickets without a usable endpoint in one dispatch round


class ShareReading(NamedTuple):
    """Service counter, queue length and service of one workspace, for operators."""

    workspace: str
    counter: float
    waiting: int
    running: int
    served: float


class Dispatcher:
    """One shard's dispatcher for one term.

    Parameters
    ----------
    shard, term
        The shard that it dispatches, and the number of the term.
    shards
        Number of shards of the service.
    now_ms
        Start of the term; grants begin `registration_ms` later, so that routers can register.
    """

    def __init__(
        self,
        shard: ShardKey,
        term: int,
        policy: DispatchPolicy,
        now_ms: float,
        *,
        shards: int = 1,
        exchange_ms: float = 1_000.0,
        registration_ms: float = REGISTRATION_WINDOW_MS,
        order: str = FAIR,
    ) -> None:
        return_grace_ms = 2 * exchange_ms if shards > 1 else 0.0
        self._shard = shard
        self._term = term
        self._policy = policy
        self._shards = shards
        self._grants_from_ms = now_ms + registration_ms
        self._pool = EndpointPool(seed=term)
        self._queue = QUEUES[order](
            policy.weights,
            default_weight=policy.default_weight,
            return_grace_ms=return_grace_ms,
            shard=shard.number,
            shards=shards,
            unit=policy.default_cost,
        )
        self._estimator = Estimator(policy.default_cost)
        self._deadlines: list[tuple[float, str]] = []
        self._served: Counter[str] = Counter()
        self._routers = RouterAccounts()
        self._running = RunningGrants(self._pool, self._routers)
        self._intervals = GrantIntervals()
        self._remote = RemoteShards()
        self._domains: dict[str, str] = {}
        self._counts: Counter[str] = Counter()

    @property
    def term(self) -> int:
        """Number of the term."""
        return self._term

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name since the term began."""
        return self._counts

    @property
    def waiting(self) -> int:
        """Number of waiting tickets."""
        return len(self._queue)

    @property
    def running(self) -> int:
        """Number of grants in use."""
        return len(self._running)

    @property
    def idle(self) -> bool:
        """Whether there are no waiting tickets and no grants in use."""
        return not len(self._running) and not len(self._queue)

    @property
    def pool(self) -> EndpointPool:
        """The shard's endpoints."""
        return self._pool

    @property
    def queue(self) -> FairQueue:
        """Queue of the waiting tickets."""
        return self._queue

    def shares(self) -> list[ShareReading]:
        """Counter, queue length and service of each workspace seen in this term."""
        names = sorted({name for name, _, _ in self._queue.totals()} | set(self._queue.backlogged))
        return [
            ShareReading(
                name,
                self._queue.counter(name),
                self._queue.waiting_of(name),
                self._running.of_workspace(name),
                self._served[name],
            )
            for name in names
        ]

    def configure(
        self,
        specs: list[EndpointSpec],
        policy: DispatchPolicy,
        domains: dict[str, str],
        now_ms: float,
    ) -> None:
        """Apply the current endpoints, policy and failure domains of routers."""
        self._policy = policy
        self._domains = domains
        self._queue.set_weights(policy.weights, policy.default_weight)
        self._pool.configure(specs, now_ms)

    def report(self, endpoint: str, load: LoadReport, now_ms: float) -> None:
        """Process a load report of an endpoint."""
        self._pool.report(endpoint, load, now_ms)

    def submit(self, router: str, tickets: list[Ticket], now_ms: float) -> list[Send]:
        """Queue tickets of a router; tickets that cannot be served are refused immediately."""
        self._routers.record_message(router, now_ms)
        refusals = []
        for ticket in tickets:
            refusal = self._admit(router, ticket, now_ms)
            if refusal is not None:
                refusals.append(refusal)
        return self._refuse(router, refusals)

    def cancel(self, router: str, requests: list[str], now_ms: float) -> None:
        """Remove cancelled tickets.

        If a grant crosses the cancellation on the network, the router returns the grant.
        """
        for request in requests:
            waiting = self._queue.find(request)
            if waiting is not None and waiting.router == router:
                self._queue.remove(request, now_ms)
                self._routers.waiting[router] -= 1

    def usage(self, router: str, usages: list[Usage], now_ms: float) -> None:
        """Process usage reports: progress of running requests and final settlements."""
        self._routers.record_message(router, now_ms)
        for usage in usages:
            running = self._running.find(usage.request)
            if running is None or running.router != router:
                self._counts["usage_unmatched"] += 1
                continue
            if usage.state == USAGE_RUNNING:
                self._progress(running, usage.cost)
            else:
                self._settle(running, usage, now_ms)

    def register(self, router: str, message: Register, now_ms: float) -> list[Send]:
        """Replace the state held for a router with the router's own registration."""
        running_requests = {grant.request for grant in message.running}
        waiting = {ticket.request for ticket in message.tickets}
        self._drop_router(router, now_ms, queued=waiting)
        for workspace, counter in message.counters.items():
            self._queue.raise_counter(workspace, counter)
        for grant in message.running:
            running = Running(
                grant.request, router, grant.workspace, grant.endpoint, grant.charged, now_ms
            )
            self._running.take(running)
        tickets = [t for t in message.tickets if t.request not in running_requests]
        return self.submit(router, tickets, now_ms)

    def poll(self, router: str, message: Poll, now_ms: float) -> Send:
        """Answer a router's poll; request a full registration after two mismatches in a row."""
        self._routers.record_message(router, now_ms)
        resync = self._routers.mismatched_twice(router, message, now_ms)
        if resync:
            self._counts["resync"] += 1
        return Send(router, PollAck(self._shard, self._term, resync))

    def router_died(self, router: str, now_ms: float) -> None:
        """Release the tickets and grants of a dead router and remove its accounts."""
        self._drop_router(router, now_ms)
        self._routers.remove_router(router)

    def tick(self, now_ms: float) -> list[Send]:
        """Refuse expired tickets, refresh the endpoints and check for silent routers."""
        self._pool.refresh(now_ms)
        expired: dict[str, list[TicketRefusal]] = {}
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            _, request = heapq.heappop(self._deadlines)
            waiting = self._queue.find(request)
            if waiting is None or waiting.deadline_ms > now_ms:
                continue
            self._queue.remove(request, now_ms)
            self._routers.waiting[waiting.router] -= 1
            expired.setdefault(waiting.router, []).append(
                TicketRefusal(request, ErrorCode.DEADLINE, 1_000)
            )
        sends = []
        for router, refusals in expired.items():
            sends.extend(self._refuse(router, refusals))
        return sends + self._release_silent_routers(now_ms)

    def dispatch(self, now_ms: float) -> list[Send]:
        """Grant free slots to waiting tickets in fair-share order."""
        if now_ms < self._grants_from_ms:
            return []
        grants: dict[str, list[Grant]] = {}
        counters: dict[str, dict[str, float]] = {}
        unplaced: list[Waiting] = []
        while len(self._queue):
            if not self._pool.has_free or len(unplaced) >= MAX_UNPLACED_TICKETS:
                break
            waiting = self._queue.pop(now_ms)
            if waiting is None:
                break
            endpoint = self._endpoint_for(waiting, now_ms)
            if endpoint is None:
                unplaced.append(waiting)
                continue
            grant = self._grant(waiting, endpoint, now_ms)
            grants.setdefault(waiting.router, []).append(grant)
            workspace = waiting.ticket.workspace
            counters.setdefault(waiting.router, {})[workspace] = round(
                self._queue.counter(workspace)
            )
        for waiting in unplaced:
            self._queue.push(waiting, now_ms)
        return [
            Send(router, Grants(self._shard, self._term, granted, counters[router]))
            for router, granted in grants.items()
        ]

    def exchange(self) -> ShardCounters:
        """Totals of workspaces with waiting tickets or running grants, for other shards."""
        active = set(self._queue.backlogged) | self._running.workspaces
        charged = {}
        refunded = {}
        for name, total_charged, total_refunded in self._queue.totals():
            if name in active:
                charged[name] = total_charged
                refunded[name] = total_refunded
        return ShardCounters(self._shard, self._term, charged, refunded)

    def merge(self, message: ShardCounters) -> None:
        """Merge totals of another shard; older totals of the same term have no effect."""
        for name, charged, serving in self._remote.merge(message):
            self._queue.exchange(name, charged, min(self._shards, 1 + serving))

    def _release_silent_routers(self, now_ms: float) -> list[Send]:
        """Release the slots of routers that hold grants and stopped sending messages.

        Membership probing takes seconds to declare a router dead. Until then its slots would stay
        idle while tickets wait. A router that was only partitioned registers its runs again.
        """
        silent = self._routers.silent(self._pool.slots, now_ms)
        for router in silent.lost:
            self._counts["router_silent"] += 1
            self._drop_router(router, now_ms)
        return [Send(router, Probe(self._shard, self._term)) for router in silent.due]

    def _endpoint_for(self, waiting: Waiting, now_ms: float) -> str | None:
        ticket = waiting.ticket
        domain = self._domains.get(waiting.router, "")
        # A single endpoint stays eligible after a failure, since there is no alternative.
        exclude = ticket.exclude if len(self._pool) > 1 else ""
        return self._pool.choose(
            now_ms, prefix=ticket.prefix, failure_domain=domain, exclude=exclude
        )

    def _admit(self, router: str, ticket: Ticket, now_ms: float) -> TicketRefusal | None:
        running = self._running.find(ticket.request)
        if running is not None:
            if now_ms - running.granted_ms < GRANT_IN_FLIGHT_MS:
                return None
            # The grant was lost in transit; without a release the ticket would wait forever.
            self._running.release(running, now_ms)
            self._queue.charge(running.workspace, -running.charged)
        workspace = ticket.workspace
        if self._queue.waiting_of(workspace) >= self._policy.queue_limit:
            return TicketRefusal(ticket.request, ErrorCode.QUEUE_FULL, 1_000)
        wait_ms = self._expected_wait_ms(workspace)
        if wait_ms > ticket.deadline_ms:
            return TicketRefusal(ticket.request, ErrorCode.DEADLINE, int(wait_ms / 2))
        deadline_ms = now_ms + ticket.deadline_ms
        waiting = Waiting(ticket, router, now_ms - ticket.waited_ms, deadline_ms)
        if not self._queue.push(waiting, now_ms):
            self._counts["ticket_duplicate"] += 1
            return None
        self._counts["tickets"] += 1
        self._routers.waiting[router] += 1
        heapq.heappush(self._deadlines, (deadline_ms, ticket.request))
        return None

    def _expected_wait_ms(self, workspace: str) -> float:
        waiting = self._queue.waiting_of(workspace)
        if waiting < WAIT_PREDICTION_MIN_TICKETS or self._pool.has_free:
            return 0.0
        return waiting * self._intervals.mean_ms(workspace)

    def _grant(self, waiting: Waiting, endpoint: str, now_ms: float) -> Grant:
        ticket = waiting.ticket
        charged = float(round(self._estimator.estimate(ticket.workspace, ticket.hint)))
        self._routers.granted(waiting.router, now_ms)
        backlogged = self._queue.waiting_of(ticket.workspace) > 0
        self._intervals.granted(ticket.workspace, now_ms, backlogged=backlogged)
        self._queue.charge(ticket.workspace, charged)
        self._queue.set_unit(ticket.workspace, charged)
        running = Running(
            ticket.request, waiting.router, ticket.workspace, endpoint, charged, now_ms
        )
        self._running.take(running, ticket.prefix)
        self._counts["grants"] += 1
        return Grant(ticket.request, endpoint, round(charged))

    def _progress(self, running: Running, cost: float) -> None:
        if cost <= running.charged:
            return
        # Charges beyond the reported cost, so that a long run counts before its next report.
        charged = cost * (1.0 + PROGRESS_STEP)
        self._queue.charge(running.workspace, charged - running.charged)
        self._running.charge(running, charged)

    def _settle(self, running: Running, usage: Usage, now_ms: float) -> None:
        cost = usage.cost if usage.state in (USAGE_FINISHED, USAGE_FAILED) else 0.0
        if usage.state == USAGE_FINISHED:
            self._estimator.learn(running.workspace, cost)
        self._served[running.workspace] += cost  # type: ignore[assignment]
        self._queue.charge(running.workspace, cost - running.charged)
        failed = usage.state in (USAGE_FAILED, USAGE_UNREACHABLE)
        self._counts["failed" if failed else "settled"] += 1
        if usage.state == USAGE_RETURNED:
            self._counts["returned"] += 1
        self._running.release(running, now_ms, failed=failed)

    def _drop_router(self, router: str, now_ms: float, queued: set[str] = frozenset()) -> None:  # type: ignore[assignment]
        for waiting in [w for w in self._queue.entries() if w.router == router]:
            self._queue.remove(waiting.ticket.request, now_ms)
        for running in self._running.of_router(router):
            fresh = now_ms - running.granted_ms < GRANT_IN_FLIGHT_MS
            if not (fresh and running.request in queued):
                self._running.release(running, now_ms)
        self._routers.cleared(router)

    def _refuse(self, router: str, refusals: list[TicketRefusal]) -> list[Send]:
        if not refusals:
            return []
        self._counts["refused"] += len(refusals)
        return [Send(router, RefuseTickets(self._shard, self._term, refusals))]
