"""Prometheus metrics, health and readiness."""

from __future__ import annotations

import resource
import time
from collections.abc import Callable
from typing import Any

import aioprometheus
from aioprometheus.formats import text

from tamarack_router.fleet_view import ViewHolder
from tamarack_router.http_listener import HttpCall
from tamarack_router.http_reply import Reply, json_reply
from tamarack_router.thread_times import thread_seconds

PREFIX = "tamarack_"


class MetricsApp:
    """Renders the tasks' counters and gauges.

    Each task writes only its own counter and a scrape copies them, so no hot path takes a lock.
    """

    def __init__(
        self,
        router: str,
        views: ViewHolder,
        sources: dict[str, Callable[[], dict[str, int]]],
        gauges: Callable[[], dict[str, float]],
    ) -> None:
        self._labels = {"router": router}
        self._views = views
        self._sources = sources
        self._gauges = gauges

    def respond(self, call: HttpCall) -> Reply:
        """Answer a scrape or a health probe."""
        view = self._views.view
        if call.path == "/healthz":
            return json_reply({"status": "ok"})
        if call.path == "/state":
            return json_reply(self._state())
        if call.path == "/readyz":
            return self._readiness()
        if call.path == "/metrics":
            return Reply(200, self._render(), "text/plain; version=0.0.4; charset=utf-8")
        return json_reply({"error": "not found", "router": view.token.router}, 404)

    def _state(self) -> dict[str, Any]:
        """Return the state for tools: counters, gauges and versions for a JSON reply."""
        view = self._views.view
        counts = {part: dict(source()) for part, source in self._sources.items()}
        return {
            "router": view.token.router,
            "version": view.config.version,
            "terms": view.terms,
            "applied": view.applied,
            "gauges": view.gauges,
            "thread_seconds": thread_seconds(),
            "counts": {**counts, "control": view.counts},
        }

    def _readiness(self) -> Reply:
        view = self._views.view
        reasons = []
        if not view.ready:
            reasons.append("the configuration in force is not known")
        if view.isolated:
            reasons.append("cut off from the store and most routers")
        if view.leaving:
            reasons.append("leaving")
        return json_reply({"ready": not reasons, "reasons": reasons}, 503 if reasons else 200)

    def _render(self) -> bytes:
        registry = aioprometheus.Registry()
        view = self._views.view
        events = aioprometheus.Counter(
            f"{PREFIX}events_total", "Events by part and name.", registry=registry
        )
        for part, source in self._sources.items():
            for name, count in dict(source()).items():
                events.set({**self._labels, "part": part, "name": name}, count)
        for name, count in view.counts.items():
            events.set({**self._labels, "part": "control", "name": name}, count)
        self._add_gauges(registry)
        self._add_shares(registry)
        return bytes(text.TextFormatter().marshall(registry))

    def _add_gauges(self, registry: aioprometheus.Registry) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        values = {
            **self._views.view.gauges,
            **self._gauges(),
            "cpu_seconds": usage.ru_utime + usage.ru_stime,
            "resident_bytes": usage.ru_maxrss * 1024,
            "time_seconds": time.time(),
        }
        threads = aioprometheus.Gauge(
            f"{PREFIX}thread_cpu_seconds", "Processor time by thread.", registry=registry
        )
        for name, seconds in thread_seconds().items():
            threads.set({**self._labels, "thread": name}, seconds)
        gauges: dict[str, aioprometheus.Gauge] = {}
        for name, value in values.items():
            base, _, shard = name.partition(":")
            if base not in gauges:
                gauges[base] = aioprometheus.Gauge(
                    f"{PREFIX}{base}", f"Present value of {base}.", registry=registry
                )
            labels = {**self._labels, "shard": shard} if shard else self._labels
            gauges[base].set(labels, value)

    def _add_shares(self, registry: aioprometheus.Registry) -> None:
        counter = aioprometheus.Gauge(
            f"{PREFIX}share_counter", "Service charged per weight.", registry=registry
        )
        waiting = aioprometheus.Gauge(
            f"{PREFIX}share_waiting", "Tickets that wait.", registry=registry
        )
        for shard, readings in self._views.view.shares.items():
            for reading in readings:
                labels = {**self._labels, "shard": shard, "workspace": reading["workspace"]}
                counter.set(labels, reading["counter"])
                waiting.set(labels, reading["waiting"])
