"""The event loop of a router, and its listening sockets."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import socket
import struct
from pathlib import Path
from typing import Any

import pytest
from gateway_site import Fleet, connect, play, until

from tamarack_core.clock import BootClock
from tamarack_gateway import accepting_socket
from tamarack_gateway.endpoint_connection import ConnectionLostError, open_connection
from tamarack_gateway.event_loop import new_event_loop


def test_the_event_loop_does_not_open_io_uring() -> None:
    """Failure: a router polls by io_uring, which instances may forbid."""
    with asyncio.Runner(loop_factory=new_event_loop) as runner:
        runner.run(asyncio.sleep(0))
        opened = [os.path.realpath(entry) for entry in Path("/proc/self/fd").iterdir()]
    assert any("eventpoll" in target for target in opened)
    assert not [target for target in opened if "io_uring" in target]


def test_no_timer_is_called_before_its_time() -> None:
    """Failure: what is due at a time is omitted when its timer is called, as it isn't due yet."""
    clock = BootClock()

    async def wait_for_call(delay_ms: float) -> None:
        called = asyncio.Event()
        asyncio.get_running_loop().call_later(delay_ms / 1_000, called.set)
        await called.wait()

    async def wait_for_timeout(delay_ms: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay_ms / 1_000):
                await asyncio.Event().wait()

    async def run() -> None:
        for step in range(200):
            delay_ms = 0.3 + 0.017 * step
            for wait in (wait_for_call, wait_for_timeout):
                started_ms = clock.now_ms
                await wait(delay_ms)
                assert clock.now_ms - started_ms >= delay_ms

    play(run())


def test_a_router_without_free_descriptors_accepts_again_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: one error while accepting ends all accepting, or is retried without a pause."""
    failures = 0
    accept = socket.socket.accept

    def fail_once(listener: socket.socket) -> tuple[socket.socket, Any]:
        nonlocal failures
        if not failures:
            failures += 1
            raise OSError(errno.EMFILE, "too many open files")
        return accept(listener)

    async def run() -> None:
        async with Fleet({}) as fleet:
            monkeypatch.setattr(accepting_socket, "RETRY_MS", 20.0)
            monkeypatch.setattr(socket.socket, "accept", fail_once)
            _, writer = await connect(fleet.gateway.callers)
            await until(lambda: bool(failures) and bool(fleet.gateway._connections))
            writer.close()

    play(run())


def test_connections_that_are_accepted_at_the_limit_are_closed_unread() -> None:
    """Failure: a rejected connection stays open, and its caller waits for an answer."""

    async def run() -> None:
        async with Fleet({}) as fleet, fleet.router("router-2", descriptors=0) as router:
            reader, writer = await connect(router.callers)
            assert await reader.read() == b""
            assert router._caller_limit.turned_away == 1
            writer.close()

    play(run())


def reset_inside_an_answer(listener: socket.socket) -> None:
    """Accept a connection, send a part of an answer without a length, and reset it."""
    peer, _ = listener.accept()
    peer.send(b"HTTP/1.1 200 OK\r\n\r\nhel")
    peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    peer.close()


def test_an_answer_without_a_length_that_is_reset_with_its_last_bytes_is_not_complete() -> None:
    """Failure: a caller gets a part of an answer, framed as if it were the whole."""

    async def run() -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            host, port = listener.getsockname()
            connection = await open_connection(f"{host}:{port}", 1_000.0)
            connection.send(b"GET / HTTP/1.1\r\n\r\n")
            await until(lambda: not connection._transport.get_write_buffer_size())
            # Without a turn of the loop between: it finds the bytes and the reset together.
            reset_inside_an_answer(listener)
            with pytest.raises(ConnectionLostError):
                await connection.body()

    play(run())
