"""Answers of workers and of the store that are no answers in HTTP, as the gateway reads them."""

from __future__ import annotations

import pytest
from broken_heads import head, no_framings, no_heads, no_status_lines
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
"""What a worker says about itself and the request in its answers."""

BODY = b"id: 1\ndata: x\n\n"
FRAMING = b"Content-Length: %d" % len(BODY)
NO_HEADS = no_heads(SIGNED, FRAMING) | no_status_lines(SIGNED, FRAMING)
CHUNKED = b"%x\r\n%s\r\n0\r\n\r\n" % (len(BODY), BODY)
NO_FRAMINGS = no_framings(SIGNED)

PATHS = ["/page/1", "/rewrite/1"]


def service_of(path: str) -> str:
    """Service of a path in the test's configuration."""
    return "web" if path.startswith(("/page", "/search")) else "pool"


async def ask(path: str, *workers: PlatformWorker) -> Answer:
    """The answer of a router before these workers."""
    async with Fleet({service_of(path): list(workers)}) as fleet:
        return await fleet.ask(path)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("broken", NO_HEADS.values(), ids=NO_HEADS)
def test_a_head_that_is_none_never_reaches_the_caller(broken: bytes, path: str) -> None:
    """Guards against an answer that is none in HTTP and is passed on, whole or changed."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", broken + BODY))
        assert (answer.status, answer.body) == (502, b"")
        assert not answer.headers.keys() & {"x-server-stamp", "x-fill"}

    play(scenario())


@pytest.mark.parametrize("broken", NO_HEADS.values(), ids=NO_HEADS)
def test_a_repeatable_request_goes_on_at_a_sound_worker(broken: bytes) -> None:
    """Guards against an answer that is none in HTTP and ends a request that can be served."""

    async def scenario() -> None:
        workers = [RawWorker("w1", broken + BODY), PlatformWorker("w2")]
        async with Fleet({"web": workers}) as fleet:
            for _ in range(3):
                answer = await fleet.ask("/search/1")
                assert (answer.status, answer.body) == (200, b"hello")

    play(scenario())


@pytest.mark.parametrize("status", [b"000", b"099", b"600"])
def test_nothing_is_read_out_of_a_head_that_is_none(status: bytes) -> None:
    """Guards against a request told as not run, or a worker out of use, on a broken head's word."""

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
def test_an_answer_behind_a_head_that_is_none_is_not_the_requests(path: str) -> None:
    """Guards against a status below 100 that is taken for an interim answer."""

    async def scenario() -> None:
        sound = head(b"200", SIGNED, FRAMING) + BODY
        answer = await ask(path, RawWorker("w1", head(b"042") + sound))
        assert answer.status == 502

    play(scenario())


@pytest.mark.parametrize(
    "upgrade", [[], [b"Connection: upgrade", b"Upgrade: h2c"]], ids=["bare", "upgrade"]
)
def test_a_switch_of_protocols_that_nobody_asked_for_is_no_answer(upgrade: list[bytes]) -> None:
    """Guards against a parser's signal of an upgrade that ends the reader with an exception."""

    async def scenario() -> None:
        worker = RawWorker("w1", head(b"101", *upgrade) + head(b"200", SIGNED, FRAMING) + BODY)
        async with Fleet({"web": [worker]}) as fleet:
            assert (await fleet.ask("/page/1")).status == 502
            assert not fleet.gateway.tasks.failures

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("broken", NO_FRAMINGS.values(), ids=NO_FRAMINGS)
def test_a_body_whose_end_is_not_known_never_reaches_the_caller(broken: bytes, path: str) -> None:
    """Guards against a coded body, or the framing of its chunks, that passes for the plain one."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", broken + CHUNKED, ending=Ending.CLOSED))
        assert (answer.status, answer.body) == (502, b"")

    play(scenario())


BLANK_BEHIND = {
    "length": (head(b"200", SIGNED, FRAMING + b" \t"), BODY),
    "chunked": (head(b"200", SIGNED, b"Transfer-Encoding: Chunked "), CHUNKED),
}
"""Heads and bodies whose framing has blanks behind its value, which HTTP allows."""


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize(("framed", "body"), BLANK_BEHIND.values(), ids=BLANK_BEHIND)
def test_a_cut_body_is_not_whole_when_blanks_follow_its_framing(
    framed: bytes, body: bytes, path: str
) -> None:
    """Guards against an answer that was cut and counts as one that ends with its connection."""

    async def scenario() -> None:
        assert (await ask(path, RawWorker("w1", framed + body))).body == BODY
        cut = RawWorker("w1", framed + body[:-1], ending=Ending.CLOSED)
        answer = await ask(path, cut)
        assert answer.status == 502 or not answer.whole

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_bytes_behind_an_interim_head_are_not_the_answers(path: str) -> None:
    """Guards against a body of an interim answer that is put before the answer's own."""

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
def test_a_sound_answer_is_passed_on(sound: bytes, path: str) -> None:
    """Guards against checks of a head that refuse what HTTP allows."""

    async def scenario() -> None:
        answer = await ask(path, RawWorker("w1", sound + BODY))
        assert (answer.status // 100, answer.body, answer.whole) == (2, BODY, True)

    play(scenario())


STORES_HEADS = NO_HEADS | NO_FRAMINGS


@pytest.mark.parametrize("broken", STORES_HEADS.values(), ids=STORES_HEADS)
def test_a_stores_answer_that_is_none_tells_nothing(broken: bytes) -> None:
    """Guards against an epoch that is learnt from a head that is none in HTTP."""

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
"""Body of a request that is longer than the sockets' buffers."""

PART = b"id: 1\ndata: x\n\n"
EARLY = head(b"200", SIGNED) + PART


async def upload(path: str, worker: PlatformWorker) -> Answer | None:
    """The answer to a long upload; None if the connection closed without one."""
    async with Fleet({service_of(path): [worker]}) as fleet:
        limits = {"maxBodyBytes": len(UPLOAD), "tokensPerS": 300_000}
        await fleet.store.put("op", "config", configuration(2, limits=limits))
        await until(lambda: (rules := fleet.gateway.state.rules) is not None and rules.version == 2)
        return await fleet.try_ask(path, body=UPLOAD)


@pytest.mark.parametrize("pause_s", [0.0, 0.05])
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSED])
@pytest.mark.parametrize("path", PATHS)
def test_a_part_of_an_answer_is_not_whole_when_its_upload_is_reset(
    path: str, ending: Ending, pause_s: float
) -> None:
    """Guards against a reset that the unfinished upload hides behind an orderly end."""

    async def scenario() -> None:
        worker = RawWorker("w1", EARLY, early=True, ending=ending, pause_s=pause_s)
        answer = await upload(path, worker)
        assert answer is None or answer.status == 502 or not answer.whole
        assert worker.closed_early == 1

    play(scenario())


@pytest.mark.parametrize("path", PATHS)
def test_an_early_answer_is_whole_when_its_worker_reads_the_upload_to_its_end(path: str) -> None:
    """Guards against a sound early answer that is refused since its upload was not complete."""

    async def scenario() -> None:
        worker = RawWorker("w1", EARLY, early=True, ending=Ending.HALF_CLOSED)
        answer = await upload(path, worker)
        assert answer is not None
        assert (answer.status, answer.body, answer.whole) == (200, PART, True)
        assert [received.body for received in worker.received] == [UPLOAD]

    play(scenario())
