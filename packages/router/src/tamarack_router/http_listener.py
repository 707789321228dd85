"""An HTTP listener with its own threads, built on cheroot."""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable
from types import TracebackType
from typing import Any, NamedTuple, Protocol
from urllib.parse import parse_qsl

from cheroot.server import Gateway

from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_router.call_timeouts import CallTimeouts
from tamarack_router.chunked_body import ChunkedBody
from tamarack_router.drain import drain
from tamarack_router.http_reply import Reply, refusal_reply
from tamarack_router.http_server import (
    MAX_HEADER_BYTES,
    BoundedServer,
    LazyHandshakeAdapter,
    connection_class,
)
from tamarack_router.logs import PartLog
from tamarack_router.open_connections import OpenConnections

# With cheroot's default backlog of 5, connections are reset when 200 callers connect at once.
BACKLOG = 1_024
KEEP_ALIVE_CONNECTIONS = 2_000
IDLE_TIMEOUT_S = 10


class HttpCall(NamedTuple):
    """One parsed request head, its body still unread.

    Attributes
    ----------
    path
        Decoded path, for routing.
    target
        Path and query as the caller sent them, for forwarding.
    headers
        Headers by name in lower case.
    timeouts
        Bounds the time in which this call's body is read.
    """

    method: str
    path: str
    target: str
    query: dict[str, str]
    headers: dict[str, str]
    sock: socket.socket
    reader: Any
    timeouts: CallTimeouts

    @property
    def content_length(self) -> int | None:
        """The Content-Length; None if it is absent or not a number."""
        text = self.headers.get("content-length", "")
        return int(text) if text.isdecimal() else None


class App(Protocol):
    """Handles the calls of a listener."""

    def respond(self, call: HttpCall) -> Reply | None:
        """Answer a call, or take over its socket and return None."""


class ListenerLimits(NamedTuple):
    """Limits on the threads, on the connections and on the time in which a call is received.

    Attributes
    ----------
    send_ms
        Longest time for head and body together, in milliseconds.
    connections
        Maximum number of open connections.
    share_alpha
        Slow calls of one workspace may hold this many times the free threads.
    """

    threads: int
    send_ms: int
    connections: int
    share_alpha: float = 1.0


class HttpListener:
    """Serves an app at an address while its context is open.

    Parameters
    ----------
    part
        Name for threads and logs.
    certificate, private_key
        PEM files for TLS; empty for plain HTTP.
    """

    def __init__(
        self,
        part: str,
        address: str,
        app: App,
        limits: ListenerLimits,
        *,
        certificate: str = "",
        private_key: str = "",
    ) -> None:
        host, _, port = address.rpartition(":")
        self._timeouts = CallTimeouts(limits.send_ms / 1000, limits.threads, limits.share_alpha)
        self._server = BoundedServer(
            (host, int(port)),
            _gateway_for(app, PartLog(part), self._timeouts),
            minthreads=limits.threads,
            maxthreads=limits.threads,
            server_name="tamarackd",
        )
        self._server.request_queue_size = BACKLOG
        self._server.max_request_header_size = MAX_HEADER_BYTES
        # The app limits bodies itself: the library's own error lacks the outcome "not-run".
        self._server.max_request_body_size = 0
        self._server.keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
        self._server.timeout = IDLE_TIMEOUT_S
        open_connections = OpenConnections(limits.connections)
        self._server.open_connections = open_connections
        self._server.ConnectionClass = connection_class(self._timeouts, open_connections)
        self._server.error_log = _error_log(PartLog(part))  # type: ignore[method-assign]
        if certificate:
            self._server.ssl_adapter = LazyHandshakeAdapter(certificate, private_key)
        self._thread = threading.Thread(target=self._server.serve, name=part, daemon=True)

    def __enter__(self) -> HttpListener:
        self._server.prepare()
        self._thread.start()
        self._timeouts.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._timeouts.stop()
        self._server.stop()

    @property
    def address(self) -> str:
        """Bound address as `IP:PORT`."""
        host, port = self._server.bind_addr[:2]
        return f"{host}:{port}"


def _gateway_for(app: App, log: PartLog, timeouts: CallTimeouts) -> type:
    class AppGateway(Gateway):
        """Passes a request to the app, then writes its reply or hands over the socket."""

        def respond(self) -> None:
            req = self.req
            if (fault := _fault_of(req)) is not None:
                _write(req, refusal_reply(fault)._replace(close=True))
                return
            if req.chunked_read:
                req.rfile = ChunkedBody(req.conn.rfile)
            try:
                reply = app.respond(_call(req, timeouts))
            except Exception as error:
                log.error(
                    "A call raised an exception.",
                    error=repr(error),
                    path=req.path.decode("latin-1"),
                )
                message = "The router failed; whether the request ran is not known."
                refusal = Refusal(ErrorCode.INTERNAL, message, Outcome.UNKNOWN)
                reply = refusal_reply(refusal)
            if reply is not None:
                _write(req, reply)
                return
            # Another task now owns the socket; cheroot must neither answer nor close it.
            req.sent_headers = True
            req.close_connection = True
            req.conn.linger = True

    return AppGateway


def _bad_request(message: str) -> Refusal:
    return Refusal(ErrorCode.BAD_REQUEST, message)


def _fault_of(req: Any) -> Refusal | None:
    """Check the version and framing of a request; None if it can be read."""
    if req.response_protocol != "HTTP/1.1":
        # HTTP/1.0 has no chunked encoding: a truncated stream would look complete.
        return _bad_request("HTTP/1.1 is needed.")
    length = req.inheaders.get(b"Content-Length")
    if length is not None and (req.chunked_read or not length.isdigit()):
        # The library would read a body of negative length to its end, whatever its size.
        return _bad_request("The length of the body is ambiguous.")
    return None


def _leaves_body_unread(req: Any) -> bool:
    """Whether bytes of the body may follow, or were read beyond its end."""
    return bool(req.chunked_read or getattr(req.rfile, "remaining", 0))


def _call(req: Any, timeouts: CallTimeouts) -> HttpCall:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in req.inheaders.items()
    }
    query = dict(parse_qsl(req.qs.decode("latin-1"), keep_blank_values=True))
    return HttpCall(
        req.method.decode("latin-1"),
        req.path.decode("latin-1"),
        req.uri.decode("latin-1"),
        query,
        headers,
        req.conn.socket,
        req.rfile,
        timeouts,
    )


def _write(req: Any, reply: Reply) -> None:
    # With a connection that stays open, cheroot would first read the rest of the body into memory.
    closes = reply.close or _leaves_body_unread(req)
    req.status = f"{reply.status} {_reason_phrase(reply.status)}".encode()
    req.outheaders = [
        (b"Content-Type", reply.content_type.encode()),
        (b"Content-Length", str(len(reply.body)).encode()),
        *((name.encode(), value.encode("latin-1", "replace")) for name, value in reply.headers),
    ]
    req.close_connection = req.close_connection or closes
    req.ensure_headers_sent()
    if req.method != b"HEAD":
        req.write(reply.body)
    if closes:
        drain(req.conn.socket)


def _reason_phrase(status: int) -> str:
    from http import HTTPStatus

    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _error_log(log: PartLog) -> Callable[..., None]:
    def write(message: str = "", level: int = 20, traceback: bool = False) -> None:
        log.warning("The HTTP library reported an error.", detail=str(message)[:300])

    return write
