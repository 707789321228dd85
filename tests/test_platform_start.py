"""Signals and settings of the platform's program, from the start of its process on."""

from __future__ import annotations

import contextlib
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest


def started(environment: dict[str, str]) -> subprocess.Popen[bytes]:
    """Start the program, and wait until it imports its own modules."""
    process = subprocess.Popen(
        [sys.executable, "-v", "-m", "tamarack_platform"],
        env={**os.environ, **environment},
        stderr=subprocess.PIPE,
    )
    assert process.stderr is not None
    for line in process.stderr:
        # The first package of its own that the program imports.
        if line.startswith(b"import 'tamarack_gateway'"):
            return process
    raise AssertionError("the program did not start")


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_during_startup_do_not_look_like_a_crash(number: signal.Signals) -> None:
    """Guards against a stop or a settings change that looks like a crash of the process.

    This happens when the signal arrives while the program still imports its libraries: without a
    handler, the signal's default action terminates the process.
    """
    process = started({"TAMARACKTURN_CONFIG": "/nonexistent"})
    process.send_signal(number)
    _, _ = process.communicate(timeout=20)
    # The program exits with 2 if there are no settings, and with 0 if it is asked to stop.
    assert process.returncode in ((0, 2) if number == signal.SIGTERM else (2,))


SIGTERM_IN_DESTRUCTOR = """
import os, signal

class Finalized:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        sum(range(1000))

Finalized()
"""


def test_sigterm_is_not_lost_during_an_import(tmp_path: Path) -> None:
    """Guards against a router that is stopped as it starts and runs on until killed, or crashes.

    This happens if the signal handler raises while a library is imported: in code that swallows
    exceptions, or in the initialization of a native library (soak seed 400, once in three runs).
    """
    package = tmp_path / "tamarack_gateway"
    package.mkdir()
    (package / "__init__.py").write_text("")
    (package / "main.py").write_text(SIGTERM_IN_DESTRUCTOR)
    ended = subprocess.run(
        [sys.executable, "-m", "tamarack_platform"],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr.decode()


def test_every_error_in_the_settings_is_reported(tmp_path: Path) -> None:
    path = tmp_path / "local.yaml"
    path.write_text(
        "nodeName: a\nip: 127.0.0.1\nzone: z\nlisten: {front: '127.0.0.1:1', ready: x}\n"
        "internalPorts: []\nbounds: {}\nplatform: {address: y}\n"
    )
    ended = subprocess.run(
        [sys.executable, "-m", "tamarack_platform"],
        env={**os.environ, "TAMARACKTURN_CONFIG": str(path)},
        capture_output=True,
        timeout=20,
        check=False,
    )
    assert ended.returncode == 2
    errors = ended.stderr.decode()
    for fault in ("internalPorts", "listen.ready", "listen.directory", "platform.address"):
        assert fault in errors


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def test_repeated_sigterm_does_not_look_like_a_crash(tmp_path: Path) -> None:
    """Guards against a router that is stopped twice and is terminated by the second signal.

    This happens when the signal arrives while the process exits, after the event loop has removed
    its signal handlers (soak seeds 122, 143 and 147).
    """
    ports = [free_port() for _ in range(4)]
    # The metrics port is fixed, so each test process uses a loopback address of its own.
    address = f"127.77.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
    path = tmp_path / "local.yaml"
    path.write_text(
        f"nodeName: a\nip: {address}\nzone: z\ninternalPorts: [{ports[3]}]\nbounds: {{}}\n"
        f"listen: {{front: '127.0.0.1:{ports[0]}', ready: '127.0.0.1:{ports[1]}',"
        f" directory: '127.0.0.1:{ports[2]}'}}\nplatform: {{address: '127.0.0.1:1'}}\n"
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "tamarack_platform"],
        env={**os.environ, "TAMARACKTURN_CONFIG": str(path)},
        stdout=subprocess.PIPE,
    )
    assert process.stdout is not None
    for line in process.stdout:
        if b"router: started" in line:
            break
    while process.poll() is None:
        process.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            process.wait(timeout=0.003)
    assert process.returncode == 0
    process.stdout.close()
