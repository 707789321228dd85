"""Reads and validates the head of a response before the standard library parses it."""

from __future__ import annotations

import http.client
import re
from typing import BinaryIO, NamedTuple

from tamarack_core.answer_head import MIN_FINAL_STATUS, MalformedHeadError, validate_head

MAX_HEAD_BYTES = 262_144
"""Maximum size of a head, including interim responses before it."""

EMPTY_LINES = (b"\r\n", b"\n")
STATUS_LINE = re.compile(rb"HTTP/([0-9]\.[0-9]) ([0-9]{3})(?: (.*))?")


class _StatusLine(NamedTuple):
    """First line of a head, as received and parsed."""

    line: bytes
    version: str
    status: int
    reason: bytes


def read_answer_head(file: BinaryIO) -> bytes:
    """Read the head of the final response; empty if the connection closes before the first byte.

    Interim responses are skipped.

    Raises
    ------
    http.client.HTTPException
        If the connection closes within a head, or the head is malformed or too large.
    """
    fields: list[bytes] = []
    status_line: _StatusLine | None = None
    read_bytes = 0
    while line := file.readline(MAX_HEAD_BYTES - read_bytes + 1):
        read_bytes += len(line)
        if read_bytes > MAX_HEAD_BYTES:
            raise http.client.LineTooLong("head")
        if status_line is None:
            status_line = _parse_status_line(line)
        elif line not in EMPTY_LINES:
            fields.append(line)
        else:
            _validate(status_line, fields)
            if status_line.status >= MIN_FINAL_STATUS:
                return b"".join([status_line.line, *fields, line])
            status_line, fields = None, []
    if read_bytes:
        raise http.client.IncompleteRead(b"")
    return b""


def _parse_status_line(line: bytes) -> _StatusLine:
    match = STATUS_LINE.fullmatch(_without_end(line))
    if match is None:
        raise http.client.BadStatusLine(repr(line[:64]))
    version, status, reason = match.groups(default=b"")
    return _StatusLine(line, version.decode(), int(status), reason)


def _validate(status_line: _StatusLine, fields: list[bytes]) -> None:
    headers = []
    for field in fields:
        name, colon, value = _without_end(field).partition(b":")
        if not colon:
            raise http.client.HTTPException(f"not a header field: {field[:64]!r}")
        headers.append((name, value))
    try:
        validate_head(status_line.version, status_line.status, status_line.reason, headers)
    except MalformedHeadError as error:
        raise http.client.HTTPException(f"malformed head: {error}") from error


def _without_end(line: bytes) -> bytes:
    return line.removesuffix(b"\n").removesuffix(b"\r")
