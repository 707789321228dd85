"""Idempotency keys that name the router which keeps them.

A key reads `ROUTER~BOOT~EPOCH.UNIQUE`. The part before the dot is the token that the address
answer hands out: the keeper's name, the start of its present life and an epoch of its clock. The
epoch lets a keeper forget old keys and still know them for old.
"""

from __future__ import annotations

from typing import NamedTuple

EPOCH_MS = 60_000
MAX_KEY_BYTES = 200


class KeyToken(NamedTuple):
    """Who keeps a key, since which start, and when the token was made.

    Attributes
    ----------
    boot
        Start of the keeper's life in milliseconds since the Unix epoch.
    epoch
        Minutes between that start and the making of the token.
    """

    router: str
    boot: int
    epoch: int

    @property
    def text(self) -> str:
        """The token as callers see it."""
        return f"{self.router}~{self.boot}~{self.epoch}"


def parse_key(key: str) -> KeyToken | None:
    """Read the token out of a key; None if the key names no keeper."""
    token, dot, unique = key.partition(".")
    parts = token.split("~")
    if not dot or not unique or len(parts) != 3:
        return None
    router, boot, epoch = parts
    if not router or not boot.isdecimal() or not epoch.isdecimal():
        return None
    return KeyToken(router, int(boot), int(epoch))
