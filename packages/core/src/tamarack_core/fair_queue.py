"""Weighted fair queue of waiting tickets.

The backlogged workspace with the lowest counter (service divided by weight) is served first.
Counters are charged at the grant, adjusted during the run and settled at its end.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from tamarack_core.defaults import AGING_MS
from tamarack_core.dispatch_messages import Ticket


class Waiting(NamedTuple):
    """A queued ticket with the router of its request and absolute times in milliseconds."""

    ticket: Ticket
    router: str
    arrived_ms: float
    deadline_ms: float

    @property
    def rank(self) -> tuple[float, float, str]:
        """Sort key within the workspace: priority, deadline, arrival.

        One priority level equals `AGING_MS` of waiting, so that later requests with a better
        priority cannot starve a request.
        """
        due_ms = self.arrived_ms + self.ticket.priority * AGING_MS
        return (min(due_ms, self.deadline_ms), self.arrived_ms, self.ticket.request)


class _Flow:
    """Counters and waiting tickets of one workspace.

    Attributes
    ----------
    charged, refunded
        Totals of this shard divided by weight; neither of them decreases.
    remote, exchanged
        Total of the other shards at the last exchange, and the own total at that time.
    lift
        Amount added to the counter when the workspace returns from idleness.
    factor
        Multiplier of the own grants since the last exchange.
    unit, stagger
        Expected charge of one grant, and the number of such charges that delay this shard.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.charged = 0.0
        self.refunded = 0.0
        self.remote = 0.0
        self.exchanged = 0.0
        self.lift = 0.0
        self.factor = 1.0
        self.unit = 0.0
        self.stagger = 0
        self.heap_key = 0.0
        self.idle_since_ms = float("-inf")
        self.heap: list[tuple[tuple[float, float, str], str]] = []
        self.waiting: dict[str, Waiting] = {}

    @property
    def own(self) -> float:
        return self.charged - self.refunded

    @property
    def counter(self) -> float:
        own_since_exchange = self.own - self.exchanged
        others = self.remote + own_since_exchange * (self.factor - 1.0)
        return self.own + others + self.lift

    @property
    def order(self) -> float:
        """Sort key among workspaces; inlines `counter`, since each grant reads it many times."""
        own = self.charged - self.refunded
        others = self.remote + (own - self.exchanged) * (self.factor - 1.0)
        return own + others + self.lift + self.unit * self.stagger


class FairQueue:
    """Tickets of one shard in fair-share order.

    Parameters
    ----------
    weights
        Weight per workspace; others have `default_weight`.
    return_grace_ms
        Idle time in milliseconds after which a returning workspace's counter is lifted to the
        lowest active counter. Zero if this queue receives every ticket of the service.
    shard, shards, unit
        Index of this shard, number of shards, and initial estimate of the cost of one grant.
        Between two exchanges all shards see the same lowest workspaces and would all grant to
        them, one grant per shard. Each shard therefore delays a workspace by a multiple of one
        grant's charge, and the multiple differs between shards, so that the shards take turns.
    """

    def __init__(
        self,
        weights: dict[str, float] | None = None,
        *,
        default_weight: float = 1.0,
        return_grace_ms: float = 0.0,
        shard: int = 0,
        shards: int = 1,
        unit: float = 0.0,
    ) -> None:
        self._weights = weights or {}
        self._default_weight = default_weight
        self._return_grace_ms = return_grace_ms
        self._shard = shard
        self._shards = shards
        self._unit = unit
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, str]] = []
        self._workspaces: dict[str, str] = {}
        self._floor = 0.0

    def __len__(self) -> int:
        return len(self._workspaces)

    def __contains__(self, request: str) -> bool:
        return request in self._workspaces

    @property
    def backlogged(self) -> list[str]:
        """Workspaces with waiting tickets."""
        return [name for name, flow in self._flows.items() if flow.waiting]

    def waiting_of(self, workspace: str) -> int:
        """Number of waiting tickets of a workspace."""
        flow = self._flows.get(workspace)
        return len(flow.waiting) if flow else 0

    def counter(self, workspace: str) -> float:
        """Service divided by weight of a workspace, including lifts after idle periods."""
        return self._flow(workspace).counter

    def entries(self) -> Iterator[Waiting]:
        """All waiting tickets, unordered."""
        for flow in self._flows.values():
            yield from flow.waiting.values()

    def waiting_in(self, workspace: str) -> list[Waiting]:
        """Waiting tickets of a workspace, unordered."""
        return list(self._flow(workspace).waiting.values())

    def find(self, request: str) -> Waiting | None:
        """The waiting ticket of a request, None if there is none."""
        workspace = self._workspaces.get(request)
        return self._flows[workspace].waiting[request] if workspace is not None else None

    def push(self, waiting: Waiting, now_ms: float) -> bool:
        """Add a ticket; False if its request is already queued."""
        ticket = waiting.ticket
        if ticket.request in self._workspaces:
            return False
        flow = self._flow(ticket.workspace)
        if not flow.waiting:
            self._activate(ticket.workspace, flow, now_ms)
        flow.waiting[ticket.request] = waiting
        heapq.heappush(flow.heap, (waiting.rank, ticket.request))
        self._workspaces[ticket.request] = ticket.workspace
        return True

    def remove(self, request: str, now_ms: float) -> Waiting | None:
        """Remove a request's ticket at any position; None if there is none."""
        workspace = self._workspaces.pop(request, None)
        if workspace is None:
            return None
        flow = self._flows[workspace]
        waiting = flow.waiting.pop(request)
        if not flow.waiting:
            flow.idle_since_ms = now_ms
            flow.heap.clear()
        return waiting

    def pop(self, now_ms: float) -> Waiting | None:
        """Remove and return the next ticket in fair-share order; None if the queue is empty."""
        workspace = self._lowest()
        if workspace is None:
            return None
        flow = self._flows[workspace]
        self._floor = max(self._floor, flow.counter)
        while True:
            _, request = heapq.heappop(flow.heap)
            if request in flow.waiting:
                break
        waiting = self.remove(request, now_ms)
        if flow.waiting:
            self._reindex(workspace, flow)
        return waiting

    def charge(self, workspace: str, cost: float) -> None:
        """Add cost units to a workspace's counter; a negative cost is a refund."""
        flow = self._flow(workspace)
        if cost >= 0:
            flow.charged += cost / flow.weight
        else:
            flow.refunded -= cost / flow.weight
        if flow.waiting:
            self._reindex(workspace, flow)

    def set_unit(self, workspace: str, cost: float) -> None:
        """Set the expected cost of one grant of a workspace."""
        flow = self._flow(workspace)
        flow.unit = cost / flow.weight

    def raise_counter(self, workspace: str, counter: float) -> None:
        """Raise a counter to at least the value reported by an earlier dispatcher."""
        flow = self._flow(workspace)
        flow.lift += max(0.0, counter - flow.counter)
        if flow.waiting:
            self._reindex(workspace, flow)

    def totals(self) -> Iterator[tuple[str, float, float]]:
        """Grow-only totals of this shard: workspace, charged, refunded."""
        for name, flow in self._flows.items():
            if flow.charged or flow.refunded:
                yield name, flow.charged, flow.refunded

    def exchange(self, workspace: str, remote: float, factor: float) -> None:
        """Apply what other shards have charged.

        Between two exchanges all shards prefer the same lowest workspace. Counting this shard's
        own grants `factor` times until the next exchange bounds the resulting gap.
        """
        flow = self._flow(workspace)
        flow.remote = remote
        flow.exchanged = flow.own
        flow.factor = max(1.0, factor)
        if flow.waiting:
            self._reindex(workspace, flow)

    def override(
        self, workspace: str, *, factor: float | None = None, stagger: int | None = None
    ) -> None:
        """Override the factor or the stagger of a workspace, for experiments."""
        flow = self._flow(workspace)
        flow.factor = flow.factor if factor is None else max(1.0, factor)
        flow.stagger = flow.stagger if stagger is None else stagger

    def set_weights(self, weights: dict[str, float], default_weight: float) -> None:
        """Apply the weights of another preset; counters are unchanged."""
        self._weights = weights
        self._default_weight = default_weight
        for name, flow in self._flows.items():
            flow.weight = weights.get(name, default_weight)

    def _flow(self, workspace: str) -> _Flow:
        flow = self._flows.get(workspace)
        if flow is None:
            weight = self._weights.get(workspace, self._default_weight)
            flow = self._flows[workspace] = _Flow(weight)
            offset = xxhash.xxh32_intdigest(workspace.encode())
            flow.stagger = (self._shard + offset) % self._shards
            flow.unit = self._unit / weight
        return flow

    def _activate(self, workspace: str, flow: _Flow, now_ms: float) -> None:
        # Without the lift a returning workspace would be credited for its idle period and would
        # starve the others until its counter caught up.
        if now_ms - flow.idle_since_ms >= self._return_grace_ms:
            flow.lift += max(0.0, self._floor - flow.counter)
        self._reindex(workspace, flow)

    def _reindex(self, workspace: str, flow: _Flow) -> None:
        flow.heap_key = flow.order
        heapq.heappush(self._heap, (flow.heap_key, workspace))
        # Each counter change leaves a stale heap entry; a rebuild bounds their number.
        if len(self._heap) > 64 + 8 * len(self._flows):
            active = [(f.heap_key, name) for name, f in self._flows.items() if f.waiting]
            heapq.heapify(active)
            self._heap = active

    def _lowest(self) -> str | None:
        while self._heap:
            order, workspace = self._heap[0]
            flow = self._flows.get(workspace)
            if flow is None or not flow.waiting:
                heapq.heappop(self._heap)
                continue
            if order != flow.heap_key:
                # A stale entry: each counter change pushes a new one.
                heapq.heappop(self._heap)
                continue
            heapq.heappop(self._heap)
            return workspace
        return None
