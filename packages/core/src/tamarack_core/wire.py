"""Encoding of peer messages: registry of message kinds, frames, and shortened request ids.

A frame is msgpack: `[[kind, body], ...]`; the connection identifies the sender. The `message`
decorator registers the number of a kind; numbers are never reused. A request id starts with the
name and the boot time of the router that holds the request. Messages with a `with_ids` method
omit this prefix, since it is the sender's or the receiver's own.
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
    """Register a NamedTuple as a peer message of a kind; ValueError if the kind is taken."""

    def register(cls: T) -> T:
        if kind in _TYPES:
            raise ValueError(f"message kind {kind} is taken by {_TYPES[kind].__name__}")
        _TYPES[kind] = cls
        _KINDS[cls] = kind
        return cls

    return register


ChangeId = Callable[[str], str]


class Owner(Enum):
    """Router whose request ids a message contains."""

    SENDER = 1
    RECEIVER = 2


_OWNERS: dict[type, Owner] = {}


def with_ids_of(owner: Owner) -> Callable[[T], T]:
    """Declare whose request ids a message with `with_ids` contains."""

    def register(cls: T) -> T:
        _OWNERS[cls] = owner
        return cls

    return register


def request_prefix(router: str, boot: int) -> str:
    """Prefix of all request ids of one incarnation of a router."""
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
    """Encode messages as one frame."""
    return _encoder.encode([(_KINDS[type(body)], _strip_prefixes(body)) for body in messages])


def decode(data: bytes, sender: str, boot: int, receiver_prefix: str) -> Frame | None:
    """Decode one frame; None if the data is malformed.

    Messages of unknown kinds are skipped for compatibility with newer routers.
    """
    try:
        bodies = _decoder.decode(data)
        messages = [_decode_body(kind, raw) for kind, raw in bodies if kind in _TYPES]
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None
    prefixes = {Owner.SENDER: request_prefix(sender, boot), Owner.RECEIVER: receiver_prefix}
    return Frame(sender, boot, [_restore_prefixes(message, prefixes) for message in messages])


def _decode_body(kind: int, raw: msgspec.Raw) -> Any:
    decoder = _body_decoders.get(kind)
    if decoder is None:
        decoder = _body_decoders[kind] = msgspec.msgpack.Decoder(_TYPES[kind])
    return decoder.decode(raw)


def _strip_prefixes(message: Any) -> Any:
    if type(message) not in _OWNERS:
        return message
    return message.with_ids(lambda request: request.rpartition("~")[2])


def _restore_prefixes(message: Any, prefixes: dict[Owner, str]) -> Any:
    owner = _OWNERS.get(type(message))
    if owner is None:
        return message
    prefix = prefixes[owner]
    return message.with_ids(lambda request: prefix + request)
