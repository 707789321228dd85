"""Configuration of a soak: plain and streaming routes, and one workspace with one key."""

from __future__ import annotations

from typing import Any

from tamarack_standins.soak_callers import HOST, KINDS, STREAMS
from tamarack_standins.soak_domains import COLD_MS, COLD_PER_S
from tamarack_standins.soak_slow_callers import DEADLINE_S, SLOTS


def soak_configuration(version: int, key: str) -> dict[str, Any]:
    """A version of the configuration in which `key` is the only valid key."""
    plain = [_route(path, kind, "web", public=True, maxAttempts=2) for path, kind in KINDS.items()]
    streams = [
        _route(path, "streaming", "pool", maxAttempts=2, resumeStreams=resume)
        for path, resume in STREAMS.items()
    ]
    large = {"maxAttempts": 2, "timeoutMs": DEADLINE_S * 1000}
    plain.append(_route("/file/", "non_idempotent", "files", public=True, **large))
    streams.append(_route("/bulk/", "streaming", "bulk", resumeStreams=False, **large))
    pool = {"name": "pool", "coldStartS": COLD_MS / 1000, "coldPerS": COLD_PER_S}
    return {
        "version": version,
        "routes": plain + streams,
        "services": [
            {"name": "web"},
            {"name": "files"},
            {**pool, "engine": {"slots": 64}},
            {"name": "bulk", "engine": {"slots": SLOTS}},
        ],
        "limits": {"tokensPerS": 300_000},
        "tenants": [{"name": "shop", "apiKeys": [key]}],
    }


def _route(path: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    base = {"host": HOST, "prefix": path, "kind": kind, "service": service}
    return {**base, "timeoutMs": 2_000, "targetLatencyMs": 500, **more}
