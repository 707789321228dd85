"""Totals reported by the dispatchers of a service's other shards."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.dispatch_messages import ShardCounters


class RemoteTotal(NamedTuple):
    """Net charges of one workspace at other shards, and the number of shards that report it."""

    workspace: str
    charged: float
    shards: int


class RemoteShards:
    """Latest totals of each other shard."""

    def __init__(self) -> None:
        self._counters: dict[int, ShardCounters] = {}

    def merge(self, message: ShardCounters) -> list[RemoteTotal]:
        """Merge totals of a shard and return the sums; older totals have no effect."""
        index = message.shard.number
        previous = self._counters.get(index)
        if previous is not None:
            message = merge_counters(previous, message)
        self._counters[index] = message
        charged: Counter[str] = Counter()
        serving: Counter[str] = Counter()
        for counters in self._counters.values():
            for name, total_charged in counters.charged.items():
                charged[name] += total_charged - counters.refunded.get(name, 0.0)  # type: ignore[assignment]
                serving[name] += 1
        return [RemoteTotal(name, float(total), serving[name]) for name, total in charged.items()]


def merge_counters(one: ShardCounters, other: ShardCounters) -> ShardCounters:
    """Merge two messages of one shard: the newer term, or the maximum of each counter."""
    if one.term != other.term:
        return one if one.term > other.term else other
    charged = dict(one.charged)
    for name, value in other.charged.items():
        charged[name] = max(value, charged.get(name, 0.0))
    refunded = dict(one.refunded)
    for name, value in other.refunded.items():
        refunded[name] = max(value, refunded.get(name, 0.0))
    return ShardCounters(one.shard, one.term, charged, refunded)
