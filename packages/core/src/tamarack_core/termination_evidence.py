"""Reports between routers about endpoints that terminated, and the requests that ran there."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.wire import message


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


class InterruptedTraits(NamedTuple):
    """Further traits of an interrupted request.

    Attributes
    ----------
    blocks
        Traits of the shared prefix blocks of its prompt.
    isolated_for
        Name of the suspected traits for which it was sent isolated; empty if it was not.
    """

    blocks: tuple[str, ...]
    isolated_for: str = ""


@message(74)
class InterruptedRequests(NamedTuple):
    """Traits of interrupted requests, by fingerprint; sent before the evidence of the crash.

    Routers that recognize only whole requests skip this message and read the evidence.
    """

    requests: dict[str, InterruptedTraits]


class QuarantinedRequest(NamedTuple):
    """A quarantined combination of traits, mostly of one.

    Attributes
    ----------
    fingerprint
        Its name: that of a whole request is its fingerprint.
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
        Suspected traits that were answered completely, and entries that are released for it.
    """

    ends: list[Termination] = []
    cleared: list[str] = []
    quarantined: list[QuarantinedRequest] = []
