"""The callers of a soak: the requests that they send, and the checks of the answers."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

from tamarack_standins.platform_worker import SIGNATURE
from tamarack_standins.soak_crashes import FATAL_PREFIX

HOST = "soak.example"
ANSWER_S = 8.0
KINDS = {"/page/": "non_idempotent", "/search/": "idempotent"}
STREAMS = {"/rewrite/": False, "/draft/": True}
TAKE_UP_PAUSE_S = (0.0, 0.5)
"""Range of the seconds after which a caller takes a broken stream up."""

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses that state that the request did not run."""


class Sent(NamedTuple):
    """A request as its caller sent it, to the router with an address."""

    path: str
    key: str
    sent_s: float
    router: str


class _Stream:
    """A stream as its caller has it: the software version of each event, and its first attempt."""

    def __init__(self) -> None:
        self.events: list[str] = []
        self.first = ""


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
    last_events
        Last event of the last run of a stream, by attempt id; zero if it must not end as whole,
        None if that isn't known.
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
        self.last_events: dict[str, int | None] = {}
        self.answered_not_run: set[str] = set()
        self.on_leaving: Callable[[str, str], None] = lambda router, worker: None

    async def call(
        self, path: str, key: str, addresses: Sequence[str], body: bytes, blocks: str = ""
    ) -> None:
        """Send a request to the first router; take a broken stream up at the others in turn.

        Parameters
        ----------
        blocks
            Shared prefix blocks of its prompt; empty for a random one.
        """
        blocks = blocks or f"a{self._random.randrange(9)}:200"
        stream = _Stream()
        for address in addresses:
            attempt = f"a{len(self.sent)}"
            self.sent[attempt] = Sent(path, key, time.monotonic(), address)
            before = len(stream.events)
            if before:
                self._counts["streams taken up"] += 1
                await asyncio.sleep(self._random.uniform(*TAKE_UP_PAUSE_S))
            try:
                await self._send(attempt, body, stream, blocks)
                return
            except (OSError, asyncio.IncompleteReadError):
                if not (stream.events and STREAMS.get(path)):
                    raise
                stream.first = stream.first or attempt
            finally:
                self._counts["streams gone on"] += 0 < before < len(stream.events)
                self._check_versions(attempt, stream)

    async def _send(self, attempt: str, body: bytes, stream: _Stream, blocks: str) -> None:
        path, key, _, address = self.sent[attempt]
        host, _, port = address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = [f"POST {path}x HTTP/1.1", f"Host: {HOST}", f"X-Attempt-Id: {attempt}"]
        lines += ["X-Deadline-Ms: 2500", f"Content-Length: {len(body)}"]
        if path in STREAMS:
            lines += [f"Authorization: Token {key}", "X-Model: m", "X-Token-Usage: 300,40"]
            lines.append(f"X-Prompt-Prefix: {blocks},{len(self.sent):x}:100")
        if stream.events:
            lines += [f"Resumes: {stream.first}", f"Last-Event-Id: {len(stream.events)}"]
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await self._read(reader, attempt, body, stream if path in STREAMS else None)
        finally:
            writer.close()

    async def _read(
        self, reader: asyncio.StreamReader, attempt: str, sent: bytes, stream: _Stream | None
    ) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ")[1])
        self._counts[f"{'take-up ' if stream and stream.events else ''}{status}"] += 1
        if status in NOT_RUN_STATUSES:
            self.answered_not_run.add(attempt)
        if "server-leaving: 1" in head and f"{SIGNATURE}." in head:
            worker = head.split(f"{SIGNATURE}.")[1].split("\r")[0]
            self.on_leaving(self.sent[attempt].router, worker)
        if "content-type: text/plain" in head and not sent.startswith(FATAL_PREFIX):
            self._counts["others quarantined"] += 1
        if status != 200:
            return
        if "chunked" not in head:
            length = int(head.split("content-length: ")[1].split("\r")[0])
            body = await reader.readexactly(length)
            if stream is not None or body.decode() != attempt:
                self._broken.append(f"{attempt} got {body!r}")
            return
        text = ""
        try:
            while size := int(await reader.readuntil(b"\r\n"), 16):
                text += (await reader.readexactly(size + 2))[:-2].decode()
        finally:
            self._add_events(text, attempt, stream or _Stream())
        last = self.last_events.get(attempt)
        if stream is not None and last not in (None, len(stream.events)):
            self._broken.append(
                f"{attempt} ends as whole after {len(stream.events)} events of {last}"
            )

    def _add_events(self, text: str, attempt: str, stream: _Stream) -> None:
        events, _, rest = text.rpartition("\n\n")
        for event in events.split("\n\n") if events else ():
            expected = f"id: {len(stream.events) + 1}\ndata: {attempt} "
            if not event.startswith(expected):
                self._broken.append(f"{attempt} got {event!r} after {len(stream.events)} events")
            stream.events.append(event.rpartition(" ")[2])
        if rest:
            self._broken.append(f"{attempt} got a part of an event: {rest!r}")

    def _check_versions(self, attempt: str, stream: _Stream) -> None:
        if len(set(stream.events)) > 1:
            self._broken.append(f"{attempt} has events of several versions: {stream.events}")
