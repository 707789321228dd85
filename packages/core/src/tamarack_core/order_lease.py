"""Lease of the one router that sends orders to engines, without a shared clock."""

from __future__ import annotations

from typing import NamedTuple

LEASE_MS = 5_000.0
LONGEST_ORDER_MS = 1_000.0
RENEW_EVERY_MS = 1_500.0


class LeaseRow(NamedTuple):
    """The lease row as read; `version` is zero if there is no row."""

    holder: str
    fence: int
    version: int


class LeaseStep(NamedTuple):
    """A row to write if the stored row still has version `if_version`."""

    row: LeaseRow
    if_version: int


class OrderLease:
    """One router's local view of the lease.

    The holder measures its lease on its own monotonic clock from *before* it sends the renewing
    write. Another router takes the lease only after it has seen the row unchanged for the lease
    duration plus the longest order. No order of an old holder can therefore be in flight when a
    new holder sends its first one, even to endpoints that check no fencing number.
    """

    def __init__(
        self, router: str, *, lease_ms: float = LEASE_MS, longest_order_ms: float = LONGEST_ORDER_MS
    ) -> None:
        self._router = router
        self._lease_ms = lease_ms
        self._longest_order_ms = longest_order_ms
        self._row: LeaseRow | None = None
        self._unchanged_since_ms = 0.0
        self._valid_until_ms = float("-inf")
        self._renewed_ms = float("-inf")
        self._fence = 0

    @property
    def fence(self) -> int:
        """Fencing number of orders sent under the lease; increases with each holder."""
        return self._fence

    def may_send(self, now_ms: float) -> bool:
        """Whether an order sent now times out before the lease expires."""
        return now_ms + self._longest_order_ms < self._valid_until_ms

    def observe(self, row: LeaseRow | None, now_ms: float) -> None:
        """Process the row as read from the table service."""
        row = row or LeaseRow("", 0, 0)
        if self._row is None or row.version != self._row.version:
            self._unchanged_since_ms = now_ms
        self._row = row

    def next_step(self, now_ms: float) -> LeaseStep | None:
        """The row to write now to acquire or renew the lease, None if there is nothing to do."""
        row = self._row
        if row is None:
            return None
        is_holder = row.holder == self._router and row.fence == self._fence and self._fence > 0
        if is_holder and now_ms < self._valid_until_ms:
            if now_ms - self._renewed_ms < RENEW_EVERY_MS:
                return None
            return LeaseStep(row, row.version)
        vacant = row.version == 0 or not row.holder
        unchanged_ms = now_ms - self._unchanged_since_ms
        if vacant or unchanged_ms >= self._lease_ms + self._longest_order_ms:
            return LeaseStep(LeaseRow(self._router, row.fence + 1, 0), row.version)
        return None

    def written(self, step: LeaseStep, sent_ms: float) -> None:
        """Record that the step's write, sent at `sent_ms`, was applied."""
        self._fence = step.row.fence
        self._valid_until_ms = sent_ms + self._lease_ms
        self._renewed_ms = sent_ms

    def give_up(self) -> None:
        """Stop using the lease, such as after a write that failed or has an unknown outcome."""
        self._valid_until_ms = float("-inf")
