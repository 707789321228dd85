"""Idempotency keys that name the router which owns them.

A key has the form `ROUTER~BOOT~EPOCH.UNIQUE`. The part before the dot is the token from the
address response: the owner's name, its boot time and an epoch of its clock. The epoch lets an
owner drop expired keys and still recognize them as expired.
"""

from __future__ import annotations

from typing import NamedTuple

EPOCH_MS = 60_000
MAX_KEY_BYTES = 200


class KeyToken(NamedTuple):
    """Owner of a key, its incarnation, and the time of the token.

    Attributes
    ----------
    boot
        Boot time of the owner in milliseconds since the Unix epoch.
    epoch
        Whole minutes between the boot and the creation of the token.
    """

    router: str
    boot: int
    epoch: int

    @property
    def text(self) -> str:
        """The token as sent to callers."""
        return f"{self.router}~{self.boot}~{self.epoch}"


def parse_key(key: str) -> KeyToken | None:
    """Parse the token of a key; None if the key names no owner."""
    token, dot, unique = key.partition(".")
    parts = token.split("~")
    if not dot or not unique or len(parts) != 3:
        return None
    router, boot, epoch = parts
    if not router or not boot.isdecimal() or not epoch.isdecimal():
        return None
    return KeyToken(router, int(boot), int(epoch))
