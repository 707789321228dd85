"""Cancels a stream at its engine."""

from __future__ import annotations

import selectors
from collections.abc import Callable

from tamarack_router.endpoint_connection import EndpointConnection

CANCEL_TIMEOUT_MS = 1_000.0

Schedule = Callable[[float, Callable[[], None]], None]


def cancel_at_endpoint(
    address: str, run_id: str, selector: selectors.BaseSelector, schedule: Schedule
) -> None:
    """Send the cancellation in the background and ignore the response."""
    connection = EndpointConnection(address, "DELETE", f"/v1/streams/{run_id}", [], b"")
    if connection.start():
        connection.close()
        return

    def ready(mask: int) -> None:
        if connection.sock.fileno() < 0:
            return
        if connection.ready(mask):
            close()
        elif selector.get_key(connection.sock).events != connection.interest:
            selector.modify(connection.sock, connection.interest, ready)

    def close() -> None:
        if connection.sock.fileno() >= 0:
            selector.unregister(connection.sock)
            connection.close()

    selector.register(connection.sock, connection.interest, ready)
    schedule(CANCEL_TIMEOUT_MS, close)
