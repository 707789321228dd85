"""Waiting tickets in the order of fair shares.

The backlogged workspace with the lowest counter of service per weight goes first. Counters are
charged at the grant, corrected while a run goes on and settled at its end.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

from tamarack_core.defaults import AGING_MS
from tamarack_core.dispatch_messages import Ticket


class Waiting(NamedTuple):
    """A ticket with the router that holds its request, and absolute times in milliseconds."""

    ticket: Ticket
    router: str
    arrived_ms: float
    deadline_ms: float

    @property
    def rank(self) -> tuple[float, float, str]:
        """Order inside the workspace: priority, deadline, arrival.

        A level of priority is worth `AGING_MS` of waiting, so that no request waits for ever
        behind later ones of a better priority.
        """
        due_ms = self.arrived_ms + self.ticket.priority * AGING_MS
        return (min(due_ms, self.deadline_ms), self.arrived_ms, self.ticket.request)


class _Flow:
    """Counters and waiting tickets of one workspace."""

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.charged = 0.0
        self.refunded = 0.0
        self.remote = 0.0
        self.exchanged = 0.0
        self.lift = 0.0
        self.factor = 1.0
        self.unit = 0.0
        self.place = 0
        self.entered = 0.0
        self.idle_since_ms = float("-inf")
        self.heap: list[tuple[tuple[float, float, str], str]] = []
        self.waiting: dict[str, Waiting] = {}

    @property
    def own(self) -> float:
        return self.charged - self.refunded

    @property
    def counter(self) -> float:
        since_exchange = self.own - self.exchanged
        others = self.remote + since_exchange * (self.factor - 1.0)
        return self.own + others + self.lift

    @property
    def order(self) -> float:
        """Place among the workspaces; written out, since every grant asks for it often."""
        own = self.charged - self.refunded
        others = self.remote + (own - self.exchanged) * (self.factor - 1.0)
        return own + others + self.lift + self.unit * self.place


class FairQueue:
    """Tickets of one shard, taken in the order of fair shares.

    Parameters
    ----------
    weights
        Weight per workspace; one that is not listed has `default_weight`.
    return_grace_ms
        How long a workspace may be without tickets before its return lifts its counter to the
        lowest active one. Zero where this queue sees every ticket of the service.
    shard, shards, unit
        Which of how many shards this queue is, and what one grant is first thought to cost. Between
        two exchanges all shards see the same lowest workspaces and would grant to them at once, as
        many grants as there are shards. So each shard holds a workspace back by some places of one
        grant's charge, and no two shards by the same number of places: they take turns.
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
        self._owners: dict[str, str] = {}
        self._floor = 0.0

    def __len__(self) -> int:
        return len(self._owners)

    def __contains__(self, request: str) -> bool:
        return request in self._owners

    @property
    def backlogged(self) -> list[str]:
        """Workspaces with waiting tickets."""
        return [name for name, flow in self._flows.items() if flow.waiting]

    def waiting_of(self, workspace: str) -> int:
        """Waiting tickets of one workspace."""
        flow = self._flows.get(workspace)
        return len(flow.waiting) if flow else 0

    def counter(self, workspace: str) -> float:
        """Service per weight charged to a workspace, lifted on its return from idleness."""
        return self._flow(workspace).counter

    def entries(self) -> Iterator[Waiting]:
        """All waiting tickets, in no order."""
        for flow in self._flows.values():
            yield from flow.waiting.values()

    def waiting_in(self, workspace: str) -> list[Waiting]:
        """Waiting tickets of one workspace, in no order."""
        return list(self._flow(workspace).waiting.values())

    def find(self, request: str) -> Waiting | None:
        """The waiting ticket of a request."""
        workspace = self._owners.get(request)
        return self._flows[workspace].waiting[request] if workspace is not None else None

    def push(self, waiting: Waiting, now_ms: float) -> bool:
        """Add a ticket; False if its request waits already."""
        ticket = waiting.ticket
        if ticket.request in self._owners:
            return False
        flow = self._flow(ticket.workspace)
        if not flow.waiting:
            self._activate(ticket.workspace, flow, now_ms)
        flow.waiting[ticket.request] = waiting
        heapq.heappush(flow.heap, (waiting.rank, ticket.request))
        self._owners[ticket.request] = ticket.workspace
        return True

    def remove(self, request: str, now_ms: float) -> Waiting | None:
        """Take a ticket out, wherever it stands."""
        workspace = self._owners.pop(request, None)
        if workspace is None:
            return None
        flow = self._flows[workspace]
        waiting = flow.waiting.pop(request)
        if not flow.waiting:
            flow.idle_since_ms = now_ms
            flow.heap.clear()
        return waiting

    def pop(self, now_ms: float) -> Waiting | None:
        """Take the next ticket in fair order; None when nothing waits."""
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
            self._enter(workspace, flow)
        return waiting

    def charge(self, workspace: str, cost: float) -> None:
        """Add cost units to a workspace's counter; negative ones are a refund."""
        flow = self._flow(workspace)
        if cost >= 0:
            flow.charged += cost / flow.weight
        else:
            flow.refunded -= cost / flow.weight
        if flow.waiting:
            self._enter(workspace, flow)

    def set_unit(self, workspace: str, cost: float) -> None:
        """Say what one grant of a workspace is thought to cost now."""
        flow = self._flow(workspace)
        flow.unit = cost / flow.weight

    def raise_to(self, workspace: str, counter: float) -> None:
        """Lift a counter to one that an earlier dispatcher had told."""
        flow = self._flow(workspace)
        flow.lift += max(0.0, counter - flow.counter)
        if flow.waiting:
            self._enter(workspace, flow)

    def totals(self) -> Iterator[tuple[str, float, float]]:
        """Own grow-only totals: workspace, charged, refunded."""
        for name, flow in self._flows.items():
            if flow.charged or flow.refunded:
                yield name, flow.charged, flow.refunded

    def exchange(self, workspace: str, remote: float, factor: float) -> None:
        """Take in what other shards have charged.

        Between two exchanges each shard would run towards the same lowest workspace; counting
        its own grants `factor` times until the next exchange keeps the gap bounded.
        """
        flow = self._flow(workspace)
        flow.remote = remote
        flow.exchanged = flow.own
        flow.factor = max(1.0, factor)
        if flow.waiting:
            self._enter(workspace, flow)

    def override(
        self, workspace: str, *, factor: float | None = None, place: int | None = None
    ) -> None:
        """Set the factor or the place of a workspace by hand, to measure without them."""
        flow = self._flow(workspace)
        flow.factor = flow.factor if factor is None else max(1.0, factor)
        flow.place = flow.place if place is None else place

    def reweigh(self, weights: dict[str, float], default_weight: float) -> None:
        """Take the weights of another preset; counters stay."""
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
            flow.place = (self._shard + offset) % self._shards
            flow.unit = self._unit / weight
        return flow

    def _activate(self, workspace: str, flow: _Flow, now_ms: float) -> None:
        # Without the lift a workspace that was away would be owed all the service that it did
        # not ask for, and would shut the others out until it had caught up.
        if now_ms - flow.idle_since_ms >= self._return_grace_ms:
            flow.lift += max(0.0, self._floor - flow.counter)
        self._enter(workspace, flow)

    def _enter(self, workspace: str, flow: _Flow) -> None:
        flow.entered = flow.order
        heapq.heappush(self._heap, (flow.entered, workspace))
        # Each change of a counter leaves a stale entry behind; rebuild before they outgrow.
        if len(self._heap) > 64 + 8 * len(self._flows):
            live = [(f.entered, name) for name, f in self._flows.items() if f.waiting]
            heapq.heapify(live)
            self._heap = live

    def _lowest(self) -> str | None:
        while self._heap:
            order, workspace = self._heap[0]
            flow = self._flows.get(workspace)
            if flow is None or not flow.waiting:
                heapq.heappop(self._heap)
                continue
            if order != flow.entered:
                # Every change enters the workspace anew; this entry is of before one.
                heapq.heappop(self._heap)
                continue
            heapq.heappop(self._heap)
            return workspace
        return None
