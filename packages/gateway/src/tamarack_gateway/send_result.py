"""What came of sending a request to one endpoint."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from tamarack_gateway.http_messages import AnswerHead


class Verdict(Enum):
    """What came of one send."""

    DONE = 1
    NOT_RUN = 2
    BROKEN = 3
    TIME_UP = 4
    FAILED = 5


class Result(NamedTuple):
    """What came of one send, and an answer that is kept in case nothing better follows.

    Attributes
    ----------
    lost
        Whether the connection ended in the middle, as it does when the endpoint ends.
    """

    verdict: Verdict
    reason: str = ""
    head: AnswerHead | None = None
    body: bytes = b""
    lost: bool = False
