"""The callers of a soak: the requests that they send, and the checks of the answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from tamarack_standins.platform_worker import SIGNATURE
from tamarack_standins.soak_crashes import FATAL_BODIES

HOST = "soak.example"
ANSWER_S = 8.0
KINDS = {"/page/": "non_idempotent", "/search/": "idempotent"}
STREAMS = {"/rewrite/": False, "/draft/": True}
NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that state that the request did not run."""


class Sent(NamedTuple):
    """A request as its caller sent it, to the router with an address."""

    path: str
    key: str
    sent_s: float
    router: str


class SoakCalls:
    """Sends requests and records their answers.

    Parameters
    ----------
    counts, broken
        Updated with the number of answers by status, and with broken promises.

    Attributes
    ----------
    sent
        All requests by attempt id.
    answered_not_run
        Ids of attempts whose answer states that they did not run.
    on_leaving
        Called with a router and a worker when an answer says that the worker leaves.
    """

    def __init__(self, rng: random.Random, counts: Counter[str], broken: list[str]) -> None:
        self._random = rng
        self._counts = counts
        self._broken = broken
        self.sent: dict[str, Sent] = {}
        self.answered_not_run: set[str] = set()
        self.on_leaving: Callable[[str, str], None] = lambda router, worker: None

    async def call(self, path: str, key: str, address: str, body: bytes) -> None:
        """Send a request to a router and check the answer."""
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        attempt = f"a{len(self.sent)}"
        self.sent[attempt] = Sent(path, key, time.monotonic(), address)
        lines = [f"POST {path}x HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
        lines += ["X-Deadline-Ms: 2500", f"Content-Length: {len(body)}"]
        if path in STREAMS:
            lines += [f"Authorization: Token {key}", "X-Model: m", "X-Token-Usage: 300,40"]
            lines.append(f"X-Prompt-Prefix: s{self._random.randrange(9)}:200,o{attempt}:100")
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._read(reader, attempt, path in STREAMS, body)
        finally:
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, attempt: str, stream: bool, sent: bytes
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ")[1])
        self._counts[str(status)] += 1
        if status in NOT_RUN_STATUSES:
            self.answered_not_run.add(attempt)
        if "server-leaving: 1" in head and f"{SIGNATURE}." in head:
            worker = head.split(f"{SIGNATURE}.")[1].split("\r")[0]
            self.on_leaving(self.sent[attempt].router, worker)
        if "content-type: text/plain" in head and sent not in FATAL_BODIES:
            self._counts["others quarantined"] += 1
        if status != 200:
            return
        if "chunked" not in head:
            length = int(head.split("content-length: ")[1].split("\r")[0])
            body = await reader.readexactly(length)
            if stream or body.decode() != attempt:
                self._broken.append(f"{attempt} got {body!r}")
            return
        body = b""
        while size := int(await reader.readuntil(b"\r\n"), 16):
            body += (await reader.readexactly(size + 2))[:-2]
        self._check_events(body, attempt)

    def _check_events(self, body: bytes, attempt: str) -> None:
        events = [event for event in body.decode().split("\n\n") if event]
        if events != [f"id: {n}\ndata: {attempt}" for n in range(1, len(events) + 1)]:
            self._broken.append(f"{attempt} got other events: {events}")
