"""Admission control: send a generation to its engine now, queue it at the router or refuse it.

Engines serve requests in order of arrival, so each request sent to one delays every later one,
whatever its latency target. Requests that can wait are therefore queued at the router, and the
queue of an engine stays as short as the route with the shortest latency target needs it.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

WITHIN_SHARE = 0.85
"""Longest predicted queueing delay of a workspace within its share, as a fraction of the latency
target. A request that misses its target is worth little and delays those behind it; the remaining
fraction covers what the prediction leaves out."""

IDLE_MS = 20.0
"""Predicted queueing delay in milliseconds up to which an engine counts as idle: the first decoding
steps, the network delay and hardly any work of others. An idle engine also takes work beyond the
workspace's share, so that no capacity is left unused. The bound falls with the lead: among many
engines one is idle at any time, and the workspace that sends most requests finds it most often."""

LEAD_EXPONENT = 6.0
"""Exponent by which the bound falls with the lead, the service relative to the least-served
backlogged workspace. It is steep, so that the least-served one is admitted first even when the
difference is small."""

STANDING_EXPONENT = 2.0
"""Exponent by which the bound falls with the standing, the service received relative to the fair
share. With an exponent of one, a workspace at five times its share takes service to which another
at three times is entitled, an equal half of their total."""

STANDING_CAP = 3.0
"""Standing beyond which the bound falls no further; above it only the lead distinguishes
workspaces. With prefix cache hits, engines serve several times the throughput that shares are
computed from. Every workspace with high demand is then far beyond its share, and without this cap
all get the same lowest bound, the least-served one and the most-served one alike."""

STANDING_CAP_MIN = 2.0
"""Lowest value of that cap, for a workspace that received less than an equal share of the actual
throughput; the cap falls in proportion to `filled`. With one cap for all workspaces far beyond
their shares, one that asks for less than an equal share is refused as often as those with unlimited
demand."""

IDLE_FRACTION_RELAXED = 0.4
"""Fraction of idle engines from which a workspace's excess over its share is ignored, since
refusing it would help nobody. Below this fraction the excess counts in proportion, so that queues
shorten as engines fill up. With a small fraction, one idle engine of six would relax the limit for
all, and every prompt recomputed there would take the engine from requests with cached prefixes."""

RETRY_FRACTION = 1.05
"""Longest predicted queueing delay of a retried request, as a fraction of the latency target. A
caller that was refused and came back after the requested delay has priority over new requests of
equal standing."""

RETRY_MIN_MS = 150.0
"""Shortest retry delay in milliseconds for a refused caller: short enough to still meet most
latency targets."""

RETRY_SPREAD = 0.5
"""Largest random addition to the retry delay, as a fraction of it, so that requests refused at the
same time are not retried at the same time."""


TARGET_EXPONENT = 1.0
"""Exponent by which the bound falls as the latency target grows: a route with twice the shortest
target may find half the queue. If bounds rose with the targets, queues would grow as long as the
route with the longest target tolerates, and the one with the shortest would be refused most; with a
higher exponent the route with the longest target is refused most."""

HOLD_FRACTION = 0.5
"""Longest time that a request is queued at the router, as a fraction of its latency target; it is
refused at once if the engine's queue will not have shrunk by then."""

HOLD_MIN_MS = 15.0
"""Shortest time in milliseconds until a request queued at the router is evaluated again; a timer
costs about as much as a message between routers."""


FREE_ENGINE = "an engine is free"
"""Reason, in logs and metrics, of a request that is admitted only by the bound for idle engines."""


class Admission(Enum):
    """Outcome of admission control; the value is its name in logs."""

    ADMITTED = "admitted"
    HELD = "held"
    REFUSED = "refused"


class Decision(NamedTuple):
    """Outcome of admission control for one request, and the reason.

    Attributes
    ----------
    wait_ms
        Milliseconds until a held request is evaluated again, or until a refused caller should
        retry.
    queue_ms, bound_ms
        Predicted queueing delay behind other requests, and the longest one that is admitted.
    """

    admission: Admission
    reason: str
    wait_ms: float = 0.0
    queue_ms: float = 0.0
    bound_ms: float = 0.0


def relaxed_standing(standing: float, idle_fraction: float) -> float:
    """Reduce the excess over the fair share in proportion to the fraction of idle engines."""
    if standing <= 1.0:
        return standing
    return 1.0 + (standing - 1.0) * max(0.0, 1.0 - idle_fraction / IDLE_FRACTION_RELAXED)


def admit(
    *,
    first_token_ms: float,
    unavoidable_ms: float,
    aim_ms: float,
    shortest_aim_ms: float,
    waited_ms: float,
    left_ms: float,
    standing: float,
    lead: float,
    retried: bool,
    draw: float,
    filled: float = 1.0,
) -> Decision:
    """Admit, hold or refuse a request.

    Parameters
    ----------
    first_token_ms
        Predicted time to the first token at the chosen engine.
    unavoidable_ms
        The part of it that the request's own prompt takes: a long uncached prompt is not refused
        for its own prefill time.
    aim_ms, waited_ms, left_ms
        Latency target, time already waited and time until the deadline.
    shortest_aim_ms
        The shortest latency target of all routes to the same engines.
    standing
        Service that the workspace received in the window, relative to its fair share. With one
        bound for all, the queues fill with requests of the workspace with the highest demand, and
        one that asks for little more than its share is refused as often: it got a third of its
        demand beside one that got four times as much.
    lead
        Its service relative to the least-served backlogged workspace.
    retried
        Whether the request is a retry after a refusal.
    draw
        A random number in [0, 1) that spreads retries.
    filled
        Its service relative to an equal share of the actual throughput.
    """
    target_fraction = RETRY_FRACTION if retried else WITHIN_SHARE
    standing_cap = max(STANDING_CAP_MIN, STANDING_CAP * min(1.0, filled))
    excess = max(1.0, min(standing, standing_cap))
    part = target_fraction / (excess**STANDING_EXPONENT * max(1.0, lead) ** LEAD_EXPONENT)
    shared_queue_ms = shortest_aim_ms * (shortest_aim_ms / aim_ms) ** TARGET_EXPONENT
    target_bound_ms = min(part * aim_ms - waited_ms, part * shared_queue_ms)
    bound_ms = max(IDLE_MS / max(1.0, lead), target_bound_ms)
    queue_ms = max(0.0, first_token_ms - unavoidable_ms)
    if queue_ms <= bound_ms and first_token_ms < left_ms:
        reason = "in time" if queue_ms <= target_bound_ms else FREE_ENGINE
        return Decision(Admission.ADMITTED, reason, 0.0, queue_ms, bound_ms)
    over_ms = queue_ms - bound_ms
    if (
        standing <= 1.0
        and over_ms <= HOLD_FRACTION * aim_ms - waited_ms
        and first_token_ms < left_ms
    ):
        hold_ms = max(HOLD_MIN_MS, over_ms)
        return Decision(Admission.HELD, "the queue will shrink", hold_ms, queue_ms, bound_ms)
    reason = "beyond its share" if standing > 1.0 else "would wait too long"
    excess_ms = max(RETRY_MIN_MS, queue_ms - 0.5 * bound_ms)
    retry_ms = excess_ms * (1.0 + RETRY_SPREAD * draw)
    return Decision(Admission.REFUSED, reason, retry_ms, queue_ms, bound_ms)
