"""Notices in endpoints' answers: that an endpoint leaves, or wants a rest period."""

from __future__ import annotations

import pytest
from gateway_site import Fleet, play

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.rest_periods import LONGEST_REST_MS, RestPeriods
from tamarack_gateway.http_messages import AnswerHead
from tamarack_platform.requests import PlatformRequests
from tamarack_standins.platform_worker import PlatformWorker, Script

KEY = EndpointIncarnation("e1", 1)


def head(status: int, **headers: str) -> AnswerHead:
    names = [(name.replace("_", "-").encode(), text.encode()) for name, text in headers.items()]
    return AnswerHead(status, names, 0, False)


# what an answer says


@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_any_answer_of_an_endpoint_may_say_that_it_leaves(status: int) -> None:
    assert PlatformRequests().read_answer(head(status, server_leaving="1")).leaving
    assert not PlatformRequests().read_answer(head(status)).leaving
    assert not PlatformRequests().read_answer(head(status, server_leaving="0")).leaving


def test_a_misdirected_request_says_nothing_about_the_endpoint_it_was_meant_for() -> None:
    """Failure: an endpoint is taken out of use because another one at its old address leaves."""
    assert not PlatformRequests().read_answer(head(421, server_leaving="1")).leaving


@pytest.mark.parametrize(
    ("value", "rest_ms"),
    [("3", 3_000.0), ("0.25", 250.0), ("0", 0.0)]
    + [(bad, None) for bad in ("-1", "", "soon", "nan", "Thu, 03 Dec 2026 15:00:00 GMT")],
)
def test_a_rest_period_is_read_from_a_503(value: str, rest_ms: float | None) -> None:
    """Failure: a value that is no duration ends the request, or rests the endpoint."""
    assert PlatformRequests().read_answer(head(503, retry_after=value)).rest_ms == rest_ms
    assert PlatformRequests().read_answer(head(200, retry_after=value)).rest_ms is None


def test_rest_periods_are_bounded_and_the_latest_end_counts() -> None:
    """Failure: a wrong value rests an endpoint for good, or a short one ends a longer rest."""
    clock = ManualClock()
    rests = RestPeriods(clock)
    rests.request(KEY, 3_000.0)
    rests.request(KEY, 1_000.0)
    assert rests.active == {KEY: 3_000.0}
    clock.advance(3_000.0)
    assert rests.active == {}
    rests.request(KEY, float("inf"))
    assert rests.active == {KEY: 3_000.0 + LONGEST_REST_MS}
    assert rests.requested == 3


# what a router records


def test_a_router_logs_what_endpoints_say(capfd: pytest.CaptureFixture[str]) -> None:
    async def scenario() -> None:
        both = Script(status=503, not_run=True, leaving=True, retry_after="0.25")
        async with Fleet({"web": [PlatformWorker("w1", both)]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 503
            state = fleet.gateway.state
            assert state.notices.rests.requested == 1
            assert list(state.notices.rests.active) == [state.registry.find("w1").key]

    play(scenario())
    logged = capfd.readouterr().err
    assert logged.count("endpoint says that it is leaving") == 1
    assert logged.count("endpoint requests a rest period") == 1
