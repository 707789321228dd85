"""Heads that are no head of an HTTP answer, for the tests of all that read answers."""

from __future__ import annotations

NO_STATUS = [b"000", b"001", b"099", b"600", b"999"]
"""Three digits outside of the range of statuses, 100 to 599."""

NO_DIGITS = [b"20", b"0200", b"2000", b"+200", b"2_00", b" 200"]
"""Not three digits; some of them are numbers to a lenient reader."""

BLANK_NAMES = [b"X Fill", b"X-Fill ", b" X-Fill", b"\tX-Fill", b"X-Fill\t"]
CONTROL_NAMES = [b"X\x00Fill", b"X\x01Fill", b"X-Fill\x0b", b"\x0cX-Fill", b"X\rFill", b"X\x7fFill"]
NO_NAMES = [*BLANK_NAMES, *CONTROL_NAMES, b"", b"X\x80Fill"]
"""Names of a field that are no token."""


def head(status: bytes, *lines: bytes) -> bytes:
    """A head with a status and header lines."""
    return b"\r\n".join([b"HTTP/1.1 " + status + b" Status", *lines, b"", b""])


def no_heads(*lines: bytes) -> dict[str, bytes]:
    """Broken heads with these lines beside what is wrong, by a description."""
    heads = {f"status {_text(s)}": head(s, *lines) for s in NO_STATUS + NO_DIGITS}
    for name in NO_NAMES:
        field = name + b": 1"
        heads[f"first name {_text(name)}"] = head(b"200", field, *lines)
        heads[f"last name {_text(name)}"] = head(b"200", *lines, field)
        interim = head(b"100", field)
        heads[f"interim name {_text(name)}"] = interim + head(b"200", *lines)
    return heads


def _text(data: bytes) -> str:
    return ascii(data.decode("latin-1"))
