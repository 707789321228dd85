"""Answers whose connection closes inside their head."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
import urllib3
from cutting_server import HEAD, CuttingServer

from tamarack_client.admin import AdminClient, AdminError
from tamarack_client.client import Client, OutcomeUnknownError
from tamarack_client.http_pool import HttpPool
from tamarack_ctl.main import main
from tamarack_router.platform import InstanceList, ObjectStore, PlatformError, TableService

CUTS = [HEAD.index(b" OK"), HEAD.index(b"Server"), HEAD.index(b"Content"), HEAD.index(b": 6")]
"""After the status, the status line and a header, and inside the name of the length."""


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("cut", range(len(HEAD)))
def test_no_cut_of_a_head_is_taken_for_its_end(cut: int, reset: bool) -> None:
    """Failure: an answer that was cut in its head is a success with an empty body."""
    with (
        CuttingServer(cut, reset=reset) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.HTTPError),
    ):
        pool.request("GET", server.url)


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    """Failure: a whole head is rejected since nothing in it tells the body's length."""
    answer = b"HTTP/1.1 200 OK\r\n\r\nwhole"
    with CuttingServer(len(answer), answer=answer) as server, HttpPool(retries=False) as pool:
        assert pool.request("GET", server.url).data == b"whole"


def test_a_cut_after_an_interim_answer_is_no_answer() -> None:
    """Failure: a connection that closes after `100 Continue` looks like one never answered."""
    interim = b"HTTP/1.1 100 Continue\r\n\r\n"
    with (
        CuttingServer(len(interim), answer=interim) as server,
        HttpPool(retries=False) as pool,
        pytest.raises(urllib3.exceptions.ProtocolError),
    ):
        pool.request("GET", server.url)


@pytest.mark.parametrize("cut", CUTS)
def test_a_completion_cut_in_its_head_is_not_told_as_whole(cut: int) -> None:
    """Failure: a router ends inside a head, and its caller gets a 200 with an empty answer."""
    with (
        CuttingServer(cut) as server,
        Client([server.address], "key") as client,
        pytest.raises(OutcomeUnknownError),
    ):
        client.complete("m", "p", deadline_s=0.2)


@pytest.mark.parametrize("cut", CUTS)
def test_a_stream_cut_in_its_head_does_not_end_as_complete(cut: int) -> None:
    """Failure: a router ends inside a head, and its caller's stream ends as complete."""
    with (
        CuttingServer(cut) as server,
        Client([server.address], "key") as client,
        pytest.raises(OutcomeUnknownError),
    ):
        list(client.stream("m", "p", deadline_s=0.2))


STORE_CALLS: dict[str, Callable[[str], Any]] = {
    "read": lambda url: TableService(url).read("t", "a"),
    "scan": lambda url: TableService(url).scan("t", ""),
    "transact": lambda url: TableService(url).transact([], []),
    "put": lambda url: ObjectStore(url).put("o", b"data"),
    "get": lambda url: ObjectStore(url).get("o"),
    "instances": lambda url: InstanceList(url).read(),
}


@pytest.mark.parametrize("cut", CUTS)
@pytest.mark.parametrize("call", STORE_CALLS.values(), ids=STORE_CALLS)
def test_a_store_call_cut_in_its_head_has_no_known_effect(
    call: Callable[[str], Any], cut: int
) -> None:
    """Failure: a store ends inside a head, and a write counts as applied, a row as absent."""
    with CuttingServer(cut) as server, pytest.raises(PlatformError) as error:
        call(server.url)
    assert error.value.effect_unknown or call is not STORE_CALLS["transact"]


@pytest.mark.parametrize("body", [b"null", b"[]", b'{"rows": 1}', b'{"rows": [1]}'])
@pytest.mark.parametrize("name", ["read", "scan", "instances"])
def test_an_answer_of_another_form_is_an_error_of_the_platform(name: str, body: bytes) -> None:
    """Failure: a store's answer of another form ends the task that reads it."""
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
    with (
        CuttingServer(1_000, answer=head + body) as server,
        pytest.raises(PlatformError),
    ):
        STORE_CALLS[name](server.url)


@pytest.mark.parametrize("cut", CUTS)
def test_operators_are_not_told_that_a_cut_call_took_effect(cut: int) -> None:
    """Failure: a router ends inside a head, and a command reports success."""
    with CuttingServer(cut) as server:
        with pytest.raises(AdminError) as error:
            AdminClient([server.address], "token").call("POST", "changes", {})
        assert error.value.code == "unknown"
        assert main(["router", server.address]) != 0
