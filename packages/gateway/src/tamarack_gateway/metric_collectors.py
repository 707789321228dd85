"""The collectors behind a router's metrics page."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render


class MetricCollectors:
    """All collectors of one router in one registry.

    Parameters
    ----------
    latency_ms
        Upper bounds of the latency histogram in milliseconds.
    """

    def __init__(self, latency_ms: list[float]) -> None:
        self._registry = registry = Registry()
        self.requests = Counter("requests_total", "Requests that were placed", registry=registry)
        self.latency = Histogram(
            "request_ms",
            "Milliseconds from arrival to the answer's end",
            buckets=latency_ms,
            registry=registry,
        )
        self.decisions = Gauge(
            "decisions", "Decisions about requests by their reason", registry=registry
        )
        self.workspaces = Gauge(
            "workspaces",
            "What the largest workspaces asked for and got in the window",
            registry=registry,
        )
        self.gauges = Gauge("state", "What the router believes", registry=registry)

    def render(self) -> tuple[bytes, str]:
        """All metrics as text, and the content type."""
        content, headers = render(self._registry, ["text/plain"])
        return content, headers.get("Content-Type", "text/plain")
