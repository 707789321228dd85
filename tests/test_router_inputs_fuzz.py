"""Inputs of any content to a whole router: no task ends, and it still answers afterwards."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import types
import typing
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from gateway_site import Fleet, connect, play, read_answer
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from tamarack_core.stream_origins import BegunStreams
from tamarack_core.wire import _KINDS
from tamarack_gateway.gateway import Gateway
from tamarack_gateway.peer_messages import Alive, Digest, Gathered, Notice, Report, TableVersions
from tamarack_platform.settings import settings_from
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, ReceivedRequest, Script

# The same examples in each run, so that the result is reproducible.
reproducible = settings(
    max_examples=25,
    derandomize=True,
    deadline=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large],
)

NUMBERS = ["0", "-1", "5", "1e999", "nan", "99999999999999999999", "9" * 5_000, "0x5", "", "٣"]

token = st.sampled_from(
    [
        *("Host", "Content-Length", "Transfer-Encoding", "Expect", "Connection", "Upgrade"),
        *("X-Attempt-Id", "X-Deadline-Ms", "X-Token-Usage", "X-Prompt-Prefix", "X-Length-Hint"),
        *("Last-Event-Id", "Resumes", "X-Model", "Authorization", "X-Target-Instance"),
    ]
)
value = st.one_of(
    st.sampled_from(NUMBERS),
    st.sampled_from(["shop.example", "chunked", "100-continue", "close", "Token key-one", "a:1,b"]),
    st.sampled_from([f"{one},{other}" for one in NUMBERS for other in NUMBERS[:4]]),
    st.text(st.characters(max_codepoint=255), max_size=20),
)
path = st.sampled_from(["/page/1", "/search/1", "/draft/1", "/rewrite/1", "*", "http://[/", "//"])


def settled(gateway: Gateway) -> None:
    """Check that nothing has failed that only the event loop would see."""
    gc.collect()
    assert not gateway.tasks.failures, gateway.tasks.failures
    assert not gateway.tasks.down


@contextlib.asynccontextmanager
async def a_fleet(*pool: PlatformWorker) -> AsyncIterator[Fleet]:
    async with Fleet({"web": [PlatformWorker("w1")], "pool": list(pool)}) as fleet:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(fleet.gateway.tasks.record_context)
        yield fleet


async def served(fleet: Fleet, target: str) -> None:
    """Check that the router answers requests and operators."""
    async with asyncio.timeout(10):
        while (await fleet.ask(target)).status != 200:
            await asyncio.sleep(0.05)
        for page in ("/metrics", "/status", "/quarantine"):
            reader, writer = await connect(fleet.gateway.metrics_address)
            writer.write(f"GET {page} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            assert (await read_answer(reader)).status == 200
            writer.close()


# callers


def head(method: str, target: str, fields: list[tuple[str, str]]) -> bytes:
    lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {text}" for name, text in fields)]
    return "\r\n".join([*lines, "", ""]).encode("utf-8", "replace")


near_valid = st.builds(
    lambda target, fields: head(
        "POST", target, [("Host", "shop.example"), ("X-Attempt-Id", "a"), *fields]
    ),
    path,
    st.lists(st.tuples(token, value), max_size=5),
)
heads = st.one_of(near_valid, near_valid, st.binary(max_size=80))


@reproducible
@given(st.lists(st.lists(heads, min_size=1, max_size=3), max_size=25))
@example([[head("POST", "/draft/1", [("X-Attempt-Id", "a"), ("X-Token-Usage", "9" * 5_000)])]])
def test_heads_of_any_content_end_no_task(connections: list[list[bytes]]) -> None:
    async def scenario() -> None:
        async with a_fleet(PlatformWorker("w2", Script(events=2))) as fleet:
            for pieces in connections:
                reader, writer = await connect(fleet.gateway.callers)
                writer.writelines(pieces)
                writer.write_eof()
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.1):
                        await reader.read()
                writer.close()
            await served(fleet, "/draft/1")
            settled(fleet.gateway)

    play(scenario())


# endpoints


class RawWorker(PlatformWorker):
    """Answers each request with bytes of the test, closes, and serves properly without any left."""

    def __init__(self, name: str, answers: list[bytes]) -> None:
        super().__init__(name, Script(events=2))
        self._raw = answers

    async def _stream(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if not self._raw:
            return await super()._stream(script, received, writer)
        attempt = received.headers.get("x-attempt-id", "").encode()
        writer.write(self._raw.pop().replace(b"ATTEMPT", attempt))
        await writer.drain()
        return False


answer_names = st.sampled_from(
    [
        *("Content-Length", "Transfer-Encoding", "Keep-Alive", "Connection", "Retry-After"),
        *("Server-Leaving", "X-Not-Executed", "X-Attempt-Id", "Content-Encoding", "Date"),
    ]
)
answer_values = value | st.sampled_from(["timeout=" + "9" * 400, "timeout=nan", "ATTEMPT"])
events = st.one_of(
    st.sampled_from(NUMBERS).map(lambda number: f"id: {number}\ndata: x\n\n".encode()),
    st.binary(max_size=40),
    st.just(b"id: 1\ndata: x\n\n"),
)
bodies = st.one_of(
    st.lists(events, max_size=4).map(
        lambda parts: b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts if p) + b"0\r\n\r\n"
    ),
    st.binary(max_size=60),
    st.sampled_from([b"ffffffffffffffffff\r\n", b"5;" + b"x" * 70_000, b"0\r\nA: b\r\n\r\n"]),
)


def answer(status: str, fields: list[tuple[str, str]], body: bytes, *, chunked: bool) -> bytes:
    framing = [("Transfer-Encoding", "chunked")] if chunked else []
    signed = [("X-Attempt-Id", "ATTEMPT"), ("X-Server-Stamp", "s"), *framing]
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {text}" for name, text in [*signed, *fields])]
    return "\r\n".join([*lines, "", ""]).encode("utf-8", "replace") + body


answers = st.one_of(
    st.builds(
        answer,
        st.sampled_from(["200", "200", "200", "503", "421", "100", "204", "999", "99999", "x"]),
        st.lists(st.tuples(answer_names, answer_values), max_size=3),
        bodies,
        chunked=st.booleans(),
    ),
    st.binary(max_size=80),
)
HUGE_ID = b"%x\r\nid: %s\n\n\r\n" % (5_006, b"9" * 5_000)


@reproducible
@given(st.lists(answers, max_size=20))
@example([answer("200", [], HUGE_ID, chunked=True)])
@example([answer("503", [("Retry-After", "1e999")], b"", chunked=False)])
def test_answers_of_any_content_end_no_task(raw: list[bytes]) -> None:
    async def scenario() -> None:
        async with a_fleet(RawWorker("w2", raw)) as fleet:
            while raw:
                before = len(raw)
                reply = await fleet.try_ask("/draft/1", X_Deadline_Ms="1000")
                assert reply is None or reply.status != 500
                if len(raw) == before:
                    # It rests, as one of the answers asked for.
                    break
            raw.clear()
            await served(fleet, "/page/1")
            settled(fleet.gateway)

    play(scenario())


# peers

FLOATS = [0.0, -1.0, 5.0, 1e308, -1e308, float("nan"), float("inf"), float("-inf")]
INTS = [0, -1, 5, 2**31, 2**53, 2**63 - 1, -(2**63), BORN_MS, BORN_MS]
NAMES = ["w2", "pool", "shop", "router-1", "router-9", "a", "", "servers", "op", "v1", "x" * 300]


def values_of(kind: Any) -> st.SearchStrategy[Any]:
    """Values of a type in messages between routers, extreme ones among them."""
    origin, inner = typing.get_origin(kind), typing.get_args(kind)
    simple: dict[Any, st.SearchStrategy[Any]] = {
        float: st.sampled_from(FLOATS),
        int: st.sampled_from(INTS),
        str: st.sampled_from(NAMES),
        bool: st.booleans(),
        bytes: st.binary(max_size=20),
        type(None): st.none(),
    }
    if kind in simple:
        return simple[kind]
    if origin in (typing.Union, types.UnionType):
        return st.one_of([values_of(one) for one in inner])
    if origin is typing.Annotated:
        return values_of(inner[0])
    if origin is list:
        return st.lists(values_of(inner[0]), max_size=2)
    if origin is dict:
        return st.dictionaries(values_of(inner[0]), values_of(inner[1]), max_size=2)
    if origin is tuple and inner[-1] is not ...:
        return st.tuples(*map(values_of, inner))
    if origin in (tuple, frozenset, set):
        return st.lists(values_of(inner[0]), max_size=2)
    fields = typing.get_type_hints(kind, include_extras=True)
    return st.tuples(*(values_of(field) for field in fields.values()))


KINDS = (Report, Digest, Gathered, TableVersions, Alive, BegunStreams, *typing.get_args(Notice))
messages = st.one_of([st.tuples(st.just(_KINDS[kind]), values_of(kind)) for kind in KINDS])
frames = st.one_of(
    st.lists(messages, max_size=3).map(msgspec.msgpack.encode),
    st.binary(max_size=60),
    st.just(b"\x91" * 100_000),
)
topics = st.sampled_from([b"r/a/", b"l/a/", b"x/a/", b"s/a/", b"", b"\xff"])


def news_of(age_ms: float, stamp_ms: float) -> list[tuple[bytes, bytes]]:
    """Frames with empty changes of all tables, of extreme times."""
    frames = []
    for table in ("op", "servers", "routers", "quarantine"):
        news = [table, 0, 0, age_ms, [], {"router-1": stamp_ms}, False]
        report = ["router-9", stamp_ms, None, None, news, None, None]
        frames.append((b"r/a/", msgspec.msgpack.encode([[64, report]])))
    return frames


def work_of(number: float, count: int) -> list[tuple[bytes, bytes]]:
    """Frames with one extreme number at each place that concerns an engine or a workspace."""
    placed = [["w2", number, [["aa", count], ["b", count]], BORN_MS]]
    seen = [["w2", number, number, BORN_MS]]
    placements = [placed, {"pool": [["shop", count, count]]}, seen]
    summary = ["router-9", 1, "a", "127.0.0.1:1", True, True, False]
    report = ["router-9", number, summary, placements, None, None, None]
    kinds = [[64, report], [65, ["router-8", [report]]], [66, [placements]]]
    return [(topic, msgspec.msgpack.encode(kinds)) for topic in (b"r/a/", b"l/a/")]


@reproducible
@given(st.lists(st.tuples(topics, frames), max_size=40))
@example(work_of(float("nan"), 2**63 - 1))
@example(work_of(float("inf"), -(2**63)))
@example(work_of(float("-inf"), 0))
@example(work_of(1e308, 2**63 - 1) * 3)
@example(news_of(float("nan"), float("nan")))
@example(news_of(float("-inf"), float("inf")))
def test_messages_of_peers_of_any_content_end_no_task(
    received: list[tuple[bytes, bytes]],
) -> None:
    async def scenario() -> None:
        async with a_fleet(PlatformWorker("w2", Script(events=2))) as fleet:
            for topic, frame in received:
                fleet.gateway._peers._sockets._dispatch([topic, frame])
                await asyncio.sleep(0)
            await served(fleet, "/draft/1")
            settled(fleet.gateway)

    play(scenario())


# settings

FIELDS: dict[str, Any] = {
    "nodeName": "router-1",
    "ip": "127.0.0.1",
    "zone": "a",
    "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "directory": "127.0.0.1:3"},
    "internalPorts": [0],
    "bounds": {"revokeMs": 5_000, "evacuateMs": 5_000, "graceS": 8, "ttl_max_s": 5},
    "platform": {"address": "127.0.0.1:9"},
    "zones": {"a": "r"},
    "limits": {"maxFds": 1_224},
}
odd = st.one_of(
    st.sampled_from([*FLOATS, *INTS, *NUMBERS, None, True, [], {}]),
    st.sampled_from(["127.0.0.1:99999", "[::1]:x", "a..b:1", "\x00:1", ":", "x" * 300 + ":1"]),
)
changes = st.tuples(
    st.sampled_from(
        [
            *((name,) for name in FIELDS),
            *(("bounds", name) for name in ("revokeMs", "evacuateMs", "drainMs", "retrySlack")),
            *(
                ("bounds", name)
                for name in ("graceS", "quotaWindowS", "budgetWindowS", "coldSlack")
            ),
            *(("platform", "address"), ("limits", "maxFds"), ("zones", "a")),
        ]
    ),
    odd,
)


@settings(reproducible, max_examples=10)
@given(st.lists(changes, min_size=1, max_size=4))
@example([(("platform", "address"), "127.0.0.1:99999")])
@example([(("platform", "address"), "a..b:1")])
def test_settings_of_any_content_end_no_task(
    changed: list[tuple[tuple[str, ...], Any]],
) -> None:
    async def scenario() -> None:
        async with a_fleet(PlatformWorker("w2", Script(events=2))) as fleet:
            gateway = fleet.gateway
            for names, other in changed:
                fields = {**FIELDS, "platform": {"address": fleet.store.address}}
                fields = {n: dict(v) if isinstance(v, dict) else v for n, v in fields.items()}
                inner = fields
                for name in names[:-1]:
                    inner = inner[name]
                inner[names[-1]] = other

                def load(fields: Any = fields) -> Any:
                    return settings_from(fields)

                gateway._site = gateway._site._replace(load_settings=load)
                gateway.reload()
                for follower in gateway._feeds._followers.values():
                    follower._client.close()
                await asyncio.sleep(0.2)
                await fleet.try_ask("/draft/1")
            good = {**FIELDS, "platform": {"address": fleet.store.address}}
            gateway._site = gateway._site._replace(load_settings=lambda: settings_from(good))
            gateway.reload()
            await served(fleet, "/draft/1")
            settled(gateway)

    play(scenario())
