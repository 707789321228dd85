"""Builds and publishes the view of the control task's state for the listeners."""

from __future__ import annotations

from collections import Counter
from typing import Any

from tamarack_core.config_follower import ConfigFollower
from tamarack_core.dispatch_messages import ShardKey
from tamarack_core.membership import STATE_NAMES
from tamarack_core.router_core import RouterCore
from tamarack_router.fleet_view import FleetView, ViewHolder
from tamarack_router.peer_links import PeerLinks

MAX_APPLIED_VERSIONS = 50


class ViewPublisher:
    """Publishes snapshots of the core, the links and the configuration.

    Parameters
    ----------
    counts
        The control task's own event counts by name.
    views
        Holds the newest snapshot for the listeners.
    """

    def __init__(
        self,
        core: RouterCore,
        links: PeerLinks,
        follower: ConfigFollower,
        counts: Counter[str],
        views: ViewHolder,
    ) -> None:
        self._core = core
        self._links = links
        self._follower = follower
        self._counts = counts
        self._views = views
        self._applied: dict[int, int] = {}

    def note_applied(self, version: int, wall_ms: int) -> None:
        """Record when a configuration was applied; the oldest record is dropped past the limit."""
        self._applied[version] = wall_ms
        if len(self._applied) > MAX_APPLIED_VERSIONS:
            del self._applied[min(self._applied)]

    def publish(self, now_ms: float, *, leaving: bool, store_up: bool) -> None:
        """Replace the view by a snapshot of the current state."""
        membership = self._core.membership
        isolated = not store_up and membership.cut_off(now_ms)
        self._views.publish(
            FleetView(
                self._follower.config,
                self._follower.ready,
                isolated,
                leaving,
                store_up,
                membership.members,
                self._core.token(now_ms),
                self._event_counts(),
                self._gauges(isolated=isolated, store_up=store_up),
                self._shares(),
                self._terms(),
                dict(self._applied),
            )
        )

    def _event_counts(self) -> dict[str, int]:
        counts = self._core.counts
        counts.update(self._counts)
        counts.update({f"peer_{name}": n for name, n in self._links.counts.items()})
        counts.update({f"sent_{kind}": n for kind, n in self._links.bytes_by_kind.items()})
        return dict(counts)

    def _gauges(self, *, isolated: bool, store_up: bool) -> dict[str, float]:
        dispatchers = self._core.host.dispatchers
        gauges: dict[str, float] = {
            "requests_waiting": self._core.requests.waiting,
            "requests_running": self._core.requests.running,
            "keys_kept": len(self._core.key_owner),
            "config_version": self._follower.config.version,
            "config_head": self._follower.head,
            "store_up": float(store_up),
            "isolated": float(isolated),
            "shards_dispatched": len(dispatchers),
        }
        members = self._core.membership.members
        for state, name in enumerate(STATE_NAMES):
            gauges[f"members_{name}"] = sum(1 for m in members if m.state == state)
        for shard, dispatcher in dispatchers.items():
            label = _label(shard)
            gauges[f"slots:{label}"] = dispatcher.pool.slots
            gauges[f"slots_granted:{label}"] = dispatcher.pool.in_flight
            gauges[f"tickets_waiting:{label}"] = dispatcher.waiting
        return gauges

    def _shares(self) -> dict[str, list[dict[str, Any]]]:
        return {
            _label(shard): [reading._asdict() for reading in dispatcher.shares()]
            for shard, dispatcher in self._core.host.dispatchers.items()
        }

    def _terms(self) -> dict[str, str]:
        terms = self._core.requests.terms()
        return {_label(shard): f"{router}:{term}" for shard, (router, term) in terms.items()}


def _label(shard: ShardKey) -> str:
    return f"{shard.service}/{shard.number}"
