"""Listeners of tamarackd beside callers that don't behave: real processes with lowered limits."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
from collections.abc import Coroutine, Iterator
from pathlib import Path
from typing import Any

import pytest
from gateway_site import read_answer
from misbehaving_callers import BODY_BYTES, SENDABLE_BYTES, SHAPES, Shape, crowd

from tamarack_ctl.key_files import new_certificate
from tamarack_standins.deployments import ADMIN_TOKEN, Deployment, ServiceShape
from tamarack_standins.fleet import Fleet
from tamarack_standins.process_usage import ProcessUsage, process_usage

MEMORY_MB = 256
"""Memory of an instance, which the target of two years names for a daemon."""

CONNECTIONS = 100
"""Connections that the settings allow on each listener."""

DESCRIPTORS = 250
"""Bound of the open descriptors: the connections of callers, and those that the router opens."""

MANY = 400
"""Connections that are more than the settings allow."""

TEST_TIMEOUT_S = 60.0

SMALL = Deployment(
    "small",
    ["a"],
    [ServiceShape("models", "model", 1, 4, 3.0, "m"), ServiceShape("web", "plain", 1, 8, 5.0)],
    ["shop"],
    ["shop"],
)

SETTINGS = {
    "TAMARACK_MAX_CONNECTIONS": str(CONNECTIONS),
    "TAMARACK_MAX_BODY_BYTES": str(BODY_BYTES),
    "TAMARACK_HELD_MEMORY_BYTES": "8000000",
    "TAMARACK_ANSWER_MEMORY_BYTES": "4000000",
}

UNFINISHED = {
    "silent": Shape(b"", bare=True, callers=MANY),
    "half a head": Shape(b"", callers=MANY),
    "half a body": Shape(b"content-length: 10\r\n\r\nx", callers=MANY),
    "half a chunk": Shape(b"transfer-encoding: chunked\r\n\r\n10\r\nx", callers=MANY),
}
"""Requests that hold a connection open and almost nothing else."""

UNKNOWN = b"POST /services/web/page HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer unknown\r\n"
"""Opening of a caller whose key is not known."""


class Daemon:
    """One router, and ordinary requests for its listeners."""

    def __init__(self, fleet: Fleet, tls: ssl.SSLContext | None = None) -> None:
        (self._router,) = fleet.routers.values()
        self._tls = tls
        key = f"Authorization: Bearer {fleet.keys['shop']}\r\n"
        operator = f"Authorization: Bearer {ADMIN_TOKEN}\r\n"
        self._openings = {
            "callers": f"POST /services/web/page HTTP/1.1\r\nHost: x\r\n{key}".encode(),
            "admin": f"PUT /admin/v1/preset HTTP/1.1\r\nHost: x\r\n{operator}".encode(),
            "metrics": b"GET /metrics HTTP/1.1\r\nHost: x\r\n",
            "peers": b"POST / HTTP/1.1\r\nHost: x\r\n",
        }
        status = f"GET /admin/v1/status HTTP/1.1\r\nHost: x\r\n{operator}\r\n"
        self._ordinary = {
            "callers": self._openings["callers"] + b"content-length: 1\r\n\r\nx",
            "admin": status.encode(),
            "metrics": self._openings["metrics"] + b"\r\n",
        }

    @property
    def usage(self) -> ProcessUsage:
        """What the process holds; the test fails if it has ended."""
        usage = process_usage(self._router.pid)
        assert usage is not None, "the router has ended"
        return usage

    def address(self, listener: str) -> str:
        """Address of one of the router's listeners."""
        address = {
            "callers": self._router.address,
            "admin": self._router.admin,
            "metrics": self._router.metrics,
            "peers": self._router.peer,
        }
        return address[listener]

    def opening(self, listener: str) -> bytes:
        """Request line and usual headers of a caller of a listener."""
        return self._openings[listener]

    async def status(self, listener: str) -> int:
        """Status of the answer to one ordinary request on a new connection."""
        host, _, port = self.address(listener).rpartition(":")
        tls = self._tls if listener != "metrics" else None
        reader, writer = await asyncio.open_connection(host, int(port), ssl=tls)
        try:
            writer.write(self._ordinary[listener])
            return (await read_answer(reader)).status
        finally:
            writer.close()

    async def check(self, listener: str, opening: bytes, shape: Shape) -> list[int]:
        """Send a shape and check what must hold; returns the bytes that each caller could send."""
        asked = listener if listener in self._ordinary else "callers"
        async with crowd(self.address(listener), opening, shape) as callers:
            assert await self.status(asked) == 200
            usage = self.usage
            assert usage.peak_bytes < MEMORY_MB * 1_000_000
            assert usage.descriptors < DESCRIPTORS
        assert await self.status("callers") == 200
        return callers.sent


@contextlib.contextmanager
def daemon() -> Iterator[Daemon]:
    """Run a router and what it needs as processes."""
    with Fleet(SMALL, 1, settings=SETTINGS, address_ttl_ms=100) as fleet:
        yield Daemon(fleet)


def play(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a test's coroutine with a timeout."""
    asyncio.run(asyncio.wait_for(coroutine, TEST_TIMEOUT_S))


async def check_shape(tested: Daemon, listener: str, opening: bytes, shape: Shape) -> None:
    """Check a shape, and that bytes without end are not read without end.

    A connection of a peer carries messages for as long as both run.
    """
    sent = await tested.check(listener, opening, shape)
    assert listener == "peers" or not shape.endless or max(sent) < SENDABLE_BYTES


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES.keys())
@pytest.mark.parametrize("listener", ["callers", "admin", "metrics", "peers"])
def test_callers_that_do_not_behave_leave_the_daemon_to_others(listener: str, shape: Shape) -> None:
    """Guards against bytes of a few callers that fill a daemon's memory or are read for ever."""
    with daemon() as tested:
        play(check_shape(tested, listener, tested.opening(listener), shape))


@pytest.mark.parametrize(
    "name", [name for name in SHAPES if name.startswith(("body", "large", "tiny", "one"))]
)
def test_bodies_of_callers_without_a_key_leave_the_daemon_to_others(name: str) -> None:
    """Guards against a refused request whose body is read into memory before the next one."""
    with daemon() as tested:
        play(check_shape(tested, "callers", UNKNOWN, SHAPES[name]))


@pytest.mark.parametrize("shape", UNFINISHED.values(), ids=UNFINISHED.keys())
@pytest.mark.parametrize("listener", ["callers", "admin", "metrics"])
def test_connections_that_stay_open_leave_room_for_others(listener: str, shape: Shape) -> None:
    """Guards against unfinished requests that take all descriptors or threads of a daemon."""

    async def scenario(tested: Daemon) -> None:
        await tested.check(listener, tested.opening(listener), shape)

    with daemon() as tested:
        play(scenario(tested))


def test_silent_tls_connections_leave_the_daemon_to_others(tmp_path: Path) -> None:
    """Guards against a handshake that one caller never begins and all others wait for."""
    created = new_certificate(["127.0.0.1"], 1)
    certificate, key = tmp_path / "t.crt", tmp_path / "t.key"
    certificate.write_bytes(created.certificate)
    key.write_bytes(created.private_key)
    settings = {
        **SETTINGS,
        "TAMARACK_TLS_CERTIFICATE": str(certificate),
        "TAMARACK_TLS_KEY": str(key),
    }
    tls = ssl.create_default_context(cafile=str(certificate))
    silent = Shape(b"", bare=True)

    async def scenario(tested: Daemon) -> None:
        for listener in ("callers", "admin"):
            await tested.check(listener, b"", silent)

    with Fleet(SMALL, 1, settings=settings, ca_certs=str(certificate)) as fleet:
        play(scenario(Daemon(fleet, tls)))
