"""Malformed and truncated responses, as read by tamarackd, the client library and tamarackctl."""

from __future__ import annotations

import selectors
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
import urllib3
from broken_heads import head, malformed_framings, malformed_heads, malformed_status_lines
from cutting_server import BODY, CuttingServer

from tamarack_client.admin import AdminClient, AdminError
from tamarack_client.client import Client, OutcomeUnknownError
from tamarack_client.http_pool import HttpPool
from tamarack_core.clock import Clock
from tamarack_core.memory_budget import UNLIMITED
from tamarack_ctl.main import main
from tamarack_router.endpoint_connection import (
    Body,
    ConnectionEvent,
    ConnectionFailed,
    End,
    EndpointConnection,
    Head,
)
from tamarack_router.messages import EndpointCall
from tamarack_router.platform import InstanceList, ObjectStore, PlatformError, TableService, Write
from tamarack_router.run import Run, RunLimits, Step
from tamarack_router.run_sockets import RunSockets
from tamarack_router.stored_answer import StoredAnswer

CHUNKED = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
MALFORMED_HEADS = (
    malformed_heads(b"Transfer-Encoding: chunked")
    | malformed_status_lines(b"Transfer-Encoding: chunked")
    | malformed_framings()
)
SOUND = head(b"200", b"Content-Length: %d" % len(BODY)) + BODY
OUTCOME = b"Tamarack-Outcome: ran"

UPLOAD = "u" * 8_000_000
"""Request body that exceeds the socket buffers."""

EARLY = head(b"200") + BODY[:1]
"""Part of a response that is delimited by the close of its connection."""

every_malformed_head = pytest.mark.parametrize(
    "broken", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS
)
some_malformed_heads = pytest.mark.parametrize(
    "broken",
    [head(b"000"), head(b"0200", OUTCOME), head(b"200", b"X Fill: 1", OUTCOME)],
    ids=["000", "0200", "name"],
)


# The client library


@every_malformed_head
def test_a_malformed_head_is_rejected(broken: bytes) -> None:
    """Guards against a malformed line that hides the rest of the head, framing included."""
    with (
        CuttingServer(answer=broken + CHUNKED) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


@pytest.mark.parametrize("blank", [b" ", b"\t"])
def test_a_truncated_body_is_detected_despite_trailing_whitespace(blank: bytes) -> None:
    """Guards against a length that is ignored, so that the close delimits the body."""
    framed = head(b"200", b"Content-Length: %d" % len(BODY) + blank)
    with CuttingServer(answer=framed + BODY) as server, HttpPool(retries=False) as pool:
        assert pool.request("GET", server.url).data == BODY
    with (
        CuttingServer(answer=framed + BODY[:1]) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


@pytest.mark.parametrize(
    "sound",
    [
        SOUND,
        SOUND.replace(b"Status", b"").replace(b"200 ", b"200"),
        SOUND.replace(b"\r\n", b"\n"),
        head(b"200", b"X: \x80 \t(", b"X-Empty:", b"Content-Length:%d" % len(BODY)) + BODY,
        head(b"100") + SOUND,
        head(b"103", b"Link: </a>") + head(b"102") + SOUND,
    ],
    ids=["plain", "no-reason", "line-feeds", "values", "continue", "interim"],
)
def test_a_valid_head_is_accepted(sound: bytes) -> None:
    """Guards against validation that rejects valid heads."""
    with CuttingServer(answer=sound) as server, HttpPool(retries=False) as pool:
        answer = pool.request("GET", server.url)
        assert (answer.status, answer.data) == (200, BODY)


@pytest.mark.parametrize("upgrade", [[], [b"Connection: upgrade", b"Upgrade: h2c"]])
def test_an_unrequested_protocol_switch_is_rejected(upgrade: list[bytes]) -> None:
    """Guards against a protocol switch that is returned as an empty response."""
    with (
        CuttingServer(answer=head(b"101", *upgrade) + SOUND) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


@some_malformed_heads
def test_callers_get_no_response_with_a_malformed_head(broken: bytes) -> None:
    """Guards against a completion or a complete stream from a malformed response."""
    with CuttingServer(answer=broken + BODY) as server, Client([server.address], "key") as client:
        with pytest.raises(OutcomeUnknownError):
            client.complete("m", "p", deadline_s=0.2)
        with pytest.raises(OutcomeUnknownError):
            list(client.stream("m", "p", deadline_s=0.2))


STORE_CALLS: dict[str, Callable[[str], Any]] = {
    "read": lambda url: TableService(url).read("t", "a"),
    "transact": lambda url: TableService(url).transact([], [Write("t", "k", UPLOAD)]),
    "put": lambda url: ObjectStore(url).put("o", UPLOAD.encode()),
    "get": lambda url: ObjectStore(url).get("o"),
    "instances": lambda url: InstanceList(url).read(),
}


@some_malformed_heads
@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS)
def test_the_effect_of_a_store_call_is_unknown_after_a_malformed_head(
    call: Callable[[str], Any], broken: bytes
) -> None:
    """Guards against a write that counts as applied, or a row read, from a malformed response."""
    with CuttingServer(answer=broken + BODY) as server, pytest.raises(PlatformError) as error:
        call(server.url)
    assert error.value.effect_unknown or call is not STORE_CALLS["transact"]


@some_malformed_heads
def test_commands_fail_after_a_malformed_head(broken: bytes) -> None:
    """Guards against a command that reports success after a malformed response."""
    with CuttingServer(answer=broken + BODY) as server:
        with pytest.raises(AdminError) as error:
            AdminClient([server.address], "token").call("POST", "changes", {})
        assert error.value.code == "unknown"
        assert main(["router", server.address]) != 0
        assert main(["release", server.address, "f"]) != 0


# Early responses to long uploads


def test_a_reset_during_an_upload_truncates_the_response() -> None:
    """Guards against a reset that only the upload sees, so that reading ends in order."""
    with (
        CuttingServer(answer=EARLY, reset=True) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("POST", server.url, body=UPLOAD.encode())


def test_an_early_response_is_accepted_if_the_server_reads_the_whole_upload() -> None:
    """Guards against a valid response that is rejected because it came early."""
    answer = head(b"200") + BODY
    with CuttingServer(answer=answer, drains=True) as server, HttpPool(retries=False) as pool:
        assert pool.request("POST", server.url, body=UPLOAD.encode()).data == BODY


def test_an_early_response_with_a_length_is_accepted_despite_a_reset() -> None:
    """Guards against a rejection of a long upload that the caller never sees."""
    with CuttingServer(answer=SOUND, reset=True) as server, HttpPool(retries=False) as pool:
        assert pool.request("POST", server.url, body=UPLOAD.encode()).data == BODY


@pytest.mark.parametrize("call", ["transact", "put"])
def test_a_write_does_not_count_as_applied_after_a_reset(call: str) -> None:
    """Guards against a store that resets an upload which then counts as stored."""
    with (
        CuttingServer(answer=head(b"200"), reset=True) as server,
        pytest.raises(PlatformError) as error,
    ):
        STORE_CALLS[call](server.url)
    assert error.value.effect_unknown or call != "transact"


def test_callers_and_operators_get_no_truncated_response() -> None:
    """Guards against a truncated response of a router that resets an upload."""
    early = head(b"200", OUTCOME) + b"1"
    with CuttingServer(answer=early, reset=True) as server:
        with Client([server.address], "key") as client:
            with pytest.raises(OutcomeUnknownError):
                client.call("POST", "/x", UPLOAD, deadline_s=0.5)
            with pytest.raises(OutcomeUnknownError):
                list(client.call_stream("POST", "/x", UPLOAD, deadline_s=0.5))
        with pytest.raises(AdminError) as error:
            AdminClient([server.address], "token").call("POST", "batches", UPLOAD)
        assert error.value.code == "unknown"


# tamarackd


def events_of(answer: bytes, body: bytes = b"x", *, reset: bool = False) -> list[ConnectionEvent]:
    """All events of a connection to an endpoint that sends these bytes."""
    events: list[ConnectionEvent] = []
    with (
        CuttingServer(answer=answer, reset=reset) as server,
        selectors.DefaultSelector() as selector,
    ):
        connection = EndpointConnection(server.address, "POST", "/x", [], body)
        try:
            connection.start()
            key = selector.register(connection.sock, connection.interest)
            while not any(isinstance(event, End | ConnectionFailed) for event in events):
                for _, mask in selector.select(5.0):
                    events += connection.ready(mask)
                key = selector.modify(key.fileobj, connection.interest)
        finally:
            connection.close()
    return events


@every_malformed_head
def test_a_malformed_head_of_an_endpoint_is_rejected(broken: bytes) -> None:
    """Guards against a status, body or header field that is read from a malformed head."""
    (event,) = events_of(broken + CHUNKED)
    assert isinstance(event, ConnectionFailed)
    assert event.reason.startswith("malformed answer")


@pytest.mark.parametrize(
    "before",
    [
        head(b"000"),
        head(b"042", b"Content-Length: 0"),
        head(b"101"),
        head(b"101", b"Connection: upgrade", b"Upgrade: x"),
        head(b"150", b"Content-Length: 1") + b"x",
    ],
    ids=["000", "042", "101", "upgrade", "body"],
)
def test_a_response_after_a_malformed_head_is_not_used(before: bytes) -> None:
    """Guards against a malformed head that is skipped, or whose exception ends the relay."""
    (event,) = events_of(before + SOUND)
    assert isinstance(event, ConnectionFailed)


@pytest.mark.parametrize("interim", [b"", head(b"100"), head(b"103", b"Link: </a>")])
def test_a_valid_response_of_an_endpoint_is_accepted(interim: bytes) -> None:
    """Guards against validation that rejects valid heads."""
    first, *_, last = events_of(interim + SOUND)
    assert isinstance(first, Head)
    assert first.status == 200
    assert last == End()


def test_a_second_response_of_an_endpoint_is_ignored() -> None:
    """Guards against a second response that is merged into the first."""
    events = events_of(SOUND + head(b"500", b"Content-Length: 1") + b"x")
    assert [type(event) for event in events] == [Head, Body, End]


def test_a_reset_during_an_upload_truncates_the_response_of_an_endpoint() -> None:
    """Guards against a reset that is mistaken for an orderly close."""
    events = events_of(EARLY, UPLOAD.encode(), reset=True)
    assert isinstance(events[-1], ConnectionFailed)


@pytest.mark.parametrize("status", ["000", "099", "103", "600", "-1", "+200", "x", ""])
def test_a_resumed_response_needs_a_valid_status(status: str) -> None:
    """Guards against an invalid status that reaches the caller or ends the relay."""
    call = EndpointCall("POST", "/v1/completions", [], b"{}", "model", True)
    answer = StoredAnswer("r1~1~1", "w", stream=True)
    limits = RunLimits(1_000, 1_000)
    holding = UNLIMITED.holding()
    run = Run(call, answer, "127.0.0.1:1", limits, "", 0.0, holding=holding, adopted="r2~1~1")
    step = run.handle_event(Head(200, {"tamarack-status": status}), 0.0)
    assert (step, answer.status) == (Step.FAILED, 0)


def test_the_body_of_a_failed_resumption_is_not_forwarded() -> None:
    """Guards against an error message of an endpoint inside the stream of a caller."""
    refusal = head(b"404", b"Content-Length: 7") + b"no such"
    call = EndpointCall("POST", "/v1/completions", [], b"{}", "model", True)
    answer = StoredAnswer("r1~1~1", "w", stream=True)
    answer.begin(200, "text/event-stream")
    answer.body += b"data: a\n\n"
    steps = []
    with CuttingServer(answer=refusal) as server, selectors.DefaultSelector() as selector:
        limits, holding = RunLimits(1_000, 1_000), UNLIMITED.holding()
        run = Run(call, answer, server.address, limits, "", 0.0, holding=holding, adopted="r~1~1")
        held: Any = SimpleNamespace(run=run)
        sockets = RunSockets(Clock(), selector, lambda held, run, step: steps.append(step))
        sockets.open(held, run)
        while not steps:
            for key, mask in selector.select(5.0):
                key.data(mask)
        sockets.close(run)
    assert (steps, bytes(answer.body)) == ([Step.BROKEN], b"data: a\n\n")
