"""Asks whether a generation may be sent to the engine chosen for it."""

from __future__ import annotations

from tamarack_core.admission import Admission, Decision, admit
from tamarack_core.placement import Choice
from tamarack_core.prompt import Prompt
from tamarack_core.ruleset import Route
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import RequestFacts


class AdmissionCheck:
    """Decides on one request by its route, its workspace and what others wait for.

    Parameters
    ----------
    arrived_ms
        When the request arrived.
    """

    def __init__(
        self,
        state: FleetState,
        facts: RequestFacts,
        route: Route,
        service: str,
        workspace: str | None,
        *,
        arrived_ms: float,
    ) -> None:
        self._state = state
        self._facts = facts
        self._route = route
        self._service = service
        self._workspace = workspace
        self._arrived_ms = arrived_ms

    def decide(self, choice: Choice, prompt: Prompt, left_ms: float) -> Decision:
        """Decide, and log what is not admitted."""
        state, now_ms = self._state, self._state.clock.now_ms
        standing = self._standing(now_ms)
        model = state.models[choice.endpoint.name]
        aim_ms = self._route.aim_ms
        decision = admit(
            first_token_ms=choice.first_token_ms,
            unavoidable_ms=model.reading_ms(prompt) * model.pace(now_ms),
            aim_ms=aim_ms,
            shortest_aim_ms=state.shortest_aim_ms(self._service, aim_ms),
            waited_ms=now_ms - self._arrived_ms,
            left_ms=left_ms,
            standing=standing,
            lead=self._lead(now_ms),
            returned=state.returns.returned(self._route.name, self._facts.wait_ms),
            draw=state.random.random(),
        )
        if decision.verdict is not Admission.ADMITTED:
            state.log.request(
                decision.verdict.value,
                self._facts.attempt,
                reason=decision.reason,
                workspace=self._workspace,
                endpoint=choice.endpoint.name,
                first_token_ms=round(choice.first_token_ms),
                aim_ms=aim_ms,
                standing=round(standing, 2),
                wait_ms=round(decision.wait_ms),
            )
        return decision

    def _standing(self, now_ms: float) -> float:
        rules = self._state.rules
        if rules is None or self._workspace is None:
            return 0.0
        return self._state.shares.standing(self._workspace, rules.tokens_per_s, now_ms)

    def _lead(self, now_ms: float) -> float:
        rules = self._state.rules
        if rules is None or self._workspace is None:
            return 1.0
        return self._state.shares.lead(self._workspace, rules.tokens_per_s, now_ms)
