"""An engine for a generation, and whether the generation is sent there now."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from tamarack_core.admission import Decision, admit
from tamarack_core.endpoint_book import Endpoint
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.engine_model import EngineModel
from tamarack_core.placement import Choice, choose_engine
from tamarack_core.prompt import Prompt
from tamarack_core.workspace_shares import Position


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
    """The engine that suits a request best, and what becomes of the request there."""

    choice: Choice
    decision: Decision


class Engines(NamedTuple):
    """Engines that a request may go to, with what the router believes of each by name."""

    endpoints: Sequence[Endpoint]
    models: Mapping[str, EngineModel]
    records: Mapping[str, EndpointRecord]


def place_admitted(
    prompt: Prompt, engines: Engines, position: Position, terms: Terms, now_ms: float
) -> AdmittedPlacement | None:
    """Pick an engine and decide on sending the request there; None without engines."""
    choice = choose_engine(prompt, engines.endpoints, engines.models, engines.records, now_ms)
    if choice is None:
        return None
    return AdmittedPlacement(choice, _decide(choice, prompt, engines, position, terms, now_ms))


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
        unavoidable_ms=model.reading_ms(prompt) * model.pace(now_ms),
        standing=position.standing,
        lead=position.lead,
        filled=position.filled,
        **terms._asdict(),
    )
