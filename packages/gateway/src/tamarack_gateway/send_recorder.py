"""Updates the local state from one request's sends, and publishes them to the other routers."""

from __future__ import annotations

from tamarack_core.admitted_placement import AdmittedPlacement
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import EngineModel
from tamarack_core.placement import Choice
from tamarack_core.prompt import Prompt
from tamarack_core.ruleset import Route
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.send_result import Result, SendOutcome

REJECTED_WEIGHT = 0.5
"""Weight of a rejection, half of a failure: the endpoint is full, and answered at once."""

UNREACHED_WEIGHT = 3.0
"""Weight of a failed connection attempt: the next request would wait for one that fails as well."""

CALLER_ERROR_STATUSES = (400, 404, 504)
"""Statuses that concern the request or its deadline, and do not count as endpoint failures."""


class SendRecorder:
    """Records one request's sends in the engine models and endpoint records.

    A send updates the model and record of the incarnation it was sent to, even if the endpoint has
    restarted when the send ends: otherwise the counts of the next incarnation would miss a request
    that runs there.

    Parameters
    ----------
    attempt, service, workspace, prompt
        Properties of the request; `prompt` is None for plain services.
    """

    def __init__(
        self,
        state: FleetState,
        outbox: Outbox,
        attempt: str,
        service: str,
        workspace: str | None,
        prompt: Prompt | None,
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._attempt = attempt
        self._service = service
        self._workspace = workspace
        self._prompt = prompt
        self._record: EndpointRecord | None = None
        self._model: EngineModel | None = None
        self._running = False
        self._service_recorded = False

    def asked(self) -> None:
        """Record that the request arrived."""
        if self._prompt is None or self._workspace is None:
            return
        charge = self._prompt.charge
        shares = self._state.shares.of(self._service)
        shares.record_demand(self._workspace, charge, self._state.clock.now_ms)
        self._outbox.asked(self._service, self._workspace, charge)

    def placed(
        self,
        placement: AdmittedPlacement,
        route: Route,
        send: int,
        left_ms: float,
        last_event: int | None,
    ) -> None:
        """Log the endpoint of the request's next send, and the inputs of that decision."""
        state, (choice, decision, position) = self._state, placement
        age_ms = state.freshness.age_ms(state.clock.now_ms)
        state.log.request(
            "placed",
            self._attempt,
            reason=decision.reason,
            workspace=self._workspace,
            tokens=self._prompt.charge if self._prompt else 0,
            route=route.name,
            service=self._service,
            endpoint=choice.endpoint.name,
            software_version=choice.endpoint.software_version,
            send=send,
            last_event=last_event,
            first_token_ms=round(choice.first_token_ms),
            unread_tokens=choice.unread_tokens,
            shared=self._shared_blocks(choice),
            queue_ms=round(decision.queue_ms),
            bound_ms=round(decision.bound_ms),
            standing=round(position.standing, 2),
            lead=round(position.lead, 2),
            left_ms=round(left_ms),
            version=state.rules.version if state.rules else 0,
            confirmed_ms_ago=round(min(age_ms, 1e9)),
        )

    def _shared_blocks(self, choice: Choice) -> list[tuple[str, int, bool]]:
        """Shared prefix blocks of the prompt: key, tokens, whether the engine must prefill them."""
        model = self._state.model(choice.endpoint.key)
        if self._prompt is None or model is None:
            return []
        shared = self._prompt.parts[:-1]
        cached_count = model.cached_blocks(self._prompt)
        return [
            (part.key, part.tokens, number >= cached_count) for number, part in enumerate(shared)
        ]

    def sent(self, choice: Choice) -> None:
        """Record that the request is sent to an endpoint."""
        state, prompt, now_ms = self._state, self._prompt, self._state.clock.now_ms
        name, life = choice.endpoint.key
        state.warm_ups.sent(choice.endpoint.key, now_ms)
        self._record = state.record(choice.endpoint.key)
        if self._record is not None:
            self._record.outstanding += 1
        self._model = model = state.model(choice.endpoint.key)
        if prompt is None or model is None:
            return
        parts = model.blocks_to_report(prompt, now_ms)
        reading_ms = model.sent(self._attempt, prompt, now_ms)
        self._outbox.placed(name, reading_ms, parts, life)
        if self._workspace is not None and not self._service_recorded:
            self._service_recorded = True
            state.shares.of(self._service).record_service(self._workspace, prompt.charge, now_ms)
            self._outbox.served(self._service, self._workspace, prompt.charge)

    def first_event(self, choice: Choice) -> None:
        """Record the first event of an engine's answer."""
        model, key = self._model, choice.endpoint.key
        if model is not None and self._prompt is not None:
            now_ms = self._state.clock.now_ms
            model.first_event(self._attempt, now_ms)
            if self._state.knows(key):
                self._outbox.seen(key, model.wait_ms(now_ms), model.pace(now_ms))
            model.running += 1
            self._running = True

    def ended(self) -> None:
        """Record the end of a send, whatever its result; called once for each `sent`."""
        if self._record is not None:
            self._record.outstanding = max(0, self._record.outstanding - 1)
        model = self._model
        if model is None or self._prompt is None:
            return
        model.dropped(self._attempt)
        if self._running:
            model.running = max(0, model.running - 1)
            self._running = False

    def answered(self, choice: Choice, took_ms: float, first_event_ms: float | None) -> None:
        """Log a complete answer, with the times of its end and of its first event."""
        self._state.log.request(
            "answered",
            self._attempt,
            endpoint=choice.endpoint.name,
            took_ms=round(took_ms),
            first_event_ms=first_event_ms and round(first_event_ms),
            expected_ms=round(choice.first_token_ms),
        )

    def result(self, endpoint: Endpoint, result: Result, took_ms: float) -> None:
        """Record the result of a send."""
        if result.outcome is SendOutcome.DONE:
            record = self._state.record(endpoint.key)
            if record is not None:
                record.succeeded(self._state.clock.now_ms, took_ms)
            return
        if result.outcome is SendOutcome.FAILED and result.head is not None:
            if result.head.status not in CALLER_ERROR_STATUSES:
                self.failure(endpoint, result.reason)
            return
        if result.caller_slow:
            return
        rejected = result.outcome is SendOutcome.NOT_RUN
        self.failure(endpoint, result.reason, weight=REJECTED_WEIGHT if rejected else 1.0)

    def failure(self, endpoint: Endpoint, reason: str, *, weight: float = 1.0) -> None:
        """Record that an endpoint failed a request."""
        state = self._state
        record = state.record(endpoint.key)
        if record is None:
            return
        now_ms = state.clock.now_ms
        record.failed(now_ms, weight)
        state.log.request(
            "endpoint failed",
            self._attempt,
            endpoint=endpoint.name,
            reason=reason,
            failures=round(record.failures(now_ms), 1),
        )
