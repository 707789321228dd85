"""Numbers of callers that no other router or log line can hold."""

from __future__ import annotations

import json
import os
from typing import Any

import pytest
from gateway_site import Fleet, play, until

from tamarack_core.clock import BootClock
from tamarack_core.stream_origins import OriginQuery
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.http_messages import Request
from tamarack_gateway.outbox import Placements, Tokens
from tamarack_gateway.peer_messages import Report
from tamarack_gateway.peer_sockets import PeerSockets
from tamarack_platform.requests import PlatformRequests
from tamarack_standins.platform_worker import PlatformWorker

HUGE = ["99999999999999999999", "9" * 400, "9" * 5_000]


@pytest.mark.parametrize("number", HUGE)
@pytest.mark.parametrize("name", ["X-Token-Usage", "X-Prompt-Prefix", "X-Length-Hint"])
def test_a_huge_count_of_a_caller_silences_no_router(number: str, name: str) -> None:
    """Guards against a request with an absurd count that ends its router's reports."""
    value = {"X-Token-Usage": f"{number},{number}", "X-Prompt-Prefix": f"aa:{number},b:100"}

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("w1")]}) as fleet:
            await fleet.add_routers(1)
            await fleet.until_acquainted()
            answer = await fleet.ask("/draft/1", **{name: value.get(name, number)})
            # The stand-in for a worker may not read such a header.
            assert answer.status != 500
            (other,) = fleet.others
            heard: dict[str, Any] = {}

            def observe() -> bool:
                heard.update({m.router: m.stamp_ms for m in other._members.known()})
                return True

            observe()
            before_ms = heard["router-1"]
            # Later reports arrive, with placements among them.
            await until(lambda: observe() and heard["router-1"] > before_ms + 500.0)
            assert not fleet.gateway.tasks.failures

    play(scenario())


@pytest.mark.parametrize("number", HUGE)
def test_a_huge_number_in_any_header_is_read(number: str) -> None:
    """Guards against a request whose headers raise an exception where they are read."""
    names = [b"x-token-usage", b"x-length-hint", b"x-prompt-prefix", b"last-event-id"]
    headers = [(name, number.encode()) for name in [*names, b"x-deadline-ms"]]
    request = Request(b"POST", b"/x", [*headers, (b"x-attempt-id", b"a")], b"", 0.0)
    facts = PlatformRequests().read(request)
    assert facts is not None
    assert facts.last_event is None
    assert facts.prompt is not None
    assert facts.prompt.charge < 2**53


def test_a_message_that_cannot_be_encoded_does_not_lose_the_others() -> None:
    """Guards against one message with a value out of range that takes others with it."""
    received: list[Any] = []
    failures: list[Exception] = []

    async def scenario() -> None:
        with (
            PeerSockets("127.0.0.1:0", lambda *_: None, on_failure=failures.append) as sender,
            PeerSockets("127.0.0.1:0", lambda topic, message: received.append(message)) as receiver,
        ):
            receiver.subscribe(frozenset((sender.address,)), frozenset((b"r/",)))
            first, last = (OriginQuery("me", number, "a", "pool") for number in (1, 2))
            work = Placements([], {"pool": [Tokens("shop", 2**70, 0)]})

            def published() -> bool:
                sender.publish(b"r/", first, Report("me", 1.0, placements=work), last)
                return bool(received)

            await until(published)
            assert received[:2] == [first, last]
            assert failures

    play(scenario())


def test_a_line_that_cannot_be_encoded_is_written_as_text() -> None:
    """Guards against a fact in a log line that ends what the line is about."""
    reader, writer = os.pipe()
    log = DecisionLog("r", BootClock(), output=writer)
    log.event("odd", count=2**70, vast=10**5_000, name="\ud800", inner={1: {2**70}})
    log.flush()
    line = json.loads(os.read(reader, 4_096))
    os.close(reader)
    os.close(writer)
    assert line["message"] == "router: odd"
    assert line["count"] == str(2**70)
