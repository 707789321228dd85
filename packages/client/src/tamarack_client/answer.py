"""Answers of the fleet, and the errors that stand in their place."""

from __future__ import annotations

import json
from typing import Any, NamedTuple


class Answer(NamedTuple):
    """A whole answer.

    Attributes
    ----------
    request_id
        Id under which any router gives the answer again for a while.
    attempts
        Times that the request was sent to a router.
    """

    status: int
    body: bytes
    request_id: str
    attempts: int

    @property
    def json(self) -> Any:
        """The body read as JSON."""
        return json.loads(self.body)


class RefusedError(Exception):
    """The fleet refused the request; it was not run.

    Attributes
    ----------
    code
        Cause, as in docs/callers.md.
    retry_after_ms
        When to ask again; zero where it does not help.
    """

    def __init__(self, status: int, code: str, message: str, retry_after_ms: int) -> None:
        super().__init__(f"{code}: {message}")
        self.status = status
        self.code = code
        self.retry_after_ms = retry_after_ms


class OutcomeUnknownError(Exception):
    """Whether the request ran is not known; it will not run again under its key."""

    def __init__(self, code: str, message: str, request_id: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.request_id = request_id
