"""What the core asks its surroundings to do."""

from __future__ import annotations

from typing import Any, NamedTuple

from tamarack_core.claim_messages import AnswerPart, AnswerQuery
from tamarack_core.errors import Refusal
from tamarack_core.protocol import ChangesAnswer, ChangesQuery


class Send(NamedTuple):
    """Send a message to a peer; `address` is its zmq address, empty if known by name."""

    router: str
    message: Any
    address: str = ""


class Reconnect(NamedTuple):
    """Drop the connection to a peer and open a new one before the next message.

    A connection can go silent for good while new ones work; without this a peer that is well
    would be called dead.
    """

    router: str


class StartRun(NamedTuple):
    """Run a request at an endpoint, for which `charged` cost units were charged."""

    request: str
    endpoint: str
    address: str
    charged: float


class RefuseRequest(NamedTuple):
    """End a held request without running it (again)."""

    request: str
    refusal: Refusal


class FollowRequest(NamedTuple):
    """Serve a held request with the answer of another request.

    Attributes
    ----------
    holder
        Request whose router holds the answer; empty if none does any more.
    run, address
        Where the run can be read if the holder is silent: the request id that the endpoint knows
        it by, and the endpoint's address; empty if it cannot.
    """

    request: str
    holder: str
    run: str = ""
    address: str = ""


class ClaimRow(NamedTuple):
    """Claim a key that names no keeper by a row of the table service."""

    key: str
    workspace: str
    digest: str
    request: str


class RowDone(NamedTuple):
    """Record in the table service how the run of a claimed key ended."""

    key: str
    workspace: str
    state: str


class Deliver(NamedTuple):
    """Hand a peer's message to the task that answers it outside the core."""

    sender: str
    message: AnswerQuery | AnswerPart | ChangesQuery | ChangesAnswer


Action = Send | Reconnect | StartRun | RefuseRequest | FollowRequest | ClaimRow | RowDone | Deliver
