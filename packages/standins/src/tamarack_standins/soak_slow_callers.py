"""Callers of a soak that read large answers slowly and keep their connections, and their workers.

They read at a limited pace and stop reading for a while, over a small window, and ask again on the
same connection until it is closed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarack_standins.platform_store import PlatformStore
from tamarack_standins.platform_worker import PlatformWorker, ReceivedRequest, Script
from tamarack_standins.soak_callers import HOST
from tamarack_standins.soak_losses import Loss, LossChecks, Run

LARGE = {"/bulk/": "bulk", "/file/": "files"}
"""Services of the paths that are answered with large streams, and with large plain answers."""

WORKERS = {"bulk": 3, "files": 2}
SLOTS = 64
DEADLINE_S = 20.0

EVENTS = 49
MAX_BYTES = {"/bulk/": 3_000_000, "/file/": 1_500_000}
SLOWEST_BYTES_PER_S = 400_000.0
LONGEST_READ_S = 4.5
"""Bytes of the largest answers, and bounds of the pace: a router that stops can't answer a caller
that takes longer than its grace time to read."""

STALL_S = (0.5, 2.0)
EVENT_PAUSE_S = 0.04
ANSWER_PAUSE_S = 0.5
REFUSED_PAUSE_S = 0.05

HEAD_BYTES = (9_000, 15_000)
PIECES_PROBABILITY = 0.3
PIECE_BYTES = 1_500
PIECE_PAUSE_S = 0.005
"""Bytes of large request heads, how often a head is large and comes in pieces, and the pieces. The
limit of a head is 16,384 bytes."""

HEAD_STATUSES = (400, 413, 431)
"""Statuses of which none is due to a proper head."""

MAX_SEGMENT = 1_460
RECEIVE_BUFFER = 8_192
READ_BYTES = 16_384
"""Bytes of an ordinary network's segments, of a small window, and of a read."""


class Pace(NamedTuple):
    """How a caller reads: at a rate, with one stall after so many bytes."""

    bytes_per_s: float
    stall_after: int
    stall_s: float

    def due_s(self, count: int) -> float:
        """Seconds from the first byte on after which `count` bytes may have been read."""
        return count / self.bytes_per_s + (self.stall_s if count > self.stall_after else 0.0)


class LargeWorker(PlatformWorker):
    """Answers with as many bytes as the target tells, and records its runs."""

    def __init__(self, name: str, rng: random.Random, runs: dict[str, Run]) -> None:
        super().__init__(name)
        self._rng = rng
        self._runs = runs

    def _next_script(self, received: ReceivedRequest) -> Script:
        self._runs[received.headers.get("x-attempt-id", "")] = Run()
        size = int(received.target.rpartition("/")[2])
        if received.target.startswith("/file/"):
            pause_s = self._rng.uniform(0.0, ANSWER_PAUSE_S)
            return Script(body=b"x" * size, pause_s=pause_s)
        pause_s = self._rng.uniform(0.0, EVENT_PAUSE_S)
        return Script(events=EVENTS, body=b"x" * (size // EVENTS), event_pause_s=pause_s)

    async def _stream(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        with self._ending(received):
            return await super()._stream(script, received, writer)

    async def _answer(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        with self._ending(received):
            return await super()._answer(script, received, writer)

    def _ending(self, received: ReceivedRequest) -> contextlib.ExitStack:
        stack = contextlib.ExitStack()
        run = self._runs[received.headers.get("x-attempt-id", "")]
        stack.callback(lambda: setattr(run, "end_s", time.monotonic()))
        return stack


class SlowCallers:
    """Large workers, and callers that read their answers in odd ways.

    Parameters
    ----------
    losses, counts, broken
        Updated with runs and losses, with numbers of answers, and with broken promises.
    """

    def __init__(
        self,
        store: PlatformStore,
        rng: random.Random,
        losses: LossChecks,
        counts: Counter[str],
        broken: list[str],
    ) -> None:
        self._store = store
        self._random = rng
        self._losses = losses
        self._counts = counts
        self._broken = broken
        self._stack = contextlib.AsyncExitStack()
        self._attempts = 0

    async def __aenter__(self) -> SlowCallers:
        for service, count in WORKERS.items():
            for number in range(count):
                worker = LargeWorker(f"{service}-{number}", self._random, self._losses.runs)
                await self._stack.enter_async_context(worker)
                await self._store.put("servers", worker.name, worker.entry(service, slots=SLOTS))
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def call_until(
        self, stopping: Callable[[], bool], addresses: Sequence[str], key: Callable[[], str]
    ) -> None:
        """Ask again and again; each connection is kept until the router closes it.

        Parameters
        ----------
        stopping
            Whether no more requests are sent.
        addresses
            Callers' addresses of the routers.
        key
            Returns the valid key.
        """
        while not stopping():
            router = self._random.choice(addresses)
            with socket.socket() as sock:
                try:
                    await self._connect(sock, router)
                except OSError:
                    await asyncio.sleep(REFUSED_PAUSE_S)
                    continue
                while not stopping() and await self._call(sock, router, key()):
                    pass

    async def _connect(self, sock: socket.socket, router: str) -> None:
        host, _, port = router.partition(":")
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, MAX_SEGMENT)
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))

    async def _call(self, sock: socket.socket, router: str, key: str) -> bool:
        """Send a request and read its answer; whether the connection may be used again."""
        rng = self._random
        path = rng.choice(list(LARGE))
        size = rng.randint(MAX_BYTES[path] // 10, MAX_BYTES[path])
        self._attempts += 1
        attempt = f"s{self._attempts}"
        lines = [f"POST {path}{size} HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
        lines += [f"X-Deadline-Ms: {DEADLINE_S * 1000:.0f}", "Content-Length: 2"]
        if path == "/bulk/":
            lines += [f"Authorization: Token {key}", "X-Model: m", "X-Token-Usage: 300,40"]
            lines.append(f"X-Prompt-Prefix: a{rng.randrange(9)}:200,{attempt}:100")
        in_pieces = rng.random() < PIECES_PROBABILITY
        if in_pieces:
            lines.append(f"X-Filler: {'f' * rng.randint(*HEAD_BYTES)}")
        request = "\r\n".join([*lines, "", ""]).encode() + b"{}"
        sent_s, answer = time.monotonic(), bytearray()
        try:
            await _send(sock, request, PIECE_BYTES if in_pieces else len(request))
            sent_s = time.monotonic()
            async with asyncio.timeout(DEADLINE_S + 1):
                await _read(sock, answer, self._pace(size))
        except (OSError, EOFError):
            now_s = time.monotonic()
            self._losses.losses.append(
                Loss(attempt, router, sent_s, now_s, DEADLINE_S, len(answer), size)
            )
            self._counts["slow cut"] += 1
            return False
        return await self._check(attempt, path, size, bytes(answer))

    def _pace(self, size: int) -> Pace:
        rng = self._random
        stall_s = rng.choice((0.0, rng.uniform(*STALL_S)))
        slowest = max(SLOWEST_BYTES_PER_S, size / (LONGEST_READ_S - stall_s))
        rate = rng.choice((slowest, slowest, slowest * 1.5, 1e9))
        return Pace(rate, rng.randrange(size), stall_s)

    async def _check(self, attempt: str, path: str, size: int, answer: bytes) -> bool:
        head, _, body = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1])
        self._counts[f"slow {status}"] += 1
        if status in HEAD_STATUSES:
            self._broken.append(f"{attempt} got {status} for a proper head")
        if status != 200:
            await asyncio.sleep(REFUSED_PAUSE_S)
        elif path == "/bulk/" and body.count(b"x") != size // EVENTS * EVENTS:
            self._broken.append(f"{attempt} got {body.count(b'x')} bytes of {size} as a whole")
        elif path == "/file/" and body != b"x" * size:
            self._broken.append(f"{attempt} got {len(body)} bytes of {size} as a whole")
        return b"connection: close" not in head.lower()


async def _send(sock: socket.socket, request: bytes, piece: int) -> None:
    for start in range(0, len(request), piece):
        if start:
            await asyncio.sleep(PIECE_PAUSE_S)
        await asyncio.get_running_loop().sock_sendall(sock, request[start : start + piece])


async def _read(sock: socket.socket, answer: bytearray, pace: Pace) -> None:
    loop = asyncio.get_running_loop()
    began_s = 0.0
    while not _is_whole(answer):
        data = await loop.sock_recv(sock, READ_BYTES)
        if not data:
            raise EOFError
        now_s = time.monotonic()
        began_s = began_s or now_s
        answer += data
        await asyncio.sleep(max(0.0, began_s + pace.due_s(len(answer)) - now_s))


def _is_whole(answer: bytearray) -> bool:
    end = answer.find(b"\r\n\r\n")
    if end < 0:
        return False
    head = bytes(answer[:end]).lower()
    if b"chunked" in head:
        return answer.endswith(b"\r\n0\r\n\r\n")
    length = head.partition(b"content-length:")[2].partition(b"\r\n")[0]
    return len(answer) >= end + 4 + int(length or b"0")
