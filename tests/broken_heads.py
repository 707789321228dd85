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


NO_VERSIONS = [b"HTTP/0.9", b"HTTP/1.2", b"HTTP/2.0", b"HTTP/3.0"]
NO_REASONS = [b"O\x00K", b"O\x1bK", b"OK\x7f", b"O\rK"]
NO_CODINGS = [b"gzip, chunked", b"chunked, identity", b"chunked, chunked", b"identity", b"x", b""]
"""Transfer codings other than chunks, which no reader requests."""

NO_LENGTHS = [b"-1", b"+67", b"6_7", b"x", b"67 0", b"67, 67", b"", b"9" * 30]


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


def no_status_lines(*lines: bytes) -> dict[str, bytes]:
    """Heads of another version, or with control bytes in their phrase."""
    sound = head(b"200", *lines)
    heads = {_text(v): sound.replace(b"HTTP/1.1", v) for v in NO_VERSIONS}
    return heads | {_text(r): sound.replace(b"Status", r) for r in NO_REASONS}


def no_framings(*lines: bytes) -> dict[str, bytes]:
    """Heads that do not tell how their body is delimited."""
    codings = {f"coding {_text(c)}": [b"Transfer-Encoding: " + c] for c in NO_CODINGS}
    lengths = {f"length {_text(n)}": [b"Content-Length: " + n] for n in NO_LENGTHS}
    chunked, length = b"Transfer-Encoding: chunked", b"Content-Length: 67"
    several = {
        "two codings": [chunked, chunked],
        "two lengths": [length, length.replace(b"7", b"8")],
        "both": [chunked, length],
    }
    fields = codings | lengths | several
    return {name: head(b"200", *lines, *more) for name, more in fields.items()}


def _text(data: bytes) -> str:
    return ascii(data.decode("latin-1"))
