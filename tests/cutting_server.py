"""A stand-in of a server that sends truncated or malformed responses, for blocking clients."""

from __future__ import annotations

import json
import socket
import struct
import threading
from types import TracebackType

BODY = b'{"key": "a", "version": 1, "value": 2, "rows": [], "instances": []}'
HEAD = b"HTTP/1.1 200 OK\r\nServer: a\r\nContent-Length: %d\r\n\r\n" % len(BODY)

RESET = struct.pack("ii", 1, 0)
"""Linger option of a socket whose close resets its connection."""


class CuttingServer:
    """Answers each connection with the first bytes of an answer, and closes it.

    Parameters
    ----------
    sent
        Bytes sent of the answer.
    reset
        Whether the connection is reset, and not closed in order.
    drains
        Whether the server half-closes the connection and reads the rest of the request.
    """

    def __init__(
        self,
        sent: int | None = None,
        *,
        reset: bool = False,
        drains: bool = False,
        answer: bytes = HEAD + BODY,
    ) -> None:
        self._data = answer[:sent]
        self._reset = reset
        self._drains = drains
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.url = f"http://{self.address}"

    def __enter__(self) -> CuttingServer:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            with connection:
                received = connection.recv(65_536)
                if received.startswith(b"GET /v1/addresses"):
                    connection.sendall(self._addresses())
                    continue
                connection.sendall(self._data)
                if self._drains:
                    connection.shutdown(socket.SHUT_WR)
                    while connection.recv(65_536):
                        pass
                if self._reset:
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    def _addresses(self) -> bytes:
        body = json.dumps({"addresses": [self.address], "keeper_token": "t", "ttl_ms": 60_000})
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body.encode())
