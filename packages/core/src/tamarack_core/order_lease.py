"""The lease of the one router that gives orders to engines, without a shared clock."""

from __future__ import annotations

from typing import NamedTuple

LEASE_MS = 5_000.0
LONGEST_ORDER_MS = 1_000.0
RENEW_EVERY_MS = 1_500.0


class LeaseRow(NamedTuple):
    """The lease row as read; `version` is the row's, zero where there is none."""

    holder: str
    fence: int
    version: int


class LeaseStep(NamedTuple):
    """A row to write on the condition that the row still has this version."""

    row: LeaseRow
    if_version: int


class OrderLease:
    """One router's view of the lease.

    The holder counts its lease from the moment *before* it sent the write that renewed it, on its
    own monotonic clock. Another takes the lease only after it has seen the row unchanged for a
    whole lease and for the longest order besides. So no order of an old holder can be on its way
    when the first order of a new one is sent, even to endpoints that check no fencing number.
    """

    def __init__(
        self, router: str, *, lease_ms: float = LEASE_MS, longest_order_ms: float = LONGEST_ORDER_MS
    ) -> None:
        self._router = router
        self._lease_ms = lease_ms
        self._longest_order_ms = longest_order_ms
        self._row: LeaseRow | None = None
        self._seen_since_ms = 0.0
        self._valid_until_ms = float("-inf")
        self._renewed_ms = float("-inf")
        self._fence = 0

    @property
    def fence(self) -> int:
        """Fencing number of orders sent under the lease; rises with each holder."""
        return self._fence

    def may_send(self, now_ms: float) -> bool:
        """Whether an order sent now ends, at its timeout, before the lease does."""
        return now_ms + self._longest_order_ms < self._valid_until_ms

    def observe(self, row: LeaseRow | None, now_ms: float) -> None:
        """Take in the row as read from the table service."""
        row = row or LeaseRow("", 0, 0)
        if self._row is None or row.version != self._row.version:
            self._seen_since_ms = now_ms
        self._row = row

    def next_step(self, now_ms: float) -> LeaseStep | None:
        """The row to write now to take or renew the lease, None if there is nothing to do."""
        row = self._row
        if row is None:
            return None
        mine = row.holder == self._router and row.fence == self._fence and self._fence > 0
        if mine and now_ms < self._valid_until_ms:
            if now_ms - self._renewed_ms < RENEW_EVERY_MS:
                return None
            return LeaseStep(row, row.version)
        free = row.version == 0 or not row.holder
        unchanged_ms = now_ms - self._seen_since_ms
        if free or unchanged_ms >= self._lease_ms + self._longest_order_ms:
            return LeaseStep(LeaseRow(self._router, row.fence + 1, 0), row.version)
        return None

    def written(self, step: LeaseStep, sent_ms: float) -> None:
        """The step's write took effect; it was sent at `sent_ms`."""
        self._fence = step.row.fence
        self._valid_until_ms = sent_ms + self._lease_ms
        self._renewed_ms = sent_ms

    def give_up(self) -> None:
        """Hold the lease no longer, as after a write that failed or is not known."""
        self._valid_until_ms = float("-inf")
