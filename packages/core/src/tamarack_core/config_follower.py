"""Keeps a router's configuration up with the highest version it hears of."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change

ASK_INTERVAL_MS = 200
KEPT_CHANGES = 2_000

_change_decoder = msgspec.msgpack.Decoder(Change)


class AskPeer(NamedTuple):
    """Ask a member for the changes after a version."""

    router: str
    after: int


class AskStore(NamedTuple):
    """Read the changes after a version from the table service."""

    after: int


class ConfigFollower:
    """The version in force on one router; it only ever rises.

    A cold router serves only after it has caught up with the highest version that the store, or
    in an outage of the store the members, told it of. An old snapshot alone never makes it ready:
    it could put an accepted change out of force.
    """

    def __init__(self) -> None:
        self._config = Configuration()
        self._store_head: int | None = None
        self._peer_head = 0
        self._peer_heard = False
        self._peers: dict[str, int] = {}
        self._asked_ms = float("-inf")
        self._started_ms: float | None = None
        self._ready = False
        self._asked_peer = ""
        self._log: dict[int, bytes] = {}

    @property
    def config(self) -> Configuration:
        """The configuration in force here."""
        return self._config

    @property
    def ready(self) -> bool:
        """Whether the configuration may be served from."""
        return self._ready

    @property
    def head(self) -> int:
        """Highest version heard of."""
        return max(self._store_head or 0, self._peer_head, self._config.version)

    def store_head(self, version: int) -> None:
        """The table service told its head."""
        self._store_head = max(version, self._store_head or 0)
        self._settle()

    def peer_version(self, router: str, version: int) -> None:
        """A member told the version in force there."""
        if version <= 0:
            return
        self._peers[router] = version
        self._peer_heard = True
        self._peer_head = max(self._peer_head, version)
        self._settle()

    def restore(self, config: Configuration) -> bool:
        """Take a snapshot if it is newer; it does not make the router ready by itself."""
        if config.version <= self._config.version:
            return False
        self._config = config
        self._settle()
        return True

    def offer(self, changes: list[bytes]) -> int:
        """Apply encoded changes that follow; return how many did."""
        applied = 0
        for data in changes:
            try:
                change = _change_decoder.decode(data)
            except msgspec.DecodeError:
                break
            if change.version <= self._config.version:
                continue
            if change.version != self._config.version + 1:
                break
            self._config = self._config.apply(change)
            self._keep(change.version, data)
            applied += 1
        if applied:
            self._settle()
        return applied

    def changes_after(self, version: int, limit: int = 200) -> list[bytes] | None:
        """Encoded changes after a version, None where they are no longer kept here."""
        if version >= self._config.version:
            return []
        if version + 1 not in self._log:
            return None
        last = min(self._config.version, version + limit)
        return [self._log[number] for number in range(version + 1, last + 1)]

    def next_question(self, now_ms: float, *, store_up: bool) -> AskPeer | AskStore | None:
        """Whom to ask for missing changes now, None if nothing is missing."""
        if self._started_ms is None:
            self._started_ms = now_ms
        if self._config.version >= self.head or now_ms - self._asked_ms < ASK_INTERVAL_MS:
            return None
        self._asked_ms = now_ms
        ahead = [name for name, version in self._peers.items() if version > self._config.version]
        behind_store = (self._store_head or 0) > self._config.version
        cold = self._config.version == 0
        if store_up and behind_store and (cold or not ahead):
            return AskStore(self._config.version)
        if ahead:
            # Another one than last time, for that one may be gone or no longer keep the changes.
            others = [name for name in ahead if name != self._asked_peer] or ahead
            self._asked_peer = max(others, key=lambda name: self._peers[name])
            return AskPeer(self._asked_peer, self._config.version)
        return AskStore(self._config.version) if store_up else None

    def _settle(self) -> None:
        told = self._store_head is not None or self._peer_heard
        if told and self._config.version >= self.head and self._config.version > 0:
            self._ready = True

    def _keep(self, version: int, data: bytes) -> None:
        self._log[version] = data
        self._log.pop(version - KEPT_CHANGES, None)


def encode_change(change: Change) -> bytes:
    """Write a change as it stands in the store and between routers."""
    return msgspec.msgpack.encode(change)
