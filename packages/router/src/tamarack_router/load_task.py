"""Asks the endpoints that this router dispatches for their load."""

from __future__ import annotations

import json
import threading
from concurrent.futures import ThreadPoolExecutor
from types import TracebackType

import urllib3

from tamarack_core.endpoint_pool import LoadReport
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import LoadRead

CONNECT_TIMEOUT_S = 0.3
READ_TIMEOUT_S = 0.5
WORKERS = 4


class LoadTask:
    """Polls `GET /load` of the watched endpoints and tells the control task."""

    def __init__(self, control: Mailbox, interval_ms: int) -> None:
        self._control = control
        self._interval_s = interval_ms / 1000
        self._watched: dict[str, str] = {}
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, name="load", daemon=True)
        self._pool = ThreadPoolExecutor(WORKERS, thread_name_prefix="load")
        self._http = urllib3.PoolManager(
            num_pools=256,
            maxsize=1,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def __enter__(self) -> LoadTask:
        self._thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stop.set()
        self._pool.shutdown(wait=False, cancel_futures=True)

    def watch(self, addresses: dict[str, str]) -> None:
        """Replace the endpoints to ask."""
        self._watched = addresses

    def _run(self) -> None:
        while not self._stop.wait(self._interval_s):
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
        self._control.put(LoadRead(name, load))
