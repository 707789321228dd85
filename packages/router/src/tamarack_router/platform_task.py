"""Blocking calls to the platform, made in threads apart from the control task."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor

from tamarack_core.actions import ClaimRow, RowDone
from tamarack_core.claim_messages import ClaimAnswer
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change
from tamarack_core.key_owner import CONFLICT, FRESH, RELEASED, RUNNING
from tamarack_router.config_store import SNAPSHOT_EVERY, ConfigStore
from tamarack_router.logs import PartLog
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import ChangesRead, HeadRead, InstancesRead, RowClaimed
from tamarack_router.platform import (
    Condition,
    InstanceList,
    PlatformError,
    TableService,
    Write,
)
from tamarack_router.task import Task

KEYS = "keys"
INSTANCE_INTERVAL_S = 1.0
WORKERS = 4


class PlatformTask(Task):
    """Polls the configuration head and the instance list, and makes single calls on request.

    Results are sent to the control task's mailbox.
    """

    def __init__(
        self,
        store: ConfigStore,
        table: TableService,
        instances: InstanceList,
        control: Mailbox,
        poll_ms: int,
    ) -> None:
        super().__init__({"platform-head": self._poll_head, "platform-list": self._poll_instances})
        self._store = store
        self._table = table
        self._instances = instances
        self._control = control
        self._poll_s = poll_ms / 1000
        self._wake = threading.Event()
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="platform")
        self._log = PartLog("platform")
        self._up: bool | None = None

    def _ask_to_end(self) -> None:
        super()._ask_to_end()
        self._wake.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def poll_now(self) -> None:
        """Poll the head row without waiting for the interval."""
        self._wake.set()

    def read_changes(self, after: int) -> None:
        """Read the changes after a version; version 0 starts from the newest snapshot."""
        self._pool.submit(self._read_changes, after)

    def claim(self, claim: ClaimRow) -> None:
        """Claim an idempotency key by inserting its row."""
        self._pool.submit(self._claim, claim)

    def row_done(self, done: RowDone) -> None:
        """Record the final state of a key's run."""
        self._pool.submit(self._row_done, done)

    def snapshot_after(self, config: Configuration, change: Change) -> None:
        """Store a snapshot if the change's version is a multiple of `SNAPSHOT_EVERY`."""
        if change.version % SNAPSHOT_EVERY == 0:
            self._pool.submit(self._save_snapshot, config.apply(change))

    def _save_snapshot(self, config: Configuration) -> None:
        try:
            self._store.save_snapshot(config)
        except PlatformError:
            self._log.warning(
                "A configuration snapshot could not be stored.", version=config.version
            )

    def _poll_head(self) -> None:
        while not self._ending.is_set():
            try:
                self._log_store_change(True)
                self._control.put(HeadRead(self._store.head().version, True))
            except PlatformError:
                self._log_store_change(False)
                self._control.put(HeadRead(None, False))
            self._wake.wait(self._poll_s)
            self._wake.clear()

    def _poll_instances(self) -> None:
        while not self._ending.is_set():
            try:
                instances = self._instances.read()
                seeds = [i["peer_address"] for i in instances if i["kind"] == "router"]
                leaving = frozenset(
                    i["name"]
                    for i in instances
                    if i["kind"] == "endpoint" and i["state"] == "leaving"
                )
                self._control.put(InstancesRead(seeds, leaving))
            except PlatformError:
                self._log.debug("The instance list did not answer.")
            self._ending.wait(INSTANCE_INTERVAL_S)

    def _log_store_change(self, up: bool) -> None:
        if self._up is not None and up != self._up:
            self._log.warning(
                "The store is reachable again." if up else "The store is unreachable."
            )
        self._up = up

    def _read_changes(self, after: int) -> None:
        try:
            snapshot = self._store.snapshot() if after == 0 else None
            start = snapshot.version if snapshot is not None else after
            self._control.put(ChangesRead(snapshot, self._store.changes_after(start)))
        except PlatformError:
            self._log.debug("Configuration changes could not be read.")

    def _claim(self, claim: ClaimRow) -> None:
        row_key = f"{claim.workspace}/{claim.key}"
        value = {"digest": claim.digest, "request": claim.request, "state": RUNNING}
        try:
            fresh = self._table.transact(
                [Condition(KEYS, row_key, 0)], [Write(KEYS, row_key, value)]
            )
            state, holder = (FRESH, claim.request) if fresh else self._read_holder(row_key, claim)
        except PlatformError as error:
            state, holder = self._resolve_error(error, row_key, claim)
        answer = ClaimAnswer(claim.request, state, holder)
        self._control.put(RowClaimed(claim, answer))

    def _read_holder(self, row_key: str, claim: ClaimRow) -> tuple[str, str]:
        row = self._table.read(KEYS, row_key)
        if row is None:
            return "store-down", ""
        if row.value["digest"] != claim.digest:
            return CONFLICT, ""
        if row.value["request"] == claim.request:
            return FRESH, claim.request
        if row.value["state"] == RELEASED:
            return self._take_over(row_key, row.version, claim)
        return row.value["state"], row.value["request"]

    def _take_over(self, row_key: str, version: int, claim: ClaimRow) -> tuple[str, str]:
        value = {"digest": claim.digest, "request": claim.request, "state": RUNNING}
        won = self._table.transact(
            [Condition(KEYS, row_key, version)], [Write(KEYS, row_key, value)]
        )
        return (FRESH, claim.request) if won else ("store-down", "")

    def _resolve_error(
        self, error: PlatformError, row_key: str, claim: ClaimRow
    ) -> tuple[str, str]:
        # The claim may have taken effect although the response was lost; the row names the holder.
        if error.effect_unknown:
            try:
                return self._read_holder(row_key, claim)
            except PlatformError:
                self._log.debug("The row of a claim could not be read back.")
        return "store-down", ""

    def _row_done(self, done: RowDone) -> None:
        row_key = f"{done.workspace}/{done.key}"
        try:
            row = self._table.read(KEYS, row_key)
            if row is not None:
                value = {**row.value, "state": done.state}
                self._table.transact(
                    [Condition(KEYS, row_key, row.version)], [Write(KEYS, row_key, value)]
                )
        except PlatformError:
            self._log.debug("The final state of a key could not be recorded.")
