"""Check of an answer's head, shared by all that read answers over HTTP/1.1."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import NamedTuple

VERSIONS = ("1.0", "1.1")
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
"""Answers below this status are interim: another one follows."""
MAX_STATUS = 599
SWITCHING_PROTOCOLS = 101

MAX_LENGTH_DIGITS = 18
"""Digits of the largest length of a body that is read, which fits into 64 bits."""

THREE_DIGITS = re.compile("[0-9]{3}")

TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
"""Name of a field (RFC 9110, section 5.6.2)."""

TEXT = re.compile(rb"[\t\x20-\x7e\x80-\xff]*")
"""Value of a field, or a reason phrase: no control bytes but tabs."""


class MalformedHeadError(ValueError):
    """A head is none of an answer in HTTP/1.1; nothing in it may be believed."""


class Framing(NamedTuple):
    """How the body of an answer is delimited.

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
    """Status of a final answer, sent as text; None if it is none."""
    status = int(text) if THREE_DIGITS.fullmatch(text) else 0
    return status if MIN_FINAL_STATUS <= status <= MAX_STATUS else None


def check_head(
    version: str, status: int, reason: bytes, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Check the head of an answer and find out how its body is delimited.

    Parameters
    ----------
    version
        Version of HTTP, such as `1.1`.
    headers
        Names and values as sent.

    Raises
    ------
    MalformedHeadError
        Where RFC 9110 and 9112 allow no such head, or its body has another transfer coding than
        chunks, which nobody requests here.
    """
    if version not in VERSIONS:
        raise MalformedHeadError(f"version {version}")
    if status == SWITCHING_PROTOCOLS or not MIN_STATUS <= status <= MAX_STATUS:
        raise MalformedHeadError(f"status {status:03}")
    if not TEXT.fullmatch(reason):
        raise MalformedHeadError("control bytes in the reason phrase")
    lengths: list[bytes] = []
    codings: list[bytes] = []
    for name, value in headers:
        if not TOKEN.fullmatch(name):
            raise MalformedHeadError(f"field name {name[:32]!r}")
        if not TEXT.fullmatch(value):
            raise MalformedHeadError(f"value of {name.decode()}")
        lower = name.lower()
        if lower == b"content-length":
            lengths.append(value)
        elif lower == b"transfer-encoding":
            codings.append(value)
    framing = _framing(lengths, codings)
    if status < MIN_FINAL_STATUS and (framing.chunked or framing.length):
        raise MalformedHeadError("an interim answer with a body")
    return framing


def _framing(lengths: list[bytes], codings: list[bytes]) -> Framing:
    if len(lengths) + len(codings) > 1:
        raise MalformedHeadError("several lengths or transfer codings")
    for coding in codings:
        if coding.strip(b" \t").lower() != b"chunked":
            raise MalformedHeadError(f"transfer coding {coding[:32]!r}")
        return Framing(None, True)
    for length in lengths:
        digits = length.strip(b" \t")
        if not digits.isdigit() or len(digits) > MAX_LENGTH_DIGITS:
            raise MalformedHeadError(f"length {length[:32]!r}")
        return Framing(int(digits), False)
    return Framing(None, False)
