"""The forwarder between processes in tests."""

from __future__ import annotations

import gc
import socket
import sys
from typing import Any

import pytest

from tamarack_standins.forwarder import Forwarder


def test_open_connections_are_closed_before_the_forwarders_loop(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Failure: the collector closes them on a closed loop, which can end the test run itself."""
    ignored: list[Any] = []
    monkeypatch.setattr(sys, "unraisablehook", ignored.append)
    with socket.create_server(("127.0.0.1", 0)) as target:
        forwarder = Forwarder(f"127.0.0.1:{target.getsockname()[1]}")
        with forwarder:
            host, _, port = forwarder.address.partition(":")
            opener = socket.create_connection((host, int(port)))
            opener.sendall(b"x")
            accepted, _ = target.accept()
            assert accepted.recv(1) == b"x"
    opener.close()
    accepted.close()
    del forwarder
    gc.collect()
    assert ignored == []
