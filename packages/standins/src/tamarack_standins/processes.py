"""Child processes of a development fleet, terminated by pid."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import subprocess
import sys
import time
from types import TracebackType
from typing import Any

STOP_TIMEOUT_S = 20.0


class Processes:
    """Starts Python modules as processes and terminates all of them on exit."""

    def __init__(self) -> None:
        self._children: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> Processes:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for child in self._children.values():
            with contextlib.suppress(ProcessLookupError):
                # A child stopped by SIGSTOP handles SIGTERM only after SIGCONT.
                os.kill(child.pid, signal.SIGCONT)
                child.terminate()
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for child in self._children.values():
            try:
                child.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()

    def start(
        self,
        name: str,
        module: str,
        arguments: list[str],
        *,
        environment: dict[str, str] | None = None,
        log: Any = subprocess.DEVNULL,
        output: bool = False,
    ) -> subprocess.Popen[bytes]:
        """Start a module; `output` keeps its standard output for `read_line`."""
        child = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            env={**os.environ, **(environment or {})},
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE if output else log,
            stderr=log,
            start_new_session=True,
        )
        self._children[name] = child
        return child

    def pid(self, name: str) -> int:
        """Process id of a child."""
        return self._children[name].pid

    def signal(self, name: str, number: int) -> None:
        """Send a signal to a child."""
        self._children[name].send_signal(number)

    def wait(self, name: str, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait until a child exits; return its exit code."""
        return self._children[name].wait(timeout_s)

    def running(self, name: str) -> bool:
        """Whether a child is running."""
        return self._children[name].poll() is None


def read_line(child: subprocess.Popen[bytes]) -> dict[str, Any]:
    """Read the JSON line that a stand-in prints when it is ready."""
    assert child.stdout is not None
    line = child.stdout.readline()
    if not line:
        raise RuntimeError("stand-in process exited before it was ready")
    ready: dict[str, Any] = json.loads(line)
    return ready
