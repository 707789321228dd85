"""A single run against sockets that the test controls."""

from __future__ import annotations

import select
import selectors
import socket

from tamarack_core.memory_budget import UNLIMITED
from tamarack_router.endpoint_connection import ConnectionEvent, EndpointConnection
from tamarack_router.messages import EndpointCall
from tamarack_router.run import Run, RunLimits, Step
from tamarack_router.stored_answer import StoredAnswer

CALL = EndpointCall("POST", "/v1/completions", [], b"{}", "model", False)
WAIT_S = 5.0


def make_run(address: str) -> Run:
    answer = StoredAnswer("r1~1~1", "w", stream=False)
    return Run(CALL, answer, address, RunLimits(1_000, 1_000), "", 0.0, holding=UNLIMITED.holding())


def until_event(
    connection: EndpointConnection, events: list[ConnectionEvent]
) -> list[ConnectionEvent]:
    """Drive a connection until it returns events."""
    while not events:
        writing = bool(connection.interest & selectors.EVENT_WRITE)
        readable, writable, _ = select.select(
            [connection.sock], [connection.sock] if writing else [], [], WAIT_S
        )
        assert readable or writable
        mask = (selectors.EVENT_READ if readable else 0) | (
            selectors.EVENT_WRITE if writable else 0
        )
        events = connection.ready(mask)
    return events


def test_a_sent_request_stays_sent_when_its_endpoint_crashes_before_the_resume() -> None:
    # An engine is killed after it received a request, and the connection to resume the answer is
    # refused. If `sent` reflected only the last connection, which sent nothing, the request would
    # be sent to a second engine and run twice.
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    run = make_run(f"{host}:{port}")
    connection, events = run.open(0.0)
    assert events == []
    accepted, _ = listener.accept()
    while connection.interest & selectors.EVENT_WRITE:
        select.select([], [connection.sock], [], WAIT_S)
        connection.ready(selectors.EVENT_WRITE)
    accepted.recv(65_536)
    accepted.close()
    listener.close()
    (broke,) = until_event(connection, [])
    assert run.handle_event(broke, 1.0) == Step.RESUME
    run.close()
    resumed, events = run.open(2.0)
    (refused,) = until_event(resumed, events)
    step = run.handle_event(refused, 3.0)
    while step == Step.RESUME:
        run.close()
        resumed, events = run.open(4.0)
        (refused,) = until_event(resumed, events)
        step = run.handle_event(refused, 5.0)
    assert step == Step.FAILED
    assert run.sent


def test_a_request_whose_connection_was_refused_was_not_sent() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    host, port = listener.getsockname()
    listener.close()
    run = make_run(f"{host}:{port}")
    connection, events = run.open(0.0)
    (refused,) = until_event(connection, events)
    assert run.handle_event(refused, 1.0) == Step.FAILED
    assert not run.sent
