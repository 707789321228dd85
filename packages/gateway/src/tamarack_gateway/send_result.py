"""Result of sending a request to one endpoint."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from tamarack_gateway.http_messages import AnswerHead


class SendOutcome(Enum):
    """Outcome of one send."""

    DONE = 1
    NOT_RUN = 2
    BROKEN = 3
    TIMED_OUT = 4
    FAILED = 5


class Result(NamedTuple):
    """Outcome of one send, and an error answer to pass on if no retry succeeds.

    Attributes
    ----------
    lost
        Whether the connection closed before the answer was complete, as in a crash of the endpoint.
    caller_slow
        Whether the endpoint had to wait for the caller, so that the time says nothing about it.
    """

    outcome: SendOutcome
    reason: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    lost: bool = False
    caller_slow: bool = False
