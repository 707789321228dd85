"""Keeps a router's configuration up to date with the highest known version."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change

QUERY_INTERVAL_MS = 200
RETAINED_CHANGES = 2_000  # served to peers that are behind

_change_decoder = msgspec.msgpack.Decoder(Change)


class QueryPeer(NamedTuple):
    """Ask a member for the changes after a version."""

    router: str
    after: int


class QueryStore(NamedTuple):
    """Read the changes after a version from the table service."""

    after: int


class ConfigFollower:
    """Configuration of one router; its version never decreases.

    A cold router serves only after it has reached the highest version published by the store, or
    by members during an outage of the store. A snapshot alone never makes it ready, since serving
    an outdated one would revert an accepted change.
    """

    def __init__(self) -> None:
        self._config = Configuration()
        self._store_head: int | None = None
        self._peer_head = 0
        self._peer_head_known = False
        self._peers: dict[str, int] = {}
        self._queried_ms = float("-inf")
        self._started_ms: float | None = None
        self._ready = False
        self._queried_peer = ""
        self._recent_changes: dict[int, bytes] = {}

    @property
    def config(self) -> Configuration:
        """The current configuration of this router."""
        return self._config

    @property
    def ready(self) -> bool:
        """Whether the router may serve with its configuration."""
        return self._ready

    @property
    def head(self) -> int:
        """Highest known version."""
        return max(self._store_head or 0, self._peer_head, self._config.version)

    def store_head(self, version: int) -> None:
        """Process the head version of the table service."""
        self._store_head = max(version, self._store_head or 0)
        self._update_ready()

    def peer_version(self, router: str, version: int) -> None:
        """Process the configuration version of a member."""
        if version <= 0:
            return
        self._peers[router] = version
        self._peer_head_known = True
        self._peer_head = max(self._peer_head, version)
        self._update_ready()

    def restore(self, config: Configuration) -> bool:
        """Load a snapshot if it is newer; this alone does not make the router ready."""
        if config.version <= self._config.version:
            return False
        self._config = config
        self._update_ready()
        return True

    def apply_changes(self, changes: list[bytes]) -> int:
        """Apply encoded changes that continue the current version; return how many were applied."""
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
            self._retain(change.version, data)
            applied += 1
        if applied:
            self._update_ready()
        return applied

    def changes_after(self, version: int, limit: int = 200) -> list[bytes] | None:
        """Encoded changes after a version, None if they are no longer retained."""
        if version >= self._config.version:
            return []
        if version + 1 not in self._recent_changes:
            return None
        last = min(self._config.version, version + limit)
        return [self._recent_changes[number] for number in range(version + 1, last + 1)]

    def next_query(self, now_ms: float, *, store_up: bool) -> QueryPeer | QueryStore | None:
        """The next query for missing changes, None if nothing is missing or no query is due."""
        if self._started_ms is None:
            self._started_ms = now_ms
        if self._config.version >= self.head or now_ms - self._queried_ms < QUERY_INTERVAL_MS:
            return None
        self._queried_ms = now_ms
        newer_peers = [
            name for name, version in self._peers.items() if version > self._config.version
        ]
        store_is_newer = (self._store_head or 0) > self._config.version
        cold = self._config.version == 0
        if store_up and store_is_newer and (cold or not newer_peers):
            return QueryStore(self._config.version)
        if newer_peers:
            # Prefers another peer than the last, which may be down or lack the changes.
            others = [name for name in newer_peers if name != self._queried_peer] or newer_peers
            self._queried_peer = max(others, key=lambda name: self._peers[name])
            return QueryPeer(self._queried_peer, self._config.version)
        return QueryStore(self._config.version) if store_up else None

    def _update_ready(self) -> None:
        head_known = self._store_head is not None or self._peer_head_known
        if head_known and self._config.version >= self.head and self._config.version > 0:
            self._ready = True

    def _retain(self, version: int, data: bytes) -> None:
        self._recent_changes[version] = data
        self._recent_changes.pop(version - RETAINED_CHANGES, None)


def encode_change(change: Change) -> bytes:
    """Encode a change for the store and for peers."""
    return msgspec.msgpack.encode(change)
