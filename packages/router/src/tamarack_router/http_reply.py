"""HTTP responses that a listener builds itself."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from tamarack_core.errors import Refusal


class Reply(NamedTuple):
    """A complete HTTP response.

    Attributes
    ----------
    close
        Whether to close the connection after it, because the unread rest of the request would be
        parsed as the next one.
    """

    status: int
    body: bytes
    content_type: str = "application/json"
    headers: list[tuple[str, str]] = []
    close: bool = False


def json_bytes(value: Any) -> bytes:
    """Encode a value as JSON."""
    return msgspec.json.encode(value)


def json_reply(value: Any, status: int = 200) -> Reply:
    """Build a reply with a JSON body."""
    return Reply(status, json_bytes(value))


def error_body(refusal: Refusal) -> bytes:
    """Build an error body in the form that stock OpenAI clients parse."""
    error = {
        "message": refusal.message,
        "type": "tamarack_error",
        "param": None,
        "code": refusal.code.value,
        "outcome": refusal.outcome.value,
    }
    return json_bytes({"error": error})


def refusal_reply(refusal: Refusal) -> Reply:
    """Build the reply for a refusal."""
    headers = [("Tamarack-Outcome", refusal.outcome.value)]
    if refusal.retry_after_ms:
        headers.append(("Retry-After", str(max(1, -(-refusal.retry_after_ms // 1000)))))
        headers.append(("Tamarack-Retry-After-Ms", str(refusal.retry_after_ms)))
    return Reply(refusal.status, error_body(refusal), headers=headers)
