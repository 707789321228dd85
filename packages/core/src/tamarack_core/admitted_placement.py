"""An engine for a generation, and whether the generation is sent there now."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from tamarack_core.admission import (
    WITHIN_SHARE,
    Admission,
    Decision,
    admit,
    eased_standing,
)
from tamarack_core.endpoint_book import Endpoint
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.engine_model import EngineModel
from tamarack_core.placement import FREE_MS, Choice, choose_engine, choose_free
from tamarack_core.prompt import Prompt
from tamarack_core.workspace_shares import Position

SPREAD_READS = 2.0
"""Most times as much as its keeper has to read of a prompt that a free engine may read of it: again
no more than anew. Each reading takes the engine from requests that find their parts there; without
a bound, prompts with much that is kept and little of their own are read anew all the time."""


class Terms(NamedTuple):
    """What a request may be made to wait, and what it has waited.

    Attributes
    ----------
    aim_ms, waited_ms, left_ms
        Its aim, the time it has waited already and the time until its deadline.
    shortest_aim_ms
        The shortest aim of all routes to the same engines.
    returned
        Whether it was refused before and came back.
    draw
        A number from 0 up to 1 that spreads returns.
    """

    aim_ms: float
    shortest_aim_ms: float
    waited_ms: float
    left_ms: float
    returned: bool
    draw: float


class AdmittedPlacement(NamedTuple):
    """The engine that suits a request best, and what becomes of the request there.

    `position` is the workspace's, as the decision was taken by it.
    """

    choice: Choice
    decision: Decision
    position: Position = Position()


class Engines(NamedTuple):
    """Engines that a request may go to, with what the router believes of each by name."""

    endpoints: Sequence[Endpoint]
    models: Mapping[str, EngineModel]
    records: Mapping[str, EndpointRecord]


def place_admitted(
    prompt: Prompt, engines: Engines, position: Position, terms: Terms, now_ms: float
) -> AdmittedPlacement | None:
    """Pick an engine and decide on sending the request there; None without engines.

    The engine that costs least is mostly one that keeps the prompt's parts. Where its queue is too
    long and engines stand free, one of these reads the prompt anew.
    """
    choice = choose_engine(prompt, engines.endpoints, engines.models, engines.records, now_ms)
    if choice is None:
        return None
    eased = position
    if position.standing > 1.0:
        free_part = _free_part(engines, now_ms)
        eased = position._replace(standing=eased_standing(position.standing, free_part))
    decision = _decide(choice, prompt, engines, eased, terms, now_ms)
    worth_reading = prompt.tokens_in <= SPREAD_READS * choice.unread_tokens
    if decision.verdict is not Admission.ADMITTED and eased.standing <= 1.0 and worth_reading:
        further = [endpoint for endpoint in engines.endpoints if endpoint is not choice.endpoint]
        spread = _spread(prompt, engines._replace(endpoints=further), eased, terms, now_ms)
        if spread is not None:
            return spread._replace(position=position)
    return AdmittedPlacement(choice, decision, position)


def _spread(
    prompt: Prompt, engines: Engines, position: Position, terms: Terms, now_ms: float
) -> AdmittedPlacement | None:
    """A free engine that reads the prompt anew and serves it in its aim; None if there is none."""
    free = choose_free(prompt, engines.endpoints, engines.models, engines.records, now_ms)
    if free is None or free.first_token_ms > WITHIN_SHARE * terms.aim_ms - terms.waited_ms:
        return None
    decision = _decide(free, prompt, engines, position, terms, now_ms)
    return AdmittedPlacement(free, decision) if decision.verdict is Admission.ADMITTED else None


def _free_part(engines: Engines, now_ms: float) -> float:
    models = engines.models
    free = sum(models[endpoint.name].wait_ms(now_ms) <= FREE_MS for endpoint in engines.endpoints)
    return free / len(engines.endpoints)


def _decide(
    choice: Choice,
    prompt: Prompt,
    engines: Engines,
    position: Position,
    terms: Terms,
    now_ms: float,
) -> Decision:
    model = engines.models[choice.endpoint.name]
    return admit(
        first_token_ms=choice.first_token_ms,
        unavoidable_ms=model.reading_ms(prompt) * model.pace(now_ms) + model.beyond_reading_ms,
        standing=position.standing,
        lead=position.lead,
        filled=position.filled,
        **terms._asdict(),
    )
