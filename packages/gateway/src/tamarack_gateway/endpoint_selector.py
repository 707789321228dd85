"""Selects the endpoint for each send of one request."""

from __future__ import annotations

from collections.abc import Sequence

from tamarack_core.admission import Admission, Decision
from tamarack_core.admitted_placement import AdmittedPlacement
from tamarack_core.endpoint_registry import Endpoint, EndpointIncarnation
from tamarack_core.placement import Choice, choose_engine, choose_plain
from tamarack_core.prompt import Prompt
from tamarack_core.ruleset import Route
from tamarack_gateway.engine_admission import EngineAdmission
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.request_quarantine import RequestQuarantine

NOT_LIMITED = Decision(Admission.ADMITTED, "not decided on")
"""Decision without admission control: for plain services, whose endpoints reject requests
themselves, and for retries."""


class EndpointSelector:
    """Selects endpoints for one request, each at most once.

    Parameters
    ----------
    workspace
        Workspace of the caller's key; None for a request without a key.
    prompt
        The prompt of a generation; None for a plain service.

    Attributes
    ----------
    software_version
        The only software version whose endpoints are selected; None for any.
    was_admitted
        Whether the request goes on with a stream that was admitted when it began.
    """

    def __init__(
        self,
        state: FleetState,
        route: Route,
        service: str,
        workspace: str | None,
        prompt: Prompt | None,
        engine_admission: EngineAdmission,
        request_quarantine: RequestQuarantine,
    ) -> None:
        self._state = state
        self._route = route
        self._service = service
        self._workspace = workspace
        self._prompt = prompt
        self._engine_admission = engine_admission
        self._request_quarantine = request_quarantine
        self._tried: set[EndpointIncarnation] = set()
        self.software_version: str | None = None
        self.was_admitted = False

    def exclude(self, endpoint: Endpoint) -> None:
        """Record that the request was sent to an endpoint, or could not be."""
        self._tried.add(endpoint.key)

    def select(self, left_ms: float, *, retries: bool) -> AdmittedPlacement | None:
        """Select an endpoint; None if no further one may get the request.

        Parameters
        ----------
        left_ms
            Time left until the request's deadline.
        retries
            Whether the request was sent before.
        """
        endpoints = self._candidates()
        fresh = [e for e in endpoints if e.key not in self._tried] if self._tried else endpoints
        if not retries and not fresh:
            fresh = endpoints
        fresh = list(self._request_quarantine.allowed_endpoints(fresh))
        if not fresh:
            return None
        if not retries and self._prompt is not None:
            return self._engine_admission.place(
                fresh, self._prompt, left_ms, was_admitted=self.was_admitted
            )
        choice = self._choose(fresh)
        return AdmittedPlacement(choice, NOT_LIMITED) if choice is not None else None

    def _candidates(self) -> list[Endpoint]:
        state = self._state
        endpoints = state.in_regions(state.available(self._service), self._regions)
        if self.software_version is None:
            return endpoints
        return [e for e in endpoints if e.software_version == self.software_version]

    @property
    def _regions(self) -> frozenset[str] | None:
        rules = self._state.rules
        return rules.regions_for(self._route, self._workspace) if rules else self._route.regions

    def _choose(self, endpoints: Sequence[Endpoint]) -> Choice | None:
        state, now_ms = self._state, self._state.clock.now_ms
        if self._prompt is not None:
            return choose_engine(self._prompt, endpoints, state.models, state.records, now_ms)
        return choose_plain(endpoints, state.records, state.settings.failure_domain, now_ms)
