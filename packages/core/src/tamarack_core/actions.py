"""Actions that the core asks its host process to perform."""

from __future__ import annotations

from typing import Any, NamedTuple

from tamarack_core.claim_messages import AnswerPart, AnswerQuery
from tamarack_core.errors import Refusal
from tamarack_core.protocol import ChangesAnswer, ChangesQuery


class Send(NamedTuple):
    """Send a message to a peer; `address` is its ZeroMQ address, empty if known by name."""

    router: str
    message: Any
    address: str = ""


class Reconnect(NamedTuple):
    """Drop the connection to a peer and open a new one before the next message.

    A connection can fail silently while new connections work. Without a new connection a healthy
    peer would be declared dead.
    """

    router: str


class StartRun(NamedTuple):
    """Run a request at an endpoint; `charged` is its charge in cost units."""

    request: str
    endpoint: str
    address: str
    charged: float


class RefuseRequest(NamedTuple):
    """Refuse a held request without running it or running it again."""

    request: str
    refusal: Refusal


class FollowRequest(NamedTuple):
    """Serve a held request with the response of another request.

    Attributes
    ----------
    holder
        Request whose router holds the response; empty if none holds it any more.
    run, address
        Request id under which the endpoint knows the run, and the endpoint's address, to read the
        run if the holder does not answer; empty if that is not possible.
    """

    request: str
    holder: str
    run: str = ""
    address: str = ""


class ClaimRow(NamedTuple):
    """Claim a key without an owner by a row in the table service."""

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
    """Pass a peer's message to the task outside the core that answers it."""

    sender: str
    message: AnswerQuery | AnswerPart | ChangesQuery | ChangesAnswer


Action = Send | Reconnect | StartRun | RefuseRequest | FollowRequest | ClaimRow | RowDone | Deliver
