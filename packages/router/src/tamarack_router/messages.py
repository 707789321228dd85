"""Messages between the tasks of one router."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple

from tamarack_core.actions import ClaimRow
from tamarack_core.claim_messages import AnswerPart, AnswerQuery, ClaimAnswer
from tamarack_core.configuration import Configuration
from tamarack_core.endpoint_pool import LoadReport
from tamarack_core.errors import Refusal
from tamarack_core.leaving import LeavingPlan
from tamarack_core.request_spec import RequestSpec


class EndpointCall(NamedTuple):
    """The HTTP request to make at an endpoint.

    Attributes
    ----------
    kind
        `model` or `plain`, from the service's configuration entry.
    stream
        Whether the answer is forwarded while it is received.
    prompt_cost
        Cost units of the prompt alone.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    kind: str
    stream: bool
    prompt_cost: float = 0.0


class HoldRequest(NamedTuple):
    """Listener to relay: a caller's request with its socket."""

    sock: socket.socket
    spec: RequestSpec
    call: EndpointCall
    span: Any


class FollowAnswer(NamedTuple):
    """Listener to relay: write a request's answer from an offset; -1 requests only its state."""

    sock: socket.socket
    workspace: str
    request: str
    offset: int


class SubmitRequest(NamedTuple):
    """Relay to control: queue this request."""

    spec: RequestSpec


class CancelRequest(NamedTuple):
    """Relay to control: the caller of a waiting request has disconnected."""

    request: str


class RunProgress(NamedTuple):
    """Relay to control: cost of a run so far."""

    request: str
    cost: float


class RunFinished(NamedTuple):
    """Relay to control: a run has ended; gives its cost, usage state and key state."""

    request: str
    cost: float
    usage_state: int
    key_state: str


class RunFailed(NamedTuple):
    """Relay to control: a run failed before its caller received any part of the answer.

    Attributes
    ----------
    sent
        Whether a byte of the request may have reached the endpoint.
    """

    request: str
    cost: float
    sent: bool


class EndRequest(NamedTuple):
    """Control to relay: end a request with a refusal."""

    request: str
    refusal: Refusal


class PeerMessage(NamedTuple):
    """Any task to control: send this to a peer."""

    router: str
    message: Any


class ProbeRouter(NamedTuple):
    """Relay to control: probe a router at once, as it may have failed."""

    router: str


class PeerQuery(NamedTuple):
    """Control to relay: a peer requests an answer stored here."""

    sender: str
    query: AnswerQuery


class PeerAnswer(NamedTuple):
    """Control to relay: a part of an answer, received from a peer."""

    part: AnswerPart


class LoadPolled(NamedTuple):
    """Load task to control: an endpoint's load report."""

    endpoint: str
    load: LoadReport


class HeadPolled(NamedTuple):
    """Platform task to control: the head version, None if the store did not respond."""

    version: int | None
    store_up: bool


class ChangesFetched(NamedTuple):
    """Platform task to control: changes read from the store, after a snapshot if one was read."""

    snapshot: Configuration | None
    changes: list[bytes]


class RowClaimed(NamedTuple):
    """Platform task to control: the result of claiming a key in the table service."""

    claim: ClaimRow
    answer: ClaimAnswer


class InstancesFetched(NamedTuple):
    """Platform task to control: routers' peer addresses, and names of leaving endpoints."""

    addresses: list[str]
    leaving: frozenset[str]


class Leave(NamedTuple):
    """Main to control: announce that this router is leaving."""


class PlanExit(NamedTuple):
    """Main to relay: the router stops; take only requests that end before `plan.last_exit_ms`."""

    plan: LeavingPlan


class EndHeld(NamedTuple):
    """Main to relay: answer all requests that have not ended, since the process ends now."""


class Stop(NamedTuple):
    """Any task: end the loop."""
