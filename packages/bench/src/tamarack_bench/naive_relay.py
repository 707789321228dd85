"""Baseline relay: one thread per stream forwards the endpoint's chunks to the caller."""

from __future__ import annotations

import argparse
import json
import signal
import threading

import urllib3
from cheroot import wsgi

THREADS = 256


class NaiveRelay:
    """A WSGI application that relays to its endpoints in turn."""

    def __init__(self, targets: list[str]) -> None:
        self._targets = targets
        self._number = 0
        self._http = urllib3.PoolManager(maxsize=THREADS, retries=False)

    def __call__(self, environ: dict, start_response: object) -> object:
        """Relay one request."""
        body = environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
        self._number += 1
        target = self._targets[self._number % len(self._targets)]
        response = self._http.request(
            "POST", f"http://{target}{environ['PATH_INFO']}", body=body, preload_content=False
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])  # type: ignore[operator]
        return response.stream(65_536)


def main() -> None:
    """Serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--target", action="append", required=True)
    args = parser.parse_args()
    server = wsgi.Server(
        ("127.0.0.1", 0), NaiveRelay(args.target), numthreads=THREADS, request_queue_size=1_024
    )
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    print(json.dumps({"address": f"127.0.0.1:{server.bind_addr[1]}"}), flush=True)
    signal.sigwait([signal.SIGTERM, signal.SIGINT])


if __name__ == "__main__":
    main()
