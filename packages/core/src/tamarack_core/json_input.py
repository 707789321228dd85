"""JSON that somebody else wrote."""

from __future__ import annotations

from ipaddress import AddressValueError, IPv4Address
from typing import TypeVar

import msgspec

T = TypeVar("T")

PORTS = range(1, 65_536)


def decode_json(decoder: msgspec.json.Decoder[T], data: bytes) -> T:
    """Decode bytes; raises `ValueError` whatever is wrong with them.

    Some tens of kilobytes of opening brackets nest too deeply for the decoder, which then raises
    an error that is no `ValueError`: a task that reads a table would end, and its router would
    hear of no change any more.
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error


def is_ip_port(text: str) -> bool:
    """Whether a text is an IPv4 address and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    try:
        address = IPv4Address(host)
    except AddressValueError:
        return False
    if address.is_unspecified or address.is_multicast:
        return False
    return port.isascii() and port.isdecimal() and len(port) <= 5 and int(port) in PORTS
