"""Decoding and validation of untrusted JSON."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TypeVar

import msgspec

T = TypeVar("T")

PORTS = range(1, 65_536)


def decode_json(decoder: msgspec.json.Decoder[T], data: bytes) -> T:
    """Decode bytes; raises `ValueError` for any invalid input.

    Some tens of kilobytes of opening brackets exceed the decoder's recursion limit. The resulting
    error is no `ValueError`: it would end the task that follows a table, and the router would
    receive no further changes.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def is_ip_port(text: str) -> bool:
    """Whether a text is an IPv4 address and port to which a connection is possible."""
    host, _, port = text.rpartition(":")
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    if address.is_unspecified or address.is_multicast:
        return False
    return port.isascii() and port.isdecimal() and len(port) <= 5 and int(port) in PORTS
