"""Reads a caller's body within its bounds."""

from __future__ import annotations

from tamarack_core.errors import ErrorCode, Refusal
from tamarack_router.http_listener import HttpCall

DISCARD_FACTOR = 4
DISCARD_BYTES = 65_536


def read_body(call: HttpCall, limit: int) -> bytes | Refusal:
    """Read the whole body, or say why it is not taken."""
    length = call.content_length
    if length is not None and length > limit:
        _discard(call, min(length, DISCARD_FACTOR * limit))
        return _too_large(limit)
    try:
        data: bytes = call.reader.read(limit + 1 if length is None else length)
    except (OSError, ValueError):
        return Refusal(ErrorCode.BODY_TOO_SLOW, "The body did not come in time.")
    if len(data) > limit:
        return _too_large(limit)
    if length is not None and len(data) < length:
        return Refusal(ErrorCode.BODY_TOO_SLOW, "The body did not come in time.")
    return data


def _discard(call: HttpCall, length: int) -> None:
    """Read what is in the way; an unread rest would reset the connection under the refusal."""
    try:
        while length > 0 and (data := call.reader.read(min(length, DISCARD_BYTES))):
            length -= len(data)
    except (OSError, ValueError):
        return


def _too_large(limit: int) -> Refusal:
    return Refusal(ErrorCode.BODY_TOO_LARGE, f"A body has at most {limit} bytes.")
