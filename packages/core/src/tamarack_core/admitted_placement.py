"""Placement of a generation on an engine, combined with admission control."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from tamarack_core.admission import (
    WITHIN_SHARE,
    Admission,
    Decision,
    admit,
    relaxed_standing,
)
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import EngineModel
from tamarack_core.placement import IDLE_ENGINE_QUEUE_MS, Choice, choose_engine, choose_idle
from tamarack_core.prompt import Prompt
from tamarack_core.workspace_shares import Position

SPREAD_PREFILL_FACTOR = 2.0
"""Longest prefill at an idle engine, as a multiple of the tokens that are not cached at the engine
with the lowest cost: it may recompute no more than it computes for the first time. Each prefill
takes the idle engine from requests whose prefixes it caches; without a bound, prompts with a long
cached prefix and a short uncached rest would be recomputed all the time."""


class LatencyRequirements(NamedTuple):
    """Latency requirements of a request, and the time it has waited.

    Attributes
    ----------
    aim_ms, waited_ms, left_ms
        Latency target, time already waited and time until the deadline.
    shortest_aim_ms
        The shortest latency target of all routes to the same engines.
    retried
        Whether it is a retry after a refusal.
    draw
        A random number in [0, 1) that spreads retries.
    """

    aim_ms: float
    shortest_aim_ms: float
    waited_ms: float
    left_ms: float
    retried: bool
    draw: float


class AdmittedPlacement(NamedTuple):
    """The engine chosen for a request, and the admission decision there.

    `position` is the position of the workspace on which the decision is based.
    """

    choice: Choice
    decision: Decision
    position: Position = Position()


class Engines(NamedTuple):
    """Engines that a request may go to, with the router's local state of each by name."""

    endpoints: Sequence[Endpoint]
    models: Mapping[str, EngineModel]
    records: Mapping[str, EndpointRecord]


def place_admitted(
    prompt: Prompt,
    engines: Engines,
    position: Position,
    requirements: LatencyRequirements,
    now_ms: float,
) -> AdmittedPlacement | None:
    """Choose an engine and decide on admission there; None without engines.

    The engine with the lowest cost is usually one that caches the prompt's prefix blocks. If its
    queue is too long and other engines are idle, one of them prefills the prompt again.
    """
    choice = choose_engine(prompt, engines.endpoints, engines.models, engines.records, now_ms)
    if choice is None:
        return None
    relaxed = position
    if position.standing > 1.0:
        idle_fraction = _idle_fraction(engines, now_ms)
        relaxed = position._replace(standing=relaxed_standing(position.standing, idle_fraction))
    decision = _decide(choice, prompt, engines, relaxed, requirements, now_ms)
    worth_prefill = prompt.tokens_in <= SPREAD_PREFILL_FACTOR * choice.unread_tokens
    if decision.admission is not Admission.ADMITTED and relaxed.standing <= 1.0 and worth_prefill:
        others = [endpoint for endpoint in engines.endpoints if endpoint is not choice.endpoint]
        on_idle = _place_on_idle(
            prompt, engines._replace(endpoints=others), relaxed, requirements, now_ms
        )
        if on_idle is not None:
            return on_idle._replace(position=position)
    return AdmittedPlacement(choice, decision, position)


def _place_on_idle(
    prompt: Prompt,
    engines: Engines,
    position: Position,
    requirements: LatencyRequirements,
    now_ms: float,
) -> AdmittedPlacement | None:
    """Place on an idle engine that meets the latency target despite the prefill; None without."""
    free = choose_idle(prompt, engines.endpoints, engines.models, engines.records, now_ms)
    if (
        free is None
        or free.first_token_ms > WITHIN_SHARE * requirements.aim_ms - requirements.waited_ms
    ):
        return None
    decision = _decide(free, prompt, engines, position, requirements, now_ms)
    return AdmittedPlacement(free, decision) if decision.admission is Admission.ADMITTED else None


def _idle_fraction(engines: Engines, now_ms: float) -> float:
    models = engines.models
    free = sum(
        models[endpoint.name].wait_ms(now_ms) <= IDLE_ENGINE_QUEUE_MS
        for endpoint in engines.endpoints
    )
    return free / len(engines.endpoints)


def _decide(
    choice: Choice,
    prompt: Prompt,
    engines: Engines,
    position: Position,
    requirements: LatencyRequirements,
    now_ms: float,
) -> Decision:
    model = engines.models[choice.endpoint.name]
    return admit(
        first_token_ms=choice.first_token_ms,
        unavoidable_ms=model.reading_ms(prompt) * model.pace(now_ms) + model.beyond_prefill_ms,
        standing=position.standing,
        lead=position.lead,
        filled=position.filled,
        **requirements._asdict(),
    )
