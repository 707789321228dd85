"""Whether a generation is sent on now, held back by the router or refused.

Engines serve in order of arrival: whatever is sent is ahead of all that comes later, however urgent
that is. What may wait is therefore held back here, and an engine's queue is kept as short as the
most urgent of its routes needs it.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

WITHIN_SHARE = 0.85
"""Part of the aim that a workspace within its share may be predicted to wait. Work that queues
past its aim is worth little and delays all behind it; the rest is for what the prediction leaves
out."""

IDLE_MS = 20.0
"""Predicted wait in milliseconds up to which an engine counts as free: the first steps of an
answer and the way, and hardly any work of others. A free engine takes work from beyond its
workspace's share, so that nothing is left unused. The bound falls with the lead, since among many
engines one is free at any time, and whoever asks most meets it most often."""

LEAD_POWER = 6.0
"""How fast the bound falls with the lead over the backlogged workspace that has had least: steep,
so that the one with least is let in first as soon as it is behind."""

STANDING_POWER = 2.0
"""How fast the bound falls beyond the share. With a power of one, a workspace that has five times
its share keeps one that has three from the half of it that is owed to it."""

STANDING_MOST = 3.0
"""Standing beyond which the bound falls no further; from there on it is the lead that counts.
Engines that find prompts kept serve several times the throughput that shares are counted by. All
who ask for much are then far beyond their shares, and without this all are held to one bound, the
one with least like the one with most."""

STANDING_BEHIND = 2.0
"""What it is less for a workspace that has had less than an even part of what is really served, in
proportion, down to this. With one bound for all far beyond their shares, one that asks for less
than such a part is refused as often as those that ask for all they can get."""

FREE_PART_EASES = 0.4
"""Part of the engines that have nothing to do from which on it no longer counts how far a workspace
is beyond its share: nobody waits for what it is then refused. Below it counts in proportion, so
that queues shorten as engines fill. With a small part, one free engine of six would ease all, and
each reading anew there would take it from requests that find their parts kept."""

RETURNED = 1.05
"""Part of the aim that a request may be predicted to wait that has been refused before and came
back as it was told: it goes before new work of equal standing."""

RETRY_MIN_MS = 150.0
"""Shortest time in milliseconds after which a refused caller should come back: soon enough to be
served within most aims."""

RETRY_SPREAD = 0.5
"""Part by which returns are spread, so that those refused together do not return together."""


YIELD = 1.0
"""How fast the bound falls with the aim: a route with twice the aim of the most urgent one may find
half its queue. With bounds that rise with the aims, queues grow as long as the most patient route
bears, and the most urgent one is refused most; with a higher power the most patient one is."""

HOLD_PART = 0.5
"""Part of its aim that a request is held back at the most; it is refused at once if the queue will
not have shrunk by then."""

HOLD_MIN_MS = 15.0
"""Shortest time until a request that is held back is looked at again; a timer costs about as much
as a message between routers."""


FREE_ENGINE = "an engine is free"
"""Reason of what only the least bound lets in; in logs and metrics."""


class Admission(Enum):
    """What becomes of a request; the value names it in logs."""

    ADMITTED = "admitted"
    HELD = "held"
    REFUSED = "refused"


class Decision(NamedTuple):
    """What becomes of a request, and why.

    Attributes
    ----------
    wait_ms
        Milliseconds after which a held request is looked at again, or a refused caller should come
        back.
    queue_ms, bound_ms
        Predicted wait behind the work of others, and the longest that it might have been.
    """

    verdict: Admission
    reason: str
    wait_ms: float = 0.0
    queue_ms: float = 0.0
    bound_ms: float = 0.0


def eased_standing(standing: float, free_part: float) -> float:
    """How far beyond its share a workspace counts, with a part of the engines free."""
    if standing <= 1.0:
        return standing
    return 1.0 + (standing - 1.0) * max(0.0, 1.0 - free_part / FREE_PART_EASES)


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
    returned: bool,
    draw: float,
    filled: float = 1.0,
) -> Decision:
    """Decide on a request.

    Parameters
    ----------
    first_token_ms
        Predicted time to the first token at the engine chosen.
    unavoidable_ms
        The part of it that the request's own prompt takes: a long prompt that nobody keeps waits
        on itself, and is not refused for that.
    aim_ms, waited_ms, left_ms
        Its aim, the time it has waited already and the time until its deadline.
    shortest_aim_ms
        The shortest aim of all routes to the same engines.
    standing
        How many times its share its workspace has been served lately. With one bound for all, the
        queues fill with the work of whoever asks most, and a workspace that asks for little more
        than its share is refused as often: it got a third of what it asked beside one that got
        four times as much.
    lead
        How many times as much it was served as the backlogged workspace with least.
    returned
        Whether the request was refused before and came back.
    draw
        A number from 0 up to 1 that spreads returns.
    filled
        How many times an even part of what is really served it was served.
    """
    within = RETURNED if returned else WITHIN_SHARE
    most = max(STANDING_BEHIND, STANDING_MOST * min(1.0, filled))
    beyond = max(1.0, min(standing, most))
    part = within / (beyond**STANDING_POWER * max(1.0, lead) ** LEAD_POWER)
    yielding_ms = shortest_aim_ms * (shortest_aim_ms / aim_ms) ** YIELD
    timely_ms = min(part * aim_ms - waited_ms, part * yielding_ms)
    bound_ms = max(IDLE_MS / max(1.0, lead), timely_ms)
    queue_ms = max(0.0, first_token_ms - unavoidable_ms)
    if queue_ms <= bound_ms and first_token_ms < left_ms:
        reason = "in time" if queue_ms <= timely_ms else FREE_ENGINE
        return Decision(Admission.ADMITTED, reason, 0.0, queue_ms, bound_ms)
    over_ms = queue_ms - bound_ms
    if standing <= 1.0 and over_ms <= HOLD_PART * aim_ms - waited_ms and first_token_ms < left_ms:
        held_ms = max(HOLD_MIN_MS, over_ms)
        return Decision(Admission.HELD, "the queue will shrink", held_ms, queue_ms, bound_ms)
    reason = "beyond its share" if standing > 1.0 else "would wait too long"
    excess_ms = max(RETRY_MIN_MS, queue_ms - 0.5 * bound_ms)
    back_ms = excess_ms * (1.0 + RETRY_SPREAD * draw)
    return Decision(Admission.REFUSED, reason, back_ms, queue_ms, bound_ms)
