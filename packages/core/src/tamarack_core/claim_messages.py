"""Messages about idempotency keys, and about responses held by other routers."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import ChangeId, Owner, message, with_ids_of


@with_ids_of(Owner.SENDER)
@message(30)
class Claim(NamedTuple):
    """Ask a key's owner whether its request may run."""

    key: str
    workspace: str
    digest: str
    request: str

    def with_ids(self, change: ChangeId) -> Claim:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@with_ids_of(Owner.RECEIVER)
@message(31)
class ClaimAnswer(NamedTuple):
    """A key owner's answer to a claim.

    Attributes
    ----------
    state
        `fresh`, `running`, `done`, `orphan`, `conflict`, `full`, `unknown`.
    holder
        Request id under which the key runs or ran.
    run
        Request id under which the endpoint knows the run.
    endpoint
        Endpoint that runs or ran it, empty if unknown.
    """

    request: str
    state: str
    holder: str = ""
    run: str = ""
    endpoint: str = ""

    def with_ids(self, change: ChangeId) -> ClaimAnswer:
        """Return the message with a changed id of the claiming request."""
        return self._replace(request=change(self.request))


@with_ids_of(Owner.SENDER)
@message(32)
class ClaimDone(NamedTuple):
    """Report to a key's owner how its request ended."""

    request: str
    state: str

    def with_ids(self, change: ChangeId) -> ClaimDone:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@with_ids_of(Owner.SENDER)
@message(35)
class ClaimRunning(NamedTuple):
    """Report to a key's owner which endpoint runs its request, so that retries find the run."""

    request: str
    endpoint: str

    def with_ids(self, change: ChangeId) -> ClaimRunning:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@message(33)
class AnswerQuery(NamedTuple):
    """Ask a request's router for its state and its response from an offset in bytes."""

    correlation: int
    workspace: str
    request: str
    offset: int


@message(34)
class AnswerPart(NamedTuple):
    """State of a request and a part of its response.

    Attributes
    ----------
    state
        `waiting`, `running`, `done`, `refused`, `broken`, `gone`.
    status
        HTTP status of the response; zero while there is none.
    total
        Bytes of the response so far.
    """

    correlation: int
    state: str
    status: int
    content_type: str
    offset: int
    total: int
    data: bytes
    stream: bool = False
    code: str = ""
    outcome: str = ""
    explanation: str = ""
