"""Reports between routers about endpoints that terminated, and the requests that ran there."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation


class InterruptedRequest(NamedTuple):
    """A request that was in progress at an endpoint when it terminated.

    Attributes
    ----------
    early
        Whether its answer had not begun or had only just begun. A request that crashes an endpoint
        mostly does so at its start; one that has run for a long time is a less likely culprit.
    """

    fingerprint: str
    workspace: str
    early: bool


class Termination(NamedTuple):
    """Termination of one incarnation of an endpoint, as detected by one router.

    Attributes
    ----------
    together
        Whether another endpoint terminated at the same time, as in a failure of instances: no
        single request crashes two endpoints.
    aboard
        Requests in progress there.
    refused
        Whether its address refuses connections. Other evidence concerns only the requests in
        progress, and does not show whether the endpoint can take new ones.
    """

    endpoint: str
    life: int | None
    together: bool
    aboard: list[InterruptedRequest]
    refused: bool = True

    @property
    def key(self) -> EndpointIncarnation:
        """The incarnation that terminated."""
        return EndpointIncarnation(self.endpoint, self.life)


class QuarantinedRequest(NamedTuple):
    """A quarantined request.

    Attributes
    ----------
    trials
        Number of trials since then in which it crashed another endpoint.
    """

    fingerprint: str
    workspace: str
    trials: int


class Evidence(NamedTuple):
    """Evidence that a router gathered since its last report to the others.

    Attributes
    ----------
    cleared
        Fingerprints of suspects that were answered completely.
    """

    ends: list[Termination] = []
    cleared: list[str] = []
    quarantined: list[QuarantinedRequest] = []
