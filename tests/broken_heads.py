"""Malformed heads of HTTP responses, for the tests of all clients."""

from __future__ import annotations

INVALID_STATUSES = [b"000", b"001", b"099", b"600", b"999"]
"""Three digits, but outside of the range 100 to 599."""

INVALID_DIGITS = [b"20", b"0200", b"2000", b"+200", b"2_00", b" 200"]
"""Not three digits; lenient parsers accept some of them."""

NAMES_WITH_BLANKS = [b"X Fill", b"X-Fill ", b" X-Fill", b"\tX-Fill", b"X-Fill\t"]
NAMES_WITH_CONTROLS = [
    b"X\x00Fill",
    b"X\x01Fill",
    b"X-Fill\x0b",
    b"\x0cX-Fill",
    b"X\rFill",
    b"X\x7fFill",
]
INVALID_NAMES = [*NAMES_WITH_BLANKS, *NAMES_WITH_CONTROLS, b"", b"X\x80Fill"]
INVALID_VERSIONS = [b"HTTP/0.9", b"HTTP/1.2", b"HTTP/2.0", b"HTTP/3.0"]
INVALID_REASONS = [b"O\x00K", b"O\x1bK", b"OK\x7f", b"O\rK"]
UNREQUESTED_CODINGS = [
    b"gzip, chunked",
    b"chunked, identity",
    b"chunked, chunked",
    b"identity",
    b"x",
    b"",
]
INVALID_LENGTHS = [b"-1", b"+67", b"6_7", b"x", b"67 0", b"67, 67", b"", b"9" * 30]


def head(status: bytes, *lines: bytes) -> bytes:
    """A head with a status and header lines."""
    return b"\r\n".join([b"HTTP/1.1 " + status + b" Status", *lines, b"", b""])


def malformed_heads(*lines: bytes) -> dict[str, bytes]:
    """Heads with an invalid status or field name beside these lines, by description."""
    statuses = INVALID_STATUSES + INVALID_DIGITS
    heads = {f"status {_text(status)}": head(status, *lines) for status in statuses}
    for name in INVALID_NAMES:
        field = name + b": 1"
        heads[f"first name {_text(name)}"] = head(b"200", field, *lines)
        heads[f"last name {_text(name)}"] = head(b"200", *lines, field)
        interim = head(b"100", field)
        heads[f"interim name {_text(name)}"] = interim + head(b"200", *lines)
    return heads


def malformed_status_lines(*lines: bytes) -> dict[str, bytes]:
    """Heads with another version, or with control characters in the reason phrase."""
    valid = head(b"200", *lines)
    heads = {_text(version): valid.replace(b"HTTP/1.1", version) for version in INVALID_VERSIONS}
    return heads | {_text(reason): valid.replace(b"Status", reason) for reason in INVALID_REASONS}


def malformed_framings(*lines: bytes) -> dict[str, bytes]:
    """Heads that do not define how the body is delimited."""
    codings = {f"coding {_text(c)}": [b"Transfer-Encoding: " + c] for c in UNREQUESTED_CODINGS}
    lengths = {f"length {_text(n)}": [b"Content-Length: " + n] for n in INVALID_LENGTHS}
    chunked, length = b"Transfer-Encoding: chunked", b"Content-Length: 67"
    conflicting = {
        "two codings": [chunked, chunked],
        "two lengths": [length, length.replace(b"7", b"8")],
        "both": [chunked, length],
    }
    fields = codings | lengths | conflicting
    return {name: head(b"200", *lines, *more) for name, more in fields.items()}


def _text(data: bytes) -> str:
    return ascii(data.decode("latin-1"))
