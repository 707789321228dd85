"""Malformed and truncated responses of workers and of the store, as read by the gateway."""

from __future__ import annotations

import pytest
from broken_heads import head, malformed_framings, malformed_heads, malformed_status_lines
from gateway_site import Answer, Fleet, configuration, play, until

from tamarack_core.clock import BootClock
from tamarack_gateway.site import StoreCall
from tamarack_gateway.store_client import StoreClient, StoreError
from tamarack_gateway.store_epoch import StoreEpoch
from tamarack_platform.store import PlatformStore
from tamarack_standins.platform_worker import SIGNATURE, PlatformWorker
from tamarack_standins.raw_worker import Ending, RawWorker

SIGNED = f"X-Server-Stamp: {SIGNATURE}.w1".encode()
NOTICES = [b"X-Not-Executed: 1", b"Server-Leaving: 1", b"Retry-After: 60"]
"""Header fields by which a worker reports about itself and about the request."""

BODY = b"id: 1\ndata: x\n\n"
FRAMING = b"Content-Length: %d" % len(BODY)
MALFORMED_HEADS = malformed_heads(SIGNED, FRAMING) | malformed_status_lines(SIGNED, FRAMING)
CHUNKED = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
MALFORMED_FRAMINGS = malformed_framings(SIGNED)

PATHS = ["/page/1", "/rewrite/1"]


def service_of(path: str) -> str:
    """Service of a path in the test's configuration."""
    return "web" if path.startswith(("/page", "/search")) else "pool"


async def ask(path: str, *workers: PlatformWorker) -> Answer:
    """The answer of a router before these workers."""
    async with Fleet({service_of(path): list(workers)}) as fleet:
        return await fleet.ask(path)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("broken", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS)
def test_a_malformed_head_never_reaches_the_caller(broken: bytes, path: str) -> None:
    """Guards against a malformed response that is forwarded to the caller."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", broken + BODY))
        assert (answer.status, answer.body) == (502, b"")
        assert not answer.headers.keys() & {"x-server-stamp", "x-fill"}

    play(scenario())


@pytest.mark.parametrize("broken", MALFORMED_HEADS.values(), ids=MALFORMED_HEADS)
def test_an_idempotent_request_is_retried_after_a_malformed_head(broken: bytes) -> None:
    """Guards against a malformed response that fails a request which another worker can serve."""

    async def scenario() -> None:
        workers = [RawWorker("w1", broken + BODY), PlatformWorker("w2")]
        async with Fleet({"web": workers}) as fleet:
            for _ in range(3):
                answer = await fleet.ask("/search/1")
                assert (answer.status, answer.body) == (200, b"hello")

    play(scenario())


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_no_field_of_a_malformed_head_is_used(status: bytes) -> None:
    """Guards against a request reported as not run, or a worker excluded, by a malformed head."""

    async def scenario() -> None:
        worker = RawWorker("w1", head(status, *NOTICES, b"Content-Length: 0"))
        async with Fleet({"web": [worker]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 502
            state = fleet.gateway.state
            assert not state.notices.rests.active
            endpoint = state.registry.find("w1")
            assert endpoint is not None
            assert state.is_available(endpoint)

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_a_response_after_a_malformed_head_is_not_used(path: str) -> None:
    """Guards against a status below 100 that is skipped like an interim response."""

    async def scenario() -> None:
        sound = head(b"200", SIGNED, FRAMING) + BODY
        answer = await ask(path, RawWorker("w1", head(b"042") + sound))
        assert answer.status == 502

    play(scenario())


@pytest.mark.parametrize(
    "upgrade", [[], [b"Connection: upgrade", b"Upgrade: h2c"]], ids=["bare", "upgrade"]
)
def test_an_unrequested_protocol_switch_is_malformed(upgrade: list[bytes]) -> None:
    """Guards against an exception of the parser that is not handled."""

    async def scenario() -> None:
        worker = RawWorker("w1", head(b"101", *upgrade) + head(b"200", SIGNED, FRAMING) + BODY)
        async with Fleet({"web": [worker]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 502
            assert not fleet.gateway.tasks.failures

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("broken", MALFORMED_FRAMINGS.values(), ids=MALFORMED_FRAMINGS)
def test_a_body_with_invalid_framing_never_reaches_the_caller(broken: bytes, path: str) -> None:
    """Guards against an encoded body, or chunk framing, that is forwarded as the body."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", broken + CHUNKED, ending=Ending.CLOSED))
        assert (answer.status, answer.body) == (502, b"")

    play(scenario())


TRAILING_WHITESPACE = {
    "length": (head(b"200", SIGNED, FRAMING + b" \t"), BODY),
    "chunked": (head(b"200", SIGNED, b"Transfer-Encoding: Chunked "), CHUNKED),
}
"""Heads and bodies with whitespace after the value of a framing field, which is valid."""


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("framed", "body"), TRAILING_WHITESPACE.values(), ids=TRAILING_WHITESPACE)
def test_a_truncated_body_is_detected_despite_trailing_whitespace(
    framed: bytes, body: bytes, path: str
) -> None:
    """Guards against a truncated response that is taken for one delimited by the close."""

    async def scenario() -> None:
        assert (await ask(path, RawWorker("w1", framed + body))).body == BODY
        cut = RawWorker("w1", framed + body[:-1], ending=Ending.CLOSED)
        answer = await ask(path, cut)
        assert answer.status == 502 or not answer.whole

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_the_body_of_an_interim_response_is_not_forwarded(path: str) -> None:
    """Guards against bytes of an interim response that are prepended to the final one."""

    async def scenario() -> None:
        interim = head(b"150", b"Content-Length: 7") + b"id: 0\n\n"
        chunks = head(b"200", SIGNED, b"Transfer-Encoding: chunked") + CHUNKED
        answer = await ask(path, RawWorker("w1", interim + chunks))
        assert answer.status == 502

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(
    "sound",
    [
        head(b"200", SIGNED, FRAMING),
        head(b"299", SIGNED, FRAMING),
        head(b"200", SIGNED, FRAMING).replace(b"Status", b"\t\x80\xff"),
        head(b"200", SIGNED, FRAMING).replace(b"HTTP/1.1", b"HTTP/1.0"),
        head(b"100") + head(b"103", b"Link: </a>") + head(b"200", SIGNED, FRAMING),
        head(b"200", b"!#$%&'*+-.^_`|~09azAZ: \x80\xff \t\"()", SIGNED, FRAMING),
    ],
    ids=["200", "299", "phrase", "version", "interim", "odd-bytes"],
)
def test_a_valid_response_is_forwarded(sound: bytes, path: str) -> None:
    """Guards against validation that rejects valid heads."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", sound + BODY))
        assert (answer.status // 100, answer.body, answer.whole) == (2, BODY, True)

    play(scenario())


MALFORMED_STORE_HEADS = MALFORMED_HEADS | MALFORMED_FRAMINGS


@pytest.mark.parametrize("broken", MALFORMED_STORE_HEADS.values(), ids=MALFORMED_STORE_HEADS)
def test_no_field_of_a_malformed_head_of_the_store_is_used(broken: bytes) -> None:
    """Guards against a store epoch that is read from a malformed head."""

    async def scenario() -> None:
        spoiled = broken.replace(SIGNED, b"Store-Era: 7")
        async with RawWorker("store", spoiled + BODY, ending=Ending.CLOSED) as store:
            clock = BootClock()
            epoch = StoreEpoch(clock)
            client = StoreClient(lambda: store.address, PlatformStore(), clock, epoch)
            with pytest.raises(StoreError):
                await client.call(StoreCall(b"GET", b"/x"))
            assert not epoch.known
            client.close()

    play(scenario())


UPLOAD = b"u" * 8_000_000
"""Request body that exceeds the socket buffers."""

PART = b"id: 1\ndata: x\n\n"
EARLY = head(b"200", SIGNED) + PART


async def upload(path: str, worker: PlatformWorker) -> Answer | None:
    """The response to a long upload; None if the connection closed without one."""
    async with Fleet({service_of(path): [worker]}) as fleet:
        limits = {"maxBodyBytes": len(UPLOAD), "tokensPerS": 300_000}
        await fleet.store.put("op", "config", configuration(2, limits=limits))
        await until(lambda: (rules := fleet.gateway.state.rules) is not None and rules.version == 2)
        return await fleet.try_ask(path, body=UPLOAD)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSED])
@pytest.mark.parametrize("path", PATHS)
def test_a_reset_during_an_upload_truncates_the_response(
    path: str, ending: Ending, pause_s: float
) -> None:
    """Guards against a reset that is mistaken for an orderly close."""

    async def scenario() -> None:
        worker = RawWorker("w1", EARLY, early=True, ending=ending, pause_s=pause_s)
        answer = await upload(path, worker)
        assert answer is None or answer.status == 502 or not answer.whole
        assert worker.closed_early
        assert worker.received == []

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_an_early_response_is_forwarded_if_the_worker_reads_the_whole_upload(path: str) -> None:
    """Guards against a valid early response that is rejected because of the pending upload."""

    async def scenario() -> None:
        worker = RawWorker("w1", EARLY, early=True, ending=Ending.HALF_CLOSED)
        answer = await upload(path, worker)
        assert answer is not None
        assert (answer.status, answer.body, answer.whole) == (200, PART, True)
        assert [received.body for received in worker.received] == [UPLOAD]

    play(scenario())
