"""Which endpoint a request goes to, and whether it can still be served in time."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from tamarack_core.endpoint_book import Endpoint
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.engine_model import FIRST_TOKEN_MS, EngineModel
from tamarack_core.prompt import Prompt
from tamarack_core.rendezvous import score

FAILURE_PENALTY_MS = 600.0
"""What one recent failure counts against an endpoint. An estimate of the time that is lost when a
request meets it again; no other value was tried."""

AWAY_FROM_HOME_MS = 60.0
"""What counts against an engine that neither keeps a prompt's shared part nor is its home.
Without it, routers would read a part that nobody keeps at several engines at once."""

READING_WEIGHT = 5.0
"""An engine that reads a part anew keeps others waiting as long as the request itself, and drops
other parts that are then read anew, too. With a weight of 5 in place of 3 engines read 1.37 and
1.88 million tokens again on the users' five heavy days and 0.25 and 0.36 on the calm one; what was
served, by worth and less what it cost, was 0.725 and 0.720 at one site, 0.719 and 0.722 at the
other."""

FULL_SLOT_MS = 25.0
"""Time until a slot of a full engine is free, for each request beyond its slots; an estimate."""


class Choice(NamedTuple):
    """An endpoint for a request.

    Attributes
    ----------
    first_token_ms
        Predicted time to the first token, or to the answer of a plain service.
    """

    endpoint: Endpoint
    first_token_ms: float
    unread_tokens: int = 0


def choose_engine(
    prompt: Prompt,
    endpoints: Sequence[Endpoint],
    models: Mapping[str, EngineModel],
    records: Mapping[str, EndpointRecord],
    now_ms: float,
) -> Choice | None:
    """Pick the engine that costs least: its queue, what it has to read, and its failures.

    A part that no engine is known to keep has a home, so that all routers read it at the same one.
    Once it is kept anywhere, the home has no claim to it: an engine that has just come is the home
    of a part of all, and would otherwise have them all read anew while others keep them.
    """
    anchor = prompt.anchor
    home = None
    if anchor is not None and not any(models[e.name].keeps(anchor) for e in endpoints):
        home = max(endpoints, key=lambda e: score(anchor.key, e.name), default=None)
    best: Choice | None = None
    best_cost = float("inf")
    for endpoint in endpoints:
        model = models[endpoint.name]
        assumed = 0
        if anchor is not None and endpoint is home:
            assumed = anchor.tokens
        reading_ms = model.reading_ms(prompt, assumed) * model.pace(now_ms)
        first_token_ms = model.wait_ms(now_ms) + reading_ms + FIRST_TOKEN_MS
        first_token_ms += _full_ms(endpoint, model)
        cost = first_token_ms + (READING_WEIGHT - 1.0) * reading_ms
        cost += FAILURE_PENALTY_MS * records[endpoint.name].failures(now_ms)
        unread = model.unread_tokens(prompt)
        if endpoint is not home and unread >= prompt.tokens_in:
            cost += AWAY_FROM_HOME_MS
        if cost < best_cost:
            best_cost = cost
            best = Choice(endpoint, first_token_ms, unread)
    return best


def choose_plain(
    endpoints: Sequence[Endpoint],
    records: Mapping[str, EndpointRecord],
    failure_domain: str,
    now_ms: float,
) -> Choice | None:
    """Pick the endpoint of a plain service whose answer is expected first."""
    best: Choice | None = None
    best_cost = float("inf")
    for endpoint in endpoints:
        record = records[endpoint.name]
        rounds = 1.0 + record.outstanding / max(1, endpoint.slots)
        answer_ms = record.latency_ms * rounds
        cost = answer_ms + FAILURE_PENALTY_MS * record.failures(now_ms)
        if endpoint.failure_domain != failure_domain:
            cost += 1.0
        if cost < best_cost:
            best_cost = cost
            best = Choice(endpoint, answer_ms)
    return best


def _full_ms(endpoint: Endpoint, model: EngineModel) -> float:
    busy = model.running + model.waiting
    return FULL_SLOT_MS * max(0, busy + 1 - endpoint.slots)
