"""Check of a request's head against request smuggling."""

from __future__ import annotations

import re

from tamarack_gateway.http_messages import Headers

NOT_VISIBLE = re.compile(rb"[^\x21-\x7e]")
"""Bytes that no request target contains: spaces, control characters and all beyond ASCII."""


def has_valid_framing(target: bytes, headers: Headers) -> bool:
    """Whether a request has one host, an unambiguous length and a valid target.

    A request with ambiguous framing can hide a second one in its body, and an endpoint would run a
    request that no caller sent.

    Parameters
    ----------
    headers
        Names in lower case, values as sent.
    """
    lengths: list[bytes] = []
    codings: list[bytes] = []
    hosts: list[bytes] = []
    framing = {b"content-length": lengths, b"transfer-encoding": codings, b"host": hosts}
    for name, value in headers:
        if name in framing:
            framing[name].append(value)
    values = b"".join([value for _, value in headers])
    if b"\r" in values or b"\n" in values:
        return False
    if len(lengths) > 1 or len(codings) > 1 or (lengths and codings) or len(hosts) != 1:
        return False
    if codings and codings[0].strip().lower() != b"chunked":
        return False
    if lengths and not lengths[0].strip().isdigit():
        return False
    return target.startswith(b"/") and not NOT_VISIBLE.search(target)
