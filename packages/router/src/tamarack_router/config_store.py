"""Configuration stored in the table service: a head row and one row per change."""

from __future__ import annotations

import base64
from typing import NamedTuple

import msgspec

from tamarack_core.config_follower import encode_change
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change, Snapshot
from tamarack_router.platform import Condition, ObjectStore, PlatformError, TableService, Write

TABLE = "config"
HEAD = "head"
CHANGE_PREFIX = "change-"
SNAPSHOT_EVERY = 100
READ_BACK_TRIES = 20

_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


class Head(NamedTuple):
    """The head row; `snapshot` is the version of the newest snapshot."""

    version: int = 0
    preset: str = ""
    snapshot: int = 0
    row_version: int = 0


def change_row_key(version: int) -> str:
    """Return the key of a change's row; keys sort in the order of versions."""
    return f"{CHANGE_PREFIX}{version:012d}"


class ConfigStore:
    """Reads and commits configuration in the platform's store."""

    def __init__(self, table: TableService, objects: ObjectStore) -> None:
        self._table = table
        self._objects = objects

    def head(self) -> Head:
        """Read the head row; version 0 if nothing was committed yet."""
        row = self._table.read(TABLE, HEAD)
        if row is None:
            return Head()
        value = row.value
        return Head(value["version"], value["preset"], value["snapshot"], row.version)

    def changes_after(self, version: int, limit: int = 200) -> list[bytes]:
        """Read encoded changes after a version."""
        rows = self._table.scan(TABLE, change_row_key(version), limit)
        return [
            base64.b64decode(row.value["change"])
            for row in rows
            if row.key.startswith(CHANGE_PREFIX)
        ]

    def snapshot(self) -> Configuration | None:
        """Read the newest snapshot, None if there is none."""
        head = self.head()
        if not head.snapshot:
            return None
        data = self._objects.get(f"snapshots/{head.snapshot}")
        return None if data is None else Configuration.restore(_snapshot_decoder.decode(data))

    def commit(self, change: Change, head: Head) -> bool:
        """Commit a change after the head; False if another one came first.

        The store's response can be lost after the transaction has committed. The row of this
        version is then read back until its author is known, so that a committed change is never
        reported as failed.

        Raises
        ------
        PlatformError
            With `effect_unknown` if the row could not be read back.
        """
        snapshot = head.snapshot
        value = {"version": change.version, "preset": change.preset, "snapshot": snapshot}
        encoded = base64.b64encode(encode_change(change)).decode()
        conditions = [Condition(TABLE, HEAD, head.row_version)]
        writes = [
            Write(TABLE, change_row_key(change.version), {"change": encoded, "id": change.id}),
            Write(TABLE, HEAD, value),
        ]
        try:
            return self._table.transact(conditions, writes)
        except PlatformError as error:
            if not error.effect_unknown:
                raise
        return self._read_back(change)

    def save_snapshot(self, config: Configuration) -> None:
        """Store a snapshot and record its version in the head row.

        If a change is committed at the same time, the head row is left as it is and the next
        snapshot takes effect instead.
        """
        head = self.head()
        if config.version <= head.snapshot:
            return
        data = msgspec.msgpack.encode(config.snapshot())
        self._objects.put(f"snapshots/{config.version}", data)
        value = {"version": head.version, "preset": head.preset, "snapshot": config.version}
        self._table.transact(
            [Condition(TABLE, HEAD, head.row_version)], [Write(TABLE, HEAD, value)]
        )

    def _read_back(self, change: Change) -> bool:
        for _ in range(READ_BACK_TRIES):
            try:
                row = self._table.read(TABLE, change_row_key(change.version))
            except PlatformError:
                continue
            if row is not None:
                return bool(row.value["id"] == change.id)
            # The row is absent, but a delayed commit may still arrive: rewriting the head row
            # makes its condition fail.
            if self._fence_version(change.version):
                return False
        raise PlatformError("Whether the change was committed is not known.", effect_unknown=True)

    def _fence_version(self, version: int) -> bool:
        """Make a delayed commit of `version` fail by advancing the head row's row version."""
        try:
            head = self.head()
            value = {"version": head.version, "preset": head.preset, "snapshot": head.snapshot}
            if head.version >= version:
                return False
            return self._table.transact(
                [Condition(TABLE, HEAD, head.row_version)], [Write(TABLE, HEAD, value)]
            )
        except PlatformError:
            return False
