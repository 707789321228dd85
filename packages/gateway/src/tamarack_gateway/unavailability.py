"""When a service whose endpoints take no requests now will take some again."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_gateway.fleet_state import FleetState


class Unavailability(NamedTuple):
    """Why all endpoints of a service take no requests now, and for how many milliseconds."""

    reason: str
    wait_ms: float


RETRY_MS = 200.0
RETRY_SPREAD_MS = 300.0
"""Least time in milliseconds after which a refused caller should return, and the range over which
callers that were refused together are spread."""


def refusal(state: FleetState, service: str, reason: str) -> Unavailability:
    """Return why a request that has not run is refused, and when its caller should return.

    Parameters
    ----------
    reason
        Reason to give if some endpoint of the service takes requests.
    """
    unavailable = unavailability(state, service) or Unavailability(reason, 0.0)
    wait_ms = max(RETRY_MS, unavailable.wait_ms) + RETRY_SPREAD_MS * state.random.random()
    return unavailable._replace(wait_ms=wait_ms)


def unavailability(state: FleetState, service: str) -> Unavailability | None:
    """Return until when all endpoints of a service warm up or rest.

    None if one of them does neither, or if there is none.
    """
    now_ms = state.clock.now_ms
    warm_ms = {w.key: w.until_ms for w in state.warm_ups.warming_endpoints(now_ms)}
    rested_ms = state.notices.rests.active
    if not warm_ms and not rested_ms:
        return None
    first: Unavailability | None = None
    for endpoint in state.usable(service):
        key = endpoint.key
        warm_in_ms = warm_ms.get(key, now_ms) - now_ms
        rested_in_ms = rested_ms.get(key, now_ms) - now_ms
        wait_ms = max(warm_in_ms, rested_in_ms)
        if wait_ms <= 0.0:
            return None
        if first is None or wait_ms < first.wait_ms:
            reason = "endpoints rest" if rested_in_ms > warm_in_ms else "endpoints are warming up"
            first = Unavailability(reason, wait_ms)
    return first
