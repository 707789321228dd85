"""A stand-in of the platform's workers: plain answers, streams and failures.

A `Script` sets how a request is answered; requests are recorded, so that tests can count runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from types import TracebackType
from typing import NamedTuple

from tamarack_core.clock import Clock
from tamarack_standins.wire import chunk, reset

SIGNATURE = "3e1b.07.5a2"
BORN_MS = 1_764_000_000_000
SOFTWARE_VERSION = "v1"


class Script(NamedTuple):
    """How one request is answered.

    Attributes
    ----------
    status, body
        Status and body of a plain answer.
    not_run
        Whether the answer states that the request did not run.
    signed
        Whether an answer carries the worker's signature; one with `not_run` never does.
    attempt
        Attempt id that the answer carries in place of the request's own.
    reset
        Whether the connection is reset instead of answered.
    silent
        Whether no answer is sent at all.
    extra
        Bytes sent after a complete answer.
    unframed
        Whether the body, also of a stream, has neither a length nor chunks and is delimited by the
        close of the connection.
    truncated
        Whether the last byte of the body is missing.
    events
        Number of events of a stream, None for a plain answer; `cut_after` resets the connection
        after so many, in the middle of the next.
    pause_s, event_pause_s
        Delay in seconds before the answer, and before each event of a stream.
    echo
        Whether the body, or each event's data, is the attempt id.
    tells_version
        Whether the body, or each event's data, is the worker's software version.
    early
        Whether the answer is sent before the request's body has been read.
    fatal
        Whether the worker crashes as it begins to answer, with all requests that it runs. With
        `events` it first sends as many; with `cut_after`, also a part of the next one.
    leaving
        Whether the answer says that the worker leaves.
    retry_after
        Value of the answer's `Retry-After`; empty for none.
    """

    status: int = 200
    body: bytes = b"hello"
    not_run: bool = False
    signed: bool = True
    attempt: str = ""
    reset: bool = False
    silent: bool = False
    extra: bytes = b""
    unframed: bool = False
    truncated: bool = False
    events: int | None = None
    cut_after: int | None = None
    pause_s: float = 0.0
    event_pause_s: float = 0.0
    echo: bool = False
    tells_version: bool = False
    early: bool = False
    fatal: bool = False
    leaving: bool = False
    retry_after: str = ""


FATAL = Script(fatal=True, pause_s=0.01)
"""Script of a request that crashes the worker, 10 ms after its arrival."""


class ReceivedRequest(NamedTuple):
    """A request as received by the worker."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class PlatformWorker:
    """Serves on a loopback address.

    Parameters
    ----------
    name
        Its id; a request that targets another id is answered 421.
    scripts
        Scripts for successive requests; the last one is reused for all further requests.
    address
        Address to listen on as `IP:PORT`; port zero takes a free one.
    zone
        Failure domain that its entry names.
    software_version
        Version of its software that its entry names.

    Attributes
    ----------
    received_ms
        Arrival of each received request on the monotonic clock, in milliseconds.
    cached_blocks
        Prefix blocks that it reports as cached: id, and size in tokens.
    born
        Start of its incarnation in milliseconds since the Unix epoch; another value under the same
        name is another incarnation. None reports no start.
    answering
        Cleared to delay received requests until it is set again.
    leaving
        Whether all its answers say that it leaves.
    fatal
        Bodies of requests that crash the worker as it begins to answer them.
    fatal_blocks
        Prefix blocks that do so, in any request in which they are not the last one.
    fatal_script
        How such requests are answered until the crash.
    on_fatal, on_end
        Called when such a request arrives, with its body or block, and when the worker has crashed.
    """

    def __init__(
        self,
        name: str,
        *scripts: Script,
        born: int | None = BORN_MS,
        address: str = "127.0.0.1:0",
        zone: str = "a",
        software_version: str = SOFTWARE_VERSION,
    ) -> None:
        self.name = name
        self.address = ""
        self._listen = address
        self.born = born
        self.software_version = software_version
        self.zone = zone
        self.received: list[ReceivedRequest] = []
        self.received_ms: list[float] = []
        self.closed_early = 0
        self.connections = 0
        self.cached_blocks: list[tuple[str, int]] = []
        self.answering = asyncio.Event()
        self.answering.set()
        self.leaving = False
        self.fatal: frozenset[bytes] = frozenset()
        self.fatal_blocks: frozenset[str] = frozenset()
        self.fatal_script = FATAL
        self.on_fatal: Callable[[bytes], None] = _ignore_fatal
        self.on_end: Callable[[], None] = _ignore_end
        self._scripts = list(scripts) or [Script()]
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._ended = False

    async def __aenter__(self) -> PlatformWorker:
        self._ended = False
        self._server = await asyncio.start_server(self._serve, *self._listen.split(":"))
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.end()

    async def end(self) -> None:
        """Terminate like a killed process: running requests are cut off."""
        self._ended = True
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self) -> None:
        """Crash from within a request: accept no more connections and break all open ones."""
        self._ended = True
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()
        self.on_end()

    def entry(self, service: str, *, state: str = "ready", slots: int = 4) -> dict[str, object]:
        """Its row in the store's list of workers."""
        entry: dict[str, object] = {
            "service": service,
            "address": self.address,
            "zone": self.zone,
            "version": self.software_version,
            "slots": slots,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        return entry if self.born is None else {**entry, "born": self.born}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._ended:
            # Accepted just before the end.
            writer.close()
            return
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
        self.connections += 1
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            self.closed_early += 1
        except asyncio.CancelledError:
            # The stand-in is closing; asyncio's streams would log a cancelled task as an error.
            self.closed_early += 1
        finally:
            writer.close()
            if task is not None:
                self._tasks.discard(task)

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return False
        received = _request(head)
        if received.target == "/api/kv-list":
            self._write_cached(writer)
            return True
        early = self._scripts[0].early and len(self._scripts) == 1
        if early:
            await self._answer(self._scripts[0], received, writer)
        length = int(received.headers.get("content-length", "0"))
        received = received._replace(body=await reader.readexactly(length))
        if early:
            self.received.append(received)
            return True
        if received.headers.get("x-target-instance") not in (None, self.name):
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n")
            return True
        self.received.append(received)
        self.received_ms.append(Clock().now_ms)
        culprit = self._culprit(received)
        if culprit is not None:
            self.on_fatal(culprit)
            script = self.fatal_script
        else:
            script = self._next_script(received)
        await self.answering.wait()
        if script.silent:
            await self._until_closed(reader)
            return False
        if script.pause_s:
            await asyncio.sleep(script.pause_s)
        if script.fatal:
            if script.events is not None:
                await self._stream(script, received, writer)
            self.crash()
            return False
        if script.reset:
            reset(writer)
            return False
        if script.events is not None:
            return await self._stream(script, received, writer)
        return await self._answer(script, received, writer)

    def _write_cached(self, writer: asyncio.StreamWriter) -> None:
        held = [["", part, tokens, "m"] for part, tokens in self.cached_blocks]
        listing = {"epoch": 1, "next": 1, "held": held, "born": self.born}
        body = json.dumps(listing).encode()
        notice = b"Server-Leaving: 1\r\n" if self.leaving else b""
        head = b"HTTP/1.1 200 OK\r\n%scontent-length: %d\r\n\r\n" % (notice, len(body))
        writer.write(head + body)

    def _next_script(self, received: ReceivedRequest) -> Script:
        """The script for a request; a subclass may choose by the request."""
        return self._scripts.pop(0) if len(self._scripts) > 1 else self._scripts[0]

    def _culprit(self, received: ReceivedRequest) -> bytes | None:
        if received.body in self.fatal:
            return received.body
        entries = received.headers.get("x-prompt-prefix", "").split(",")
        blocks = [entry.strip().partition(":")[0] for entry in entries]
        fatal = [block for block in blocks[:-1] if block in self.fatal_blocks]
        return fatal[0].encode() if fatal else None

    async def _until_closed(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError):
            await reader.read(1)
        self.closed_early += 1

    async def _answer(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        lines = self._head(script, received)
        body = self._body(script, received)
        if not script.unframed:
            lines.append(f"content-length: {len(body)}")
        body = body[:-1] if script.truncated else body
        writer.write("\r\n".join([*lines, "", ""]).encode() + body + script.extra)
        await writer.drain()
        if script.truncated and script.unframed:
            await asyncio.sleep(0.05)
            reset(writer)
        return not (script.unframed or script.truncated)

    async def _stream(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        lines = self._head(script, received)
        lines.append("content-type: text/event-stream")
        lines += [] if script.unframed else ["transfer-encoding: chunked"]
        framed = _unchanged if script.unframed else chunk
        writer.write("\r\n".join([*lines, "", ""]).encode())
        first = int(received.headers.get("last-event-id", "0")) + 1
        for number in range(first, (script.events or 0) + 1):
            if script.event_pause_s:
                await asyncio.sleep(script.event_pause_s)
            event = b"id: %d\ndata: %s\n\n" % (number, self._body(script, received))
            if script.cut_after is not None and number > script.cut_after:
                writer.write(framed(event[:-5]))
                await writer.drain()
                await asyncio.sleep(0.02)
                if not script.fatal:
                    reset(writer)
                return False
            writer.write(framed(event))
            await writer.drain()
        if script.fatal:
            return False
        writer.write(b"" if script.unframed else b"0\r\n\r\n")
        await writer.drain()
        return not script.unframed

    def _body(self, script: Script, received: ReceivedRequest) -> bytes:
        parts = [received.headers.get("x-attempt-id", "")] if script.echo else []
        parts += [self.software_version] if script.tells_version else []
        return " ".join(parts).encode() if parts else script.body

    def _head(self, script: Script, received: ReceivedRequest) -> list[str]:
        attempt = script.attempt or received.headers.get("x-attempt-id", "")
        lines = [f"HTTP/1.1 {script.status} Status", f"X-Attempt-Id: {attempt}"]
        if script.signed and not script.not_run:
            lines.append(f"X-Server-Stamp: {SIGNATURE}.{self.name}")
        if script.not_run:
            lines.append("X-Not-Executed: 1")
        if script.leaving or self.leaving:
            lines.append("Server-Leaving: 1")
        if script.retry_after:
            lines.append(f"Retry-After: {script.retry_after}")
        return lines


def _request(head: bytes) -> ReceivedRequest:
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    return ReceivedRequest(method, target, headers, b"")


def _unchanged(data: bytes) -> bytes:
    return data


def _ignore_end() -> None:
    """Default of `on_end`: does nothing."""


def _ignore_fatal(culprit: bytes) -> None:
    """Default of `on_fatal`: does nothing."""
