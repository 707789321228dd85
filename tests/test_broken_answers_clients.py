"""Answers that are none in HTTP, as tamarackd, the client library and tamarackctl read them."""

from __future__ import annotations

import selectors
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
import urllib3
from broken_heads import head, no_framings, no_heads, no_status_lines
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
NO_HEADS = (
    no_heads(b"Transfer-Encoding: chunked")
    | no_status_lines(b"Transfer-Encoding: chunked")
    | no_framings()
)
SOUND = head(b"200", b"Content-Length: %d" % len(BODY)) + BODY
OUTCOME = b"Tamarack-Outcome: ran"

UPLOAD = "u" * 8_000_000
"""Text of a request that is longer than the sockets' buffers."""

EARLY = head(b"200") + BODY[:1]
"""A part of an answer that would end with its connection."""

every_broken_head = pytest.mark.parametrize("broken", NO_HEADS.values(), ids=NO_HEADS)
some_broken_heads = pytest.mark.parametrize(
    "broken",
    [head(b"000"), head(b"0200", OUTCOME), head(b"200", b"X Fill: 1", OUTCOME)],
    ids=["000", "0200", "name"],
)


# The client library


@every_broken_head
def test_a_head_that_is_none_is_not_read_as_an_answer(broken: bytes) -> None:
    """Guards against a line that hides the rest of a head, and with it where the body ends."""
    with (
        CuttingServer(answer=broken + CHUNKED) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


@pytest.mark.parametrize("blank", [b" ", b"\t"])
def test_a_cut_body_is_not_whole_when_a_blank_follows_its_length(blank: bytes) -> None:
    """Guards against a length that is not understood, and an answer that ends when it is cut."""
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
def test_a_sound_head_is_read(sound: bytes) -> None:
    """Guards against checks of a head that refuse what HTTP allows."""
    with CuttingServer(answer=sound) as server, HttpPool(retries=False) as pool:
        answer = pool.request("GET", server.url)
        assert (answer.status, answer.data) == (200, BODY)


@pytest.mark.parametrize("upgrade", [[], [b"Connection: upgrade", b"Upgrade: h2c"]])
def test_a_switch_of_protocols_is_no_answer(upgrade: list[bytes]) -> None:
    """Guards against a connection that is no longer HTTP and passes for an empty answer."""
    with (
        CuttingServer(answer=head(b"101", *upgrade) + SOUND) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


@some_broken_heads
def test_a_caller_gets_no_answer_from_a_broken_head(broken: bytes) -> None:
    """Guards against a completion, or a stream that ends as complete, out of a broken head."""
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


@some_broken_heads
@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS)
def test_a_store_call_with_a_broken_head_has_no_known_effect(
    call: Callable[[str], Any], broken: bytes
) -> None:
    """Guards against a write that counts as applied, or a row that is read, on a broken head."""
    with CuttingServer(answer=broken + BODY) as server, pytest.raises(PlatformError) as error:
        call(server.url)
    assert error.value.effect_unknown or call is not STORE_CALLS["transact"]


@some_broken_heads
def test_operators_are_told_nothing_out_of_a_broken_head(broken: bytes) -> None:
    """Guards against a command that reports success on a broken head."""
    with CuttingServer(answer=broken + BODY) as server:
        with pytest.raises(AdminError) as error:
            AdminClient([server.address], "token").call("POST", "changes", {})
        assert error.value.code == "unknown"
        assert main(["router", server.address]) != 0
        assert main(["release", server.address, "f"]) != 0


# Long uploads that are answered early


def test_a_part_of_an_answer_is_not_whole_when_its_upload_is_reset() -> None:
    """Guards against a reset that shows as the upload's error and leaves an orderly end."""
    with (
        CuttingServer(answer=EARLY, reset=True) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("POST", server.url, body=UPLOAD.encode())


def test_an_early_answer_is_read_when_its_server_reads_the_upload_to_its_end() -> None:
    """Guards against a sound early answer that is refused since it came before the upload's end."""
    answer = head(b"200") + BODY
    with CuttingServer(answer=answer, drains=True) as server, HttpPool(retries=False) as pool:
        assert pool.request("POST", server.url, body=UPLOAD.encode()).data == BODY


def test_an_early_answer_with_a_length_is_read_though_its_upload_is_reset() -> None:
    """Guards against a refusal of a long upload that the caller does not get to see."""
    with CuttingServer(answer=SOUND, reset=True) as server, HttpPool(retries=False) as pool:
        assert pool.request("POST", server.url, body=UPLOAD.encode()).data == BODY


@pytest.mark.parametrize("call", ["transact", "put"])
def test_a_write_is_not_applied_on_a_part_of_an_early_answer(call: str) -> None:
    """Guards against a store that resets an upload, which counts as stored."""
    with (
        CuttingServer(answer=head(b"200"), reset=True) as server,
        pytest.raises(PlatformError) as error,
    ):
        STORE_CALLS[call](server.url)
    assert error.value.effect_unknown or call != "transact"


def test_callers_and_operators_get_no_part_of_an_early_answer() -> None:
    """Guards against a router that resets an upload, and part of whose answer passes for whole."""
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
    """All that an endpoint's connection tells of an answer."""
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


@every_broken_head
def test_an_endpoints_broken_head_is_malformed(broken: bytes) -> None:
    """Guards against a status, a body or a notice that is read out of a broken head."""
    (event,) = events_of(broken + CHUNKED)
    assert isinstance(event, ConnectionFailed)
    assert event.reason.startswith("malformed answer")


@pytest.mark.parametrize(
    "before",
    [head(b"000"), head(b"042"), head(b"101"), head(b"101", b"Connection: upgrade", b"Upgrade: x")],
    ids=["000", "042", "101", "upgrade"],
)
def test_an_answer_behind_a_broken_head_is_not_the_requests(before: bytes) -> None:
    """Guards against a broken head that is skipped like an interim answer, or ends the relay."""
    (event,) = events_of(before + SOUND)
    assert isinstance(event, ConnectionFailed)


@pytest.mark.parametrize("interim", [b"", head(b"100"), head(b"103", b"Link: </a>")])
def test_an_endpoints_sound_answer_is_read(interim: bytes) -> None:
    """Guards against checks of a head that refuse what HTTP allows."""
    first, *_, last = events_of(interim + SOUND)
    assert isinstance(first, Head)
    assert first.status == 200
    assert last == End()


def test_an_answer_behind_the_requests_own_belongs_to_no_request() -> None:
    """Guards against a second answer whose status and body replace or lengthen the first."""
    events = events_of(SOUND + head(b"500", b"Content-Length: 1") + b"x")
    assert [type(event) for event in events] == [Head, Body, End]


def test_a_part_of_an_endpoints_answer_is_not_whole_when_its_upload_is_reset() -> None:
    """Guards against a reset that the unfinished upload hides behind an orderly end."""
    events = events_of(EARLY, UPLOAD.encode(), reset=True)
    assert isinstance(events[-1], ConnectionFailed)


@pytest.mark.parametrize("status", ["000", "099", "103", "600", "-1", "+200", "x", ""])
def test_a_resumed_answer_has_a_status(status: str) -> None:
    """Guards against an answer that begins with no status, or ends the relay that reads it."""
    call = EndpointCall("POST", "/v1/completions", [], b"{}", "model", True)
    answer = StoredAnswer("r1~1~1", "w", stream=True)
    limits = RunLimits(1_000, 1_000)
    holding = UNLIMITED.holding()
    run = Run(call, answer, "127.0.0.1:1", limits, "", 0.0, holding=holding, adopted="r2~1~1")
    step = run.handle_event(Head(200, {"tamarack-status": status}), 0.0)
    assert (step, answer.status) == (Step.FAILED, 0)


def test_bytes_behind_a_refusal_to_resume_are_not_the_answers() -> None:
    """Guards against the text of an endpoint's refusal in the stream of its caller."""
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
