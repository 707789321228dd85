"""Messages between the tasks of one router."""

from __future__ import annotations

import socket
from typing import Any, NamedTuple

from tamarack_core.actions import ClaimRow
from tamarack_core.claim_messages import AnswerPart, AnswerQuery, ClaimAnswer
from tamarack_core.configuration import Configuration
from tamarack_core.endpoint_pool import LoadReport
from tamarack_core.errors import Refusal
from tamarack_core.request_spec import RequestSpec


class EndpointCall(NamedTuple):
    """The HTTP request to make at an endpoint.

    Attributes
    ----------
    kind
        `model` or `plain`, as the service's entry says.
    stream
        Whether the answer is handed on as it comes.
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
    """A caller's request with its socket, handed to the relay."""

    sock: socket.socket
    spec: RequestSpec
    call: EndpointCall
    span: Any


class FollowAnswer(NamedTuple):
    """A caller's socket that wants the answer of a request, from an offset."""

    sock: socket.socket
    workspace: str
    request: str
    offset: int


class SubmitRequest(NamedTuple):
    """Relay to control: take up this request."""

    spec: RequestSpec


class CancelRequest(NamedTuple):
    """Relay to control: the caller of a waiting request is gone."""

    request: str


class RunProgress(NamedTuple):
    """Relay to control: cost of a run so far."""

    request: str
    cost: float


class RunFinished(NamedTuple):
    """Relay to control: a run has ended, with its usage state and the state of its key."""

    request: str
    cost: float
    usage_state: int
    key_state: str


class RunFailed(NamedTuple):
    """Relay to control: an endpoint failed a run that has shown its caller nothing yet.

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


class DoubtRouter(NamedTuple):
    """Relay to control: find out at once whether a router still answers."""

    router: str


class PeerQuery(NamedTuple):
    """Control to relay: a peer asks for an answer kept here."""

    sender: str
    query: AnswerQuery


class PeerAnswer(NamedTuple):
    """Control to relay: a peer's part of an answer."""

    part: AnswerPart


class LoadRead(NamedTuple):
    """Load task to control: an endpoint's report."""

    endpoint: str
    load: LoadReport


class HeadRead(NamedTuple):
    """Platform task to control: the head version, None if the store did not answer."""

    version: int | None
    store_up: bool


class ChangesRead(NamedTuple):
    """Platform task to control: changes read from the store, after a snapshot if one was read."""

    snapshot: Configuration | None
    changes: list[bytes]


class RowClaimed(NamedTuple):
    """Platform task to control: the answer to a claim by row."""

    claim: ClaimRow
    answer: ClaimAnswer


class InstancesRead(NamedTuple):
    """Platform task to control: routers' peer addresses, and names of leaving endpoints."""

    addresses: list[str]
    leaving: frozenset[str]


class Leave(NamedTuple):
    """Main to control: announce that this router is leaving."""


class Stop(NamedTuple):
    """End of a task."""
