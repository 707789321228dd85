"""Validation of the heads of HTTP/1.1 responses, shared by all clients in this project."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

VERSIONS = ("1.0", "1.1")
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
"""Responses with a lower status are interim; a final one follows."""
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101

MAX_LENGTH_DIGITS = 18
"""Maximum number of digits of a `Content-Length`, whose value then fits into 64 bits."""

THREE_DIGITS = re.compile("[0-9]{3}")

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""A valid field name (RFC 9110, section 5.6.2)."""

TEXT = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""A valid field value or reason phrase: no control characters except tabs."""


class MalformedHeadError(ValueError):
    """The head of a response is not valid HTTP/1.1; no part of it may be used."""


class Framing(NamedTuple):
    """How the body of a response is delimited.

    Attributes
    ----------
    length
        Length of the body in bytes; None if it is not declared.
    chunked
        Whether the body is chunked.
    """

    length: int | None
    chunked: bool


def final_status(text: str) -> int | None:
    """Parse the status of a final response; None if it is not valid."""
    status = int(text) if THREE_DIGITS.fullmatch(text) else 0
    return status if MIN_FINAL_STATUS <= status <= MAX_STATUS else None


def validate_head(
    version: str, status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Validate the head of a response and return how its body is delimited.

    Parameters
    ----------
    version
        Version of HTTP, such as `1.1`.
    headers
        Names and values as sent.

    Raises
    ------
    MalformedHeadError
        If the head violates RFC 9110 or 9112, switches protocols, or declares a transfer coding
        other than chunked; no client here requests one.
    """
    if version not in VERSIONS:
        raise MalformedHeadError(f"invalid version {version}")
    if status == SWITCHING_PROTOCOLS or not MIN_STATUS <= status <= MAX_STATUS:
        raise MalformedHeadError(f"invalid status {status:03}")
    if not TEXT.fullmatch(reason):
        raise MalformedHeadError("control characters in the reason phrase")
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in headers:
        if not TOKEN.fullmatch(name):
            raise MalformedHeadError(f"invalid field name {name[:32]!r}")
        if not TEXT.fullmatch(value):
            raise MalformedHeadError(f"invalid value of {name.decode()[:32]}")
        lower = name.lower()
        if lower == b"content-length":
            lengths.append(value)
        elif lower == b"transfer-encoding":
            codings.append(value)
    framing = _framing(lengths, codings)
    if status < MIN_FINAL_STATUS and (framing.chunked or framing.length):
        raise MalformedHeadError("an interim response with a body")
    return framing


def _framing(lengths: list[bytes], codings: list[bytes]) -> Framing:
    if len(lengths) + len(codings) > 1:
        raise MalformedHeadError("conflicting lengths or transfer codings")
    for coding in codings:
        if coding.strip(b" \t").lower() != b"chunked":
            raise MalformedHeadError(f"unsupported transfer coding {coding[:32]!r}")
        return Framing(None, True)
    for length in lengths:
        digits = length.strip(b" \t")
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise MalformedHeadError(f"invalid length {length[:32]!r}")
        return Framing(int(digits), False)
    return Framing(None, False)
