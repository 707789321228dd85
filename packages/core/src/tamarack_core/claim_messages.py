"""Messages about requests with an idempotency key, and about answers held elsewhere."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import ChangeId, Owner, message, speaks_of


@speaks_of(Owner.SENDER)
@message(30)
class Claim(NamedTuple):
    """Ask a keeper whether a key may run."""

    key: str
    workspace: str
    digest: str
    request: str

    def with_ids(self, change: ChangeId) -> Claim:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@speaks_of(Owner.RECEIVER)
@message(31)
class ClaimAnswer(NamedTuple):
    """A keeper's answer.

    Attributes
    ----------
    state
        `fresh`, `running`, `done`, `orphan`, `conflict`, `full`, `unknown`.
    holder
        Request id under which the key runs or ran.
    run
        Request id that the endpoint knows the run by.
    endpoint
        Where it runs or ran, empty if that is not known.
    """

    request: str
    state: str
    holder: str = ""
    run: str = ""
    endpoint: str = ""

    def with_ids(self, change: ChangeId) -> ClaimAnswer:
        """Return the message with a changed id of the claiming request."""
        return self._replace(request=change(self.request))


@speaks_of(Owner.SENDER)
@message(32)
class ClaimDone(NamedTuple):
    """The router that ran a key tells the keeper how it ended."""

    request: str
    state: str

    def with_ids(self, change: ChangeId) -> ClaimDone:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@speaks_of(Owner.SENDER)
@message(35)
class ClaimRunning(NamedTuple):
    """The router that runs a key tells the keeper where, so that others can find the run."""

    request: str
    endpoint: str

    def with_ids(self, change: ChangeId) -> ClaimRunning:
        """Return the message with changed request ids."""
        return self._replace(request=change(self.request))


@message(33)
class AnswerQuery(NamedTuple):
    """Ask the router that holds a request for its state and answer from an offset."""

    correlation: int
    workspace: str
    request: str
    offset: int


@message(34)
class AnswerPart(NamedTuple):
    """State of a request and a part of its answer.

    Attributes
    ----------
    state
        `waiting`, `running`, `done`, `refused`, `broken`, `gone`.
    status
        HTTP status of the answer; zero while there is none.
    total
        Bytes of the answer so far.
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
