"""Admission of one request to an engine, and the log of requests that are queued or rejected."""

from __future__ import annotations

from collections.abc import Sequence

from tamarack_core.admission import Admission
from tamarack_core.admitted_placement import (
    AdmittedPlacement,
    Engines,
    LatencyRequirements,
    place_admitted,
)
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.prompt import Prompt
from tamarack_core.ruleset import Route
from tamarack_core.workspace_shares import Position
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import Request
from tamarack_gateway.site import RequestFacts


class EngineAdmission:
    """Decides whether one request is sent, queued at the router or rejected.

    Parameters
    ----------
    workspace
        Workspace of the caller's key; None for a request without a key.
    """

    def __init__(
        self,
        state: FleetState,
        service: str,
        request: Request,
        facts: RequestFacts,
        route: Route,
        workspace: str | None,
    ) -> None:
        self._state = state
        self._service = service
        self._arrived_ms = request.arrived_ms
        self._facts = facts
        self._route = route
        self._workspace = workspace

    def place(
        self,
        endpoints: Sequence[Endpoint],
        prompt: Prompt,
        left_ms: float,
        *,
        was_admitted: bool = False,
    ) -> AdmittedPlacement | None:
        """Pick an engine and decide on admission there.

        Parameters
        ----------
        left_ms
            Time left until the request's deadline.
        was_admitted
            Whether its stream was admitted when it began: the workspace's share was decided on
            then, and only the queue counts now. A refusal would waste what the caller has.
        """
        state, now_ms = self._state, self._state.clock.now_ms
        aim_ms = self._route.aim_ms
        requirements = LatencyRequirements(
            aim_ms=aim_ms,
            shortest_aim_ms=state.shortest_aim_ms(self._service, aim_ms),
            waited_ms=now_ms - self._arrived_ms,
            left_ms=left_ms,
            retried=state.retry_detector.is_retry(self._route.name, self._facts.wait_ms),
            draw=state.random.random(),
        )
        position = Position(standing=1.0) if was_admitted else self._position(now_ms)
        engines = Engines(endpoints, state.models, state.records)
        placement = place_admitted(prompt, engines, position, requirements, now_ms)
        if placement is not None and placement.decision.admission is not Admission.ADMITTED:
            self._log_decision(prompt, placement)
        return placement

    def _position(self, now_ms: float) -> Position:
        state = self._state
        if state.rules is None or self._workspace is None:
            return Position()
        shares = state.shares.of(self._service)
        return shares.position(self._workspace, state.throughput(self._service), now_ms)

    def _log_decision(self, prompt: Prompt, placement: AdmittedPlacement) -> None:
        # The shortest queue of any engine distinguishes a full service from one whose idle engines
        # have not cached this prompt; the bound and the lead (service relative to the least-served
        # backlogged workspace) show for whom the queue was kept short.
        state, (choice, decision, position) = self._state, placement
        state.log.request(
            decision.admission.value,
            self._facts.attempt,
            reason=decision.reason,
            workspace=self._workspace,
            tokens=prompt.charge,
            endpoint=choice.endpoint.name,
            first_token_ms=round(choice.first_token_ms),
            queue_ms=round(decision.queue_ms),
            bound_ms=round(decision.bound_ms),
            least_wait_ms=round(self._least_wait_ms()),
            unread_tokens=choice.unread_tokens,
            aim_ms=self._route.aim_ms,
            standing=round(position.standing, 2),
            lead=round(position.lead, 2),
            filled=round(position.filled, 2),
            wait_ms=round(decision.wait_ms),
        )

    def _least_wait_ms(self) -> float:
        state = self._state
        now_ms = state.clock.now_ms
        names = [endpoint.name for endpoint in state.usable(self._service)]
        return min((state.models[name].wait_ms(now_ms) for name in names), default=0.0)
