"""Answers of the fleet, and the errors raised without one."""

from __future__ import annotations

import json
from typing import Any, NamedTuple


class Answer(NamedTuple):
    """A complete answer.

    Attributes
    ----------
    request_id
        Id under which any router returns the answer again for a limited time.
    attempts
        How often the request was sent to a router.
    """

    status: int
    body: bytes
    request_id: str
    attempts: int

    @property
    def json(self) -> Any:
        """The body decoded as JSON."""
        return json.loads(self.body)


class RefusedError(Exception):
    """The fleet refused the request; it was not run.

    Attributes
    ----------
    code
        Error code; docs/callers.md lists them.
    retry_after_ms
        Milliseconds to wait before a retry; zero if a retry does not help.
    """

    def __init__(self, status: int, code: str, message: str, retry_after_ms: int) -> None:
        super().__init__(f"{code}: {message}")
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms


class OutcomeUnknownError(Exception):
    """It is unknown whether the request ran; it will not run again under its key."""

    def __init__(self, code: str, message: str, request_id: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.request_id = request_id
