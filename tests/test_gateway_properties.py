"""Property-based tests of the platform path's decisions and framing."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from gateway_site import play
from hypothesis import given, settings
from hypothesis import strategies as st

from tamarack_core.admission import Admission, admit
from tamarack_core.clock import ManualClock
from tamarack_core.relay_plan import CANDIDATES, SILENCE_MS, STAGGER_MS, Peer, RelayPlan
from tamarack_core.retry_allowance import RetryAllowance
from tamarack_core.ruleset import CallerBounds
from tamarack_core.workspace_shares import WorkspaceShares
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.event_splitter import EventSplitter
from tamarack_gateway.http_messages import Request

# The same inputs in each run, so that the result is reproducible.
drawn = settings(max_examples=120, derandomize=True, deadline=None)

WINDOW_MS = 10_000.0


@drawn
@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.booleans(), st.floats(0.0, 2_000.0)),
        max_size=300,
    )
)
def test_retries_of_all_routers_stay_within_the_budget_in_every_window(
    steps: list[tuple[int, bool, float]],
) -> None:
    routers = [RetryAllowance(0.2, 20.0, WINDOW_MS) for _ in range(4)]
    for router in routers:
        router.seen(4)
    now_ms, requests, retries = 0.0, [], []
    for number, retry, past_ms in steps:
        now_ms += past_ms
        if retry and routers[number].take("pool", now_ms):
            retries.append(now_ms)
        elif not retry:
            routers[number].record_request("pool", now_ms)
            requests.append(now_ms)
        again = sum(at >= now_ms - WINDOW_MS for at in retries)
        asked = sum(at >= now_ms - 2 * WINDOW_MS for at in requests)
        assert again <= 0.2 * asked + 20.0


@drawn
@given(
    st.lists(st.integers(1, 40), min_size=1, max_size=12),
    st.lists(st.integers(1, 30), min_size=1, max_size=60),
)
def test_a_stream_is_split_into_the_same_events_for_any_segmentation(
    sizes: list[int], pieces: list[int]
) -> None:
    events = [b"id: %d\ndata: %s\n\n" % (n + 1, b"x" * size) for n, size in enumerate(sizes)]
    stream = b"".join(events)
    splitter = EventSplitter()
    found = []
    while stream:
        size = pieces[len(found) % len(pieces)]
        piece, stream = stream[:size], stream[size:]
        found += [event.data for event in splitter.feed(piece)]
    assert found == events
    assert splitter.last == len(events)
    assert splitter.rest == b""


@drawn
@given(
    st.integers(13, 80),
    st.sets(st.integers(0, 79)),
)
def test_each_failure_domain_has_one_relay_whichever_routers_fail(
    size: int, lost: set[int]
) -> None:
    peers = {f"r{n}": Peer(f"r{n}", f"r{n}:1", f"d{n % 3}") for n in range(size)}
    alive = [name for number, name in enumerate(peers) if number not in lost]
    plans = {name: RelayPlan(name, peers[name].failure_domain) for name in alive}
    for plan in plans.values():
        plan.put(peers, 0.0)
    now_ms = 0.0
    while now_ms < SILENCE_MS + (CANDIDATES + 2) * STAGGER_MS:
        now_ms += 50.0
        for name, plan in plans.items():
            if plan.links(now_ms).relays:
                for other in plans.values():
                    other.record_relay(name, now_ms)
    for domain in ("d0", "d1", "d2"):
        relays = [
            name
            for name, plan in plans.items()
            if peers[name].failure_domain == domain and plan.links(now_ms).relays
        ]
        ranked = RelayPlan("none", "none")
        ranked.put(peers, 0.0)
        candidates = {peer.router for peer in ranked.candidates(domain)}
        assert len(relays) == (1 if candidates & plans.keys() else 0)


@drawn
@given(
    st.floats(0.0, 3_000.0),
    st.floats(0.0, 3_000.0),
    st.sampled_from([800.0, 1_200.0, 1_500.0]),
    st.floats(0.0, 8.0),
    st.booleans(),
)
def test_a_longer_queue_never_improves_the_decision(
    shorter_ms: float, more_ms: float, aim_ms: float, standing: float, retried: bool
) -> None:
    def verdict(queue_ms: float) -> Admission:
        return admit(
            first_token_ms=queue_ms,
            unavoidable_ms=0.0,
            aim_ms=aim_ms,
            shortest_aim_ms=800.0,
            waited_ms=0.0,
            left_ms=8_000.0,
            standing=standing,
            lead=max(1.0, standing / 2),
            retried=retried,
            draw=0.0,
        ).admission

    order = [Admission.ADMITTED, Admission.HELD, Admission.REFUSED]
    assert order.index(verdict(shorter_ms)) <= order.index(verdict(shorter_ms + more_ms))


@drawn
@given(st.dictionaries(st.integers(0, 30), st.floats(1.0, 50_000.0), min_size=1))
def test_fair_shares_add_up_to_the_throughput(asked: dict[int, float]) -> None:
    shares = WorkspaceShares(4_000.0)
    for number, tokens in asked.items():
        shares.record_demand(f"w{number}", tokens, 0.0)
    capacity = 4.0 * 10_000.0
    share = shares.share(10_000.0, 0.0)
    granted = sum(min(tokens, share) for tokens in asked.values())
    assert granted <= capacity * 1.000001
    assert granted >= min(capacity, sum(asked.values())) * 0.999999


class _Transport:
    """Transport that records what a connection writes."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    def is_closing(self) -> bool:
        return self.closed

    def can_write_eof(self) -> bool:
        return False

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return 0

    def get_extra_info(self, name: str) -> socket.socket:
        closed = socket.socket()
        closed.close()
        return closed


async def _requests(data: bytes, cuts: list[int]) -> list[tuple[bytes, bytes]]:
    """Targets and bodies of the requests that a connection parses from `data`, split at `cuts`."""
    found: list[tuple[bytes, bytes]] = []

    async def handle(request: Request, caller: CallerConnection) -> None:
        found.append((request.target, request.body))
        caller.answer(200, [])

    connection = CallerConnection(handle, ManualClock(), CallerBounds, set())
    transport: Any = _Transport()
    connection.connection_made(transport)
    start = 0
    for cut in [*sorted(cuts), len(data)]:
        if start < cut <= len(data) and not transport.closed:
            connection.data_received(data[start:cut])
            start = cut
        await asyncio.sleep(0)
    for _ in range(20):
        await asyncio.sleep(0)
    return found


REQUEST = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
CHUNKED = b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"


@drawn
@given(
    st.lists(st.sampled_from([REQUEST, CHUNKED]), min_size=1, max_size=4),
    st.lists(st.integers(0, 300), max_size=12),
)
def test_requests_are_parsed_the_same_for_any_segmentation(
    parts: list[bytes], cuts: list[int]
) -> None:
    async def scenario() -> None:
        expected = [(b"/a", b"abc") if part is REQUEST else (b"/b", b"hi") for part in parts]
        assert await _requests(b"".join(parts), cuts) == expected

    play(scenario())


@drawn
@given(
    st.integers(0, len(REQUEST) - 1),
    st.binary(min_size=1, max_size=6),
    st.lists(st.integers(0, 120), max_size=4),
)
def test_corrupted_bytes_never_smuggle_a_request(
    at: int, corruption: bytes, cuts: list[int]
) -> None:
    """Failure: request smuggling, an endpoint runs a request that no caller sent.

    A caller's body looks like a request, and bytes of the head before it are corrupted, so that the
    body is parsed as a request of its own.
    """
    inner = b"GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"
    head = b"POST /outer HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % len(inner)
    if at >= len(head) - 4:
        return
    corrupted = head[:at] + corruption + head[at + len(corruption) :]
    if b"\r\n\r\n" in corrupted[: len(head) - 4] or b"length" not in corrupted.lower():
        # The corrupted head is complete without that length: what follows is not its body.
        return

    async def scenario() -> None:
        targets = [target for target, _ in await _requests(corrupted + inner, cuts)]
        length = b"content-length: %d" % len(inner)
        if length in corrupted.lower().split(b"\r\n"):
            assert b"/smuggled" not in targets

    play(scenario())
