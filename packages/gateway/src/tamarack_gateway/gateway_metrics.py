"""Counters, gauges and histograms of a router in the text format for metrics."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import cached_property
from typing import TYPE_CHECKING

from tamarack_core.ruleset import Route
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.loop_monitor import LoopStatus
from tamarack_gateway.router_status import workspace_statuses
from tamarack_gateway.task_owner import TaskOwner
from tamarack_gateway.unreadable_rows import RowKind

if TYPE_CHECKING:
    from tamarack_gateway.metric_collectors import MetricCollectors

LATENCY_MS = [5.0, 10.0, 25.0, 50.0, 100.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 10_000.0]
"""Upper bounds of the latency histogram, from a fast answer of a plain service to the longest
stream."""


class GatewayMetrics:
    """Metrics of a router; gauges are read when the metrics are rendered.

    Parameters
    ----------
    store_calls
        Returns the number of calls made to the store.
    loop
        Returns the state of the event loop.
    malformed
        Returns the number of messages of other routers that could not be read.
    store_epoch
        Returns how often the store has been restored from a copy.
    origins
        Returns readings of what the router knows about where streams began.
    tasks
        The background tasks, whose failures are counted.
    """

    def __init__(
        self,
        state: FleetState,
        pool: ConnectionPool,
        *,
        store_calls: Callable[[], int],
        loop: Callable[[], LoopStatus],
        malformed: Callable[[], int] = lambda: 0,
        store_epoch: Callable[[], int] = lambda: 0,
        origins: Callable[[], Mapping[str, int]] = dict,
        tasks: TaskOwner | None = None,
    ) -> None:
        self._state = state
        self._pool = pool
        self._store_calls = store_calls
        self._loop = loop
        self._malformed = malformed
        self._store_epoch = store_epoch
        self._origins = origins
        self._tasks = tasks

    @cached_property
    def _collectors(self) -> MetricCollectors:
        # Imported with the first use: the library takes a twelfth of a router's start-up time, and
        # most routers of a large fleet are ready before their first request.
        from tamarack_gateway.metric_collectors import MetricCollectors

        return MetricCollectors(LATENCY_MS)

    def began(self, route: Route) -> None:
        """Count a request."""
        self._collectors.requests.inc({"kind": route.kind.value})

    def ended(self, route: Route, took_ms: float) -> None:
        """Record the duration of a request."""
        self._collectors.latency.observe({"kind": route.kind.value}, took_ms)

    def render(self) -> tuple[bytes, str]:
        """All metrics as text, and the content type."""
        state, now_ms = self._state, self._state.clock.now_ms
        loop = self._loop()
        readings = {
            "configuration_version": state.rules.version if state.rules else 0,
            "configuration_age_ms": min(1e9, state.freshness.age_ms(now_ms)),
            "endpoints": len(state.registry),
            "software_versions": max(
                map(len, state.registry.software_versions.values()), default=0
            ),
            **self._origins(),
            "evacuated_domains": len(state.evacuations.domains),
            "endpoints_warming_up": len(state.warm_ups.warming_endpoints(now_ms)),
            "sent_to_warming_endpoints": state.warm_ups.sent_count,
            "endpoints_resting": len(state.notices.rests.active),
            "rests_requested": state.notices.rests.requested,
            "connections_opened": self._pool.opened,
            "connections_reused": self._pool.reused,
            "connections_lapsed": self._pool.expired,
            "connections_closed_by_endpoints": self._pool.closed,
            "held_bytes": state.memory.held_bytes,
            "held_bytes_limit": state.memory.limit_bytes,
            "rejected_for_memory": state.memory.rejected,
            "log_lines": state.log.written,
            "store_calls": self._store_calls(),
            "store_epoch": self._store_epoch(),
            "retries": state.allowance.taken,
            "malformed_messages": self._malformed(),
            "routers": state.allowance.routers,
            "ready": int(state.ready),
            "loop_lag_ms": loop["lag_ms"],
            "loop_lag_most_ms": loop["most_lag_ms"],
            "overloaded": int(loop["overloaded"]),
            "overloads": loop["overloads"],
            "connections_accepted": loop["accepted"],
            "connections_turned_away": loop["turned_away"],
            "connections_closed_after_answer": loop["closed_after_answer"],
            "refused_for_overload": loop["refused"],
            "processor_ms": loop["processor_ms"],
            "most_in_progress": loop["most_in_progress"],
            "connections": loop["connections"],
            "requests_in_progress": loop["requests"],
        }
        quarantine = state.quarantine
        readings["quarantined_requests"] = quarantine.quarantined_count
        readings["suspected_requests"] = quarantine.suspect_count
        readings["quarantine_refusals"] = quarantine.refused
        readings["endpoints_ended"] = quarantine.ends_seen
        readings["newest_configuration_unreadable"] = int(state.unreadable_rules is not None)
        for kind in RowKind:
            readings[f"unreadable_{kind}_rows"] = state.unreadable.counts[kind]
        for name, value in readings.items():
            self._collectors.gauges.set({"name": name}, float(value))
        for name, model in state.models.items():
            self._collectors.gauges.set(
                {"name": "wait_ms", "endpoint": name}, model.wait_ms(now_ms)
            )
            self._collectors.gauges.set({"name": "pace", "endpoint": name}, model.pace(now_ms))
        for name, record in state.records.items():
            self._collectors.gauges.set(
                {"name": "failures", "endpoint": name}, record.failures(now_ms)
            )
        for (decision, reason), count in state.log.decisions.items():
            self._collectors.decisions.set({"decision": decision, "reason": reason}, count)
        self._read_tasks()
        self._read_workspaces()
        return self._collectors.render()

    def _read_tasks(self) -> None:
        if self._tasks is None:
            return
        gauges = self._collectors.gauges
        gauges.set({"name": "tasks_down"}, float(len(self._tasks.down)))
        gauges.set({"name": "task_failures"}, float(self._tasks.failures.total()))
        for name, count in self._tasks.failures.items():
            gauges.set({"name": "task_failures", "task": name}, float(count))

    def _read_workspaces(self) -> None:
        # Workspaces that are no longer among the largest are removed: their last values would stay
        # forever, and the page would grow with each workspace that was ever large.
        self._collectors.workspaces.values.clear()
        for row in workspace_statuses(self._state):
            readings = {
                "asked_tokens": row["asked"],
                "served_tokens": row["served"],
                "standing": row["standing"],
                "lead": row["lead"],
                "filled": row["filled"],
            }
            for name, value in readings.items():
                labels = {"name": name, "service": row["service"], "workspace": row["workspace"]}
                self._collectors.workspaces.set(labels, float(value))
