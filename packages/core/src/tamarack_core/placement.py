"""Choice of the endpoint for a request, with the predicted time to its first token."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import PACE_MIN, EngineModel, prefill_ms_of
from tamarack_core.first_token import FIRST_TOKEN_MS
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.rendezvous import score

FAILURE_PENALTY_MS = 600.0
"""Cost in milliseconds of one recent failure of an endpoint: about the time that a request loses
when it fails there, too."""

NOT_PREFERRED_PENALTY_MS = 60.0
"""Cost in milliseconds of an engine that neither caches a prompt's shared prefix block nor is its
preferred engine (by rendezvous hashing). Without it, routers would prefill a block that is cached
nowhere at several engines at once."""

PREFILL_WEIGHT = 5.0
"""Weight of the prefill time in the cost of an engine: a prefill delays other requests as long as
this one, and evicts other blocks, which are then recomputed, too."""

IDLE_ENGINE_QUEUE_MS = 8.0
"""Queueing delay in milliseconds up to which an engine counts as idle: together with the first
decoding steps it stays below the bound up to which any workspace is admitted."""

MAX_IDLE_FAILURES = 0.5
"""Recent failures from which an engine is not chosen for being idle: an engine that fails all its
requests has the shortest queue of all."""

FULL_SLOT_MS = 25.0
"""Milliseconds until a slot of a full engine is free, for each request beyond its slots."""


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
    """Choose the engine with the lowest cost: queue, prefill and recent failures.

    A prefix block that no engine is known to cache has a preferred engine (by rendezvous hashing),
    so that all routers prefill it at the same one. Once any engine caches the block, the preferred
    engine is not favored: a new engine is the preferred one of a fraction of all blocks, and would
    otherwise recompute them although other engines cache them.
    """
    preferred = _preferred_engine(prompt.anchor, endpoints, models)
    caching, others = _split_by_first_block(prompt, endpoints, models)
    if preferred is not None and preferred in others:
        others.remove(preferred)
        caching.append(preferred)
    cheapest: Choice | None = None
    lowest_cost = float("inf")
    for endpoint in caching:
        model = models[endpoint.name]
        pace = model.pace(now_ms)
        uncached = model.unread_tokens(prompt)
        assumed = prompt.anchor.tokens if prompt.anchor and endpoint is preferred else 0
        reading_ms = model.reading_ms(prompt, assumed) * pace
        first_token_ms = model.wait_ms(now_ms) + reading_ms + model.first_token_ms
        first_token_ms += _full_ms(endpoint, model)
        cost = first_token_ms + (PREFILL_WEIGHT - 1.0) * reading_ms
        cost += FAILURE_PENALTY_MS * records[endpoint.name].failures(now_ms)
        if endpoint is not preferred and uncached >= prompt.tokens_in:
            cost += NOT_PREFERRED_PENALTY_MS
        if cost < lowest_cost:
            lowest_cost = cost
            cheapest = Choice(endpoint, first_token_ms, uncached)
    # All other engines prefill the whole prompt. One whose queue and prefill alone cost as much as
    # the cheapest so far is skipped, which with 156 engines saves nearly all of the work.
    whole_ms = prefill_ms_of(prompt, prompt.tokens_in)
    least_ms = FIRST_TOKEN_MS + NOT_PREFERRED_PENALTY_MS + PREFILL_WEIGHT * whole_ms * PACE_MIN
    for endpoint in others:
        model = models[endpoint.name]
        wait_ms = model.wait_ms(now_ms)
        if wait_ms + least_ms >= lowest_cost:
            continue
        reading_ms = whole_ms * model.pace(now_ms)
        first_token_ms = wait_ms + reading_ms + model.first_token_ms + _full_ms(endpoint, model)
        cost = first_token_ms + (PREFILL_WEIGHT - 1.0) * reading_ms + NOT_PREFERRED_PENALTY_MS
        cost += FAILURE_PENALTY_MS * records[endpoint.name].failures(now_ms)
        if cost < lowest_cost:
            lowest_cost = cost
            cheapest = Choice(endpoint, first_token_ms, prompt.tokens_in)
    return cheapest


def choose_idle(
    prompt: Prompt,
    endpoints: Sequence[Endpoint],
    models: Mapping[str, EngineModel],
    records: Mapping[str, EndpointRecord],
    now_ms: float,
) -> Choice | None:
    """Choose an idle engine for a prompt when the engines that cache it are overloaded.

    Of several idle engines, all routers choose the same one for a block, by rendezvous hashing: it
    then caches the block, too, and takes part of the following requests. If each router chose any
    idle engine, a popular block would be prefilled at as many engines as there are routers.
    """
    free = [
        endpoint
        for endpoint in endpoints
        if models[endpoint.name].wait_ms(now_ms) <= IDLE_ENGINE_QUEUE_MS
        and not _full_ms(endpoint, models[endpoint.name])
        and records[endpoint.name].failures(now_ms) < MAX_IDLE_FAILURES
    ]
    anchor = prompt.anchor
    if anchor is None or not free:
        return None
    endpoint = max(free, key=lambda e: score(anchor.key, e.name))
    model = models[endpoint.name]
    reading_ms = model.reading_ms(prompt) * model.pace(now_ms)
    first_token_ms = model.wait_ms(now_ms) + reading_ms + model.first_token_ms
    return Choice(endpoint, first_token_ms, model.unread_tokens(prompt))


def _preferred_engine(
    anchor: PrefixBlock | None, endpoints: Sequence[Endpoint], models: Mapping[str, EngineModel]
) -> Endpoint | None:
    if anchor is None or any(models[e.name].caches(anchor) for e in endpoints):
        return None
    return max(endpoints, key=lambda e: score(anchor.key, e.name), default=None)


def _split_by_first_block(
    prompt: Prompt, endpoints: Sequence[Endpoint], models: Mapping[str, EngineModel]
) -> tuple[list[Endpoint], list[Endpoint]]:
    """Split endpoints by whether they cache the first block; those without it prefill all of it."""
    if not prompt.parts:
        return [], list(endpoints)
    first = prompt.parts[0]
    caching: list[Endpoint] = []
    others: list[Endpoint] = []
    for endpoint in endpoints:
        (caching if models[endpoint.name].caches(first) else others).append(endpoint)
    return caching, others


def choose_plain(
    endpoints: Sequence[Endpoint],
    records: Mapping[str, EndpointRecord],
    failure_domain: str,
    now_ms: float,
) -> Choice | None:
    """Choose the endpoint of a plain service with the earliest expected response."""
    cheapest: Choice | None = None
    lowest_cost = float("inf")
    for endpoint in endpoints:
        record = records[endpoint.name]
        rounds = 1.0 + record.outstanding / max(1, endpoint.slots)
        answer_ms = record.latency_ms * rounds
        cost = answer_ms + FAILURE_PENALTY_MS * record.failures(now_ms)
        if endpoint.failure_domain != failure_domain:
            cost += 1.0
        if cost < lowest_cost:
            lowest_cost = cost
            cheapest = Choice(endpoint, answer_ms)
    return cheapest


def _full_ms(endpoint: Endpoint, model: EngineModel) -> float:
    busy = model.running + model.waiting
    return FULL_SLOT_MS * max(0, busy + 1 - endpoint.slots)
