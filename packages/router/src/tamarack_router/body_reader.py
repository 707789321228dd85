"""Reads a caller's request body within its size limit."""

from __future__ import annotations

from tamarack_core.errors import ErrorCode, Refusal
from tamarack_router.http_listener import HttpCall


def read_body(call: HttpCall, limit: int) -> bytes | Refusal:
    """Read the whole body, or return a refusal and leave the rest of it unread."""
    length = call.content_length
    if length is not None and length > limit:
        return _too_large(limit)
    try:
        data: bytes = call.reader.read(limit + 1 if length is None else length)
    except (OSError, EOFError):
        return Refusal(ErrorCode.BODY_TOO_SLOW, "The body did not come in time.")
    except ValueError:
        return Refusal(ErrorCode.BAD_REQUEST, "The body's chunks cannot be read.")
    if len(data) > limit:
        return _too_large(limit)
    if length is not None and len(data) < length:
        return Refusal(ErrorCode.BODY_TOO_SLOW, "The body did not come in time.")
    return data


def _too_large(limit: int) -> Refusal:
    return Refusal(ErrorCode.BODY_TOO_LARGE, f"A body has at most {limit} bytes.")
