"""How peer messages are written: a registry of kinds, frames, and short request ids.

A frame is msgpack: `[[kind, body], ...]`; who sent it is known from the connection. Kinds are
numbered by a registry that the `message` decorator fills; numbers are never given twice. Request
ids begin with the name and the start of the router that holds the request. That part is left out
where it is the sender's or the receiver's own, which a message's `with_ids` makes possible.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum
from typing import Any, NamedTuple, TypeVar

import msgspec

T = TypeVar("T", bound=type)

_TYPES: dict[int, type] = {}
_KINDS: dict[type, int] = {}


def message(kind: int) -> Callable[[T], T]:
    """Enter a NamedTuple into the registry of peer messages under `kind`."""

    def register(cls: T) -> T:
        if kind in _TYPES:
            raise ValueError(f"message kind {kind} is taken by {_TYPES[kind].__name__}")
        _TYPES[kind] = cls
        _KINDS[cls] = kind
        return cls

    return register


ChangeId = Callable[[str], str]


class Owner(Enum):
    """Whose requests a message speaks of."""

    SENDER = 1
    RECEIVER = 2


_OWNERS: dict[type, Owner] = {}


def speaks_of(owner: Owner) -> Callable[[T], T]:
    """Say whose request ids a message with `with_ids` carries."""

    def register(cls: T) -> T:
        _OWNERS[cls] = owner
        return cls

    return register


def request_prefix(router: str, boot: int) -> str:
    """Beginning of the ids of all requests that a router holds in one life."""
    return f"{router}~{boot}~"


class Frame(NamedTuple):
    """One decoded frame."""

    sender: str
    incarnation: int
    messages: list[Any]


_decoder = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_encoder = msgspec.msgpack.Encoder()
_body_decoders: dict[int, msgspec.msgpack.Decoder[Any]] = {}


def encode(messages: list[Any]) -> bytes:
    """Write one frame."""
    return _encoder.encode([(_KINDS[type(body)], _shorten(body)) for body in messages])


def decode(data: bytes, sender: str, boot: int, receiver_prefix: str) -> Frame | None:
    """Read one frame; None if it is not one.

    Messages of unknown kinds are left out, so that a newer router may speak to an older one.
    """
    try:
        bodies = _decoder.decode(data)
        messages = [_decode_body(kind, raw) for kind, raw in bodies if kind in _TYPES]
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    prefixes = {Owner.SENDER: request_prefix(sender, boot), Owner.RECEIVER: receiver_prefix}
    return Frame(sender, boot, [_lengthen(message, prefixes) for message in messages])


def _decode_body(kind: int, raw: msgspec.Raw) -> Any:
    decoder = _body_decoders.get(kind)
    if decoder is None:
        decoder = _body_decoders[kind] = msgspec.msgpack.Decoder(_TYPES[kind])
    return decoder.decode(raw)


def _shorten(message: Any) -> Any:
    if type(message) not in _OWNERS:
        return message
    return message.with_ids(lambda request: request.rpartition("~")[2])


def _lengthen(message: Any, prefixes: dict[Owner, str]) -> Any:
    owner = _OWNERS.get(type(message))
    if owner is None:
        return message
    prefix = prefixes[owner]
    return message.with_ids(lambda request: prefix + request)
