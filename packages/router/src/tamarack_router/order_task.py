"""Sends orders to engines while this router holds the orderer's lease."""

from __future__ import annotations

import json

import urllib3

from tamarack_client.http_pool import HttpPool
from tamarack_core.clock import Clock
from tamarack_core.configuration import Configuration
from tamarack_core.membership import ALIVE
from tamarack_core.order_lease import LONGEST_ORDER_MS, LeaseRow, OrderLease
from tamarack_core.order_planner import Observed, Order, plan_orders, wanted_models
from tamarack_core.rendezvous import winner
from tamarack_router.fleet_view import ViewHolder
from tamarack_router.logs import PartLog
from tamarack_router.platform import Condition, PlatformError, TableService, Write
from tamarack_router.task import Task

TABLE = "leases"
ROW = "orderer"
CONNECT_TIMEOUT_S = 0.3


class OrderTask(Task):
    """Acquires the lease, reads the state of engines and sends the planned orders."""

    def __init__(
        self, router: str, clock: Clock, views: ViewHolder, table: TableService, interval_ms: int
    ) -> None:
        super().__init__({"orders": self._run})
        self._router = router
        self._clock = clock
        self._views = views
        self._table = table
        self._interval_s = interval_ms / 1000
        self._lease = OrderLease(router)
        self._counts = {"sent": 0, "refused": 0, "failed": 0, "leases": 0, "holds": 0}
        self._log = PartLog("orders")
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=LONGEST_ORDER_MS / 1000 / 2)
        self._http = HttpPool(num_pools=256, retries=False, timeout=timeout)

    @property
    def counts(self) -> dict[str, int]:
        """Number of orders by result, and of leases acquired."""
        return self._counts

    def _run(self) -> None:
        while not self._ending.wait(self._interval_s):
            view = self._views.view
            usable = [m.router for m in view.members if m.state == ALIVE]
            is_candidate = winner("orderer", usable) == self._router
            if not view.ready or view.leaving or not is_candidate or not _has_loads(view.config):
                self._lease.give_up()
                self._counts["holds"] = 0
                continue
            try:
                self._update_lease()
            except PlatformError:
                self._log.debug("The orderer's lease could not be read or renewed.")
            self._counts["holds"] = int(self._lease.may_send(self._clock.now_ms))
            if self._counts["holds"]:
                self._send_orders(view.config)

    def _update_lease(self) -> None:
        row = self._table.read(TABLE, ROW)
        seen = LeaseRow(row.value["holder"], row.value["fence"], row.version) if row else None
        self._lease.observe(seen, self._clock.now_ms)
        sent_ms = self._clock.now_ms
        step = self._lease.next_step(sent_ms)
        if step is None:
            return
        value = {"holder": step.row.holder, "fence": step.row.fence}
        try:
            won = self._table.transact(
                [Condition(TABLE, ROW, step.if_version)], [Write(TABLE, ROW, value)]
            )
        except PlatformError:
            # The write may have taken effect. Assuming that it did not is safe: the lease then only
            # ends early. Assuming that it did could keep a lease that another router holds.
            raise
        if not won:
            self._lease.give_up()
            return
        if step.row.fence != self._lease.fence:
            self._counts["leases"] += 1
            self._log.info("The orderer's lease was acquired.", fence=step.row.fence)
        self._lease.written(step, sent_ms)

    def _send_orders(self, config: Configuration) -> None:
        observed = {name: self._read(config, name) for name in wanted_models(config)}
        for order in plan_orders(config, observed):
            # The process can be paused between two sends, so the lease is checked before each.
            if not self._lease.may_send(self._clock.now_ms):
                return
            self._send(config, order)

    def _read(self, config: Configuration, name: str) -> Observed:
        endpoint = config.endpoint(name)
        if endpoint is None:
            return Observed(False)
        try:
            response = self._http.request("GET", f"http://{endpoint['address']}/load")
            body = json.loads(response.data)
            return Observed(
                response.status == 200,
                str(body.get("model", "")),
                bool(body.get("accepting", True)),
                bool(body.get("loading", False)),
                int(body.get("in_flight_now", body.get("in_flight", 0))),
            )
        except (urllib3.exceptions.HTTPError, ValueError, AttributeError):
            return Observed(False)

    def _send(self, config: Configuration, order: Order) -> None:
        endpoint = config.endpoint(order.endpoint)
        if endpoint is None:
            return
        body: dict[str, object] = {"fence": self._lease.fence, "accepting": order.accepting}
        if order.model:
            body["model"] = order.model
        headers = {"Content-Type": "application/json"}
        url = f"http://{endpoint['address']}/orders"
        try:
            response = self._http.request(
                "POST", url, body=json.dumps(body).encode(), headers=headers
            )
        except urllib3.exceptions.HTTPError:
            # The next read of the engine's state shows whether the order took effect.
            self._counts["failed"] += 1
            return
        self._counts["sent" if response.status == 200 else "refused"] += 1
        self._log.info("An order was sent.", endpoint=order.endpoint, status=response.status)


def _has_loads(config: Configuration) -> bool:
    """Whether any preset assigns models to engines; otherwise there is nothing to order."""
    return any(preset.get("loads") for preset in config.entries("preset").values())
