"""Polls the load of the endpoints that this router dispatches to."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor

import urllib3

from tamarack_client.http_pool import HttpPool
from tamarack_core.endpoint_pool import LoadReport
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import LoadPolled
from tamarack_router.task import Task

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.5
WORKERS = 4


class LoadTask(Task):
    """Polls `GET /load` of the watched endpoints and reports it to the control task."""

    def __init__(self, control: Mailbox, interval_ms: int) -> None:
        super().__init__({"load": self._run})
        self._control = control
        self._interval_s = interval_ms / 1000
        self._watched: dict[str, str] = {}
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="load")
        self._http = HttpPool(
            num_pools=256,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def _ask_to_end(self) -> None:
        super()._ask_to_end()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def watch(self, addresses: dict[str, str]) -> None:
        """Replace the endpoints to poll, given as addresses by name."""
        self._watched = addresses

    def _run(self) -> None:
        while not self._ending.wait(self._interval_s):
            watched = self._watched
            try:
                list(self._pool.map(self._read, watched.items()))
            except RuntimeError:
                return

    def _read(self, item: tuple[str, str]) -> None:
        name, address = item
        try:
            response = self._http.request("GET", f"http://{address}/load")
            body = json.loads(response.data)
            load = LoadReport(
                response.status == 200,
                int(body.get("in_flight", 0)),
                float(body.get("step_ms", 0.0)),
                float(body.get("idle_step_ms", 0.0)),
                bool(body.get("leaving", False)),
                str(body.get("model", "")),
            )
        except (urllib3.exceptions.HTTPError, ValueError, AttributeError):
            load = LoadReport(False)
        self._control.put(LoadPolled(name, load))
