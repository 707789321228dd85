"""cheroot's server and connections, with bounds on what callers may hold open."""

from __future__ import annotations

import socket
import ssl
import time
from typing import Any

from cheroot.server import HTTPConnection, HTTPServer
from cheroot.ssl.builtin import BuiltinSSLAdapter

from tamarack_router.call_timeouts import CallTimeouts
from tamarack_router.open_connections import OpenConnections

MAX_HEADER_BYTES = 16_384

HEAD_END = b"\r\n\r\n"


class WatchedConnection(HTTPConnection):
    """A connection that is counted, and whose time in a worker thread is bounded.

    Attributes
    ----------
    head_began_s
        Time at which the first bytes of an incomplete head were seen; None without such bytes.
    """

    timeouts: CallTimeouts
    open_connections: OpenConnections
    head_began_s: float | None = None
    _handshake_due = True

    def communicate(self) -> Any:
        """Read a request and respond; returns whether the connection stays open."""
        self.timeouts.watch(self.socket)
        try:
            keep = self._shake_hands() and super().communicate()
        finally:
            self.timeouts.release(self.socket)
        if keep:
            self.open_connections.answered(self)
        return keep

    def close(self) -> None:
        """Close the connection, or leave its socket to its new owner."""
        self.open_connections.remove(self)
        super().close()

    def _shake_hands(self) -> bool:
        if self._handshake_due and isinstance(self.socket, ssl.SSLSocket):
            try:
                self.socket.do_handshake()
            except OSError:
                return False
        self._handshake_due = False
        return True


class BoundedServer(HTTPServer):
    """Hands a connection to a worker thread only once a request's head has arrived.

    A caller that is silent, or stops within its head, takes a place among the connections and no
    thread. Heads inside TLS cannot be seen before a thread reads them.
    """

    open_connections: OpenConnections
    _connections: Any

    def process_conn(self, conn: Any) -> None:
        """Process a new connection, or one that has become readable."""
        is_new = conn.last_used is None
        if is_new and not self.open_connections.admit(conn):
            conn.close()
        elif is_new:
            self._connections.put(conn)
        elif not self._wait_for_head(conn):
            super().process_conn(conn)

    def _wait_for_head(self, conn: Any) -> bool:
        if conn.rfile.has_data() or isinstance(conn.socket, ssl.SSLSocket):
            return False
        try:
            head = conn.socket.recv(MAX_HEADER_BYTES + 1, socket.MSG_PEEK)
            if not head:
                conn.close()
                return True
            if HEAD_END in head or len(head) > MAX_HEADER_BYTES:
                if conn.head_began_s is not None:
                    conn.head_began_s = None
                    conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, 1)
                return False
            # The selector would tell of the same bytes again and again.
            conn.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVLOWAT, len(head) + 1)
        except OSError:
            conn.close()
            return True
        if conn.head_began_s is None:
            conn.head_began_s = time.time()
        self._connections.put(conn)
        conn.last_used = conn.head_began_s
        return True


class LazyHandshakeAdapter(BuiltinSSLAdapter):
    """Leaves handshakes to the worker threads: one in the accepting thread delays all callers."""

    def wrap(self, sock: Any) -> tuple[Any, dict[str, Any]]:
        """Wrap an accepted socket."""
        wrapped = self.context.wrap_socket(sock, do_handshake_on_connect=False, server_side=True)
        return wrapped, {}


def connection_class(timeouts: CallTimeouts, open_connections: OpenConnections) -> type:
    """Make the class of a listener's connections."""
    attributes = {"timeouts": timeouts, "open_connections": open_connections}
    return type("ListenerConnection", (WatchedConnection,), attributes)
