"""ZeroMQ sockets to the other routers."""

from __future__ import annotations

from collections import Counter
from types import TracebackType
from typing import Any, NamedTuple

import zmq

from tamarack_core.wire import encode

QUEUE_LIMIT_MESSAGES = 10_000
HEARTBEAT_MS = 2_000
HEARTBEAT_TIMEOUT_MS = 6_000
CLOSE_LINGER_MS = 300
IDLE_CONNECTION_MS = 5_000.0
MAX_FRAME_BYTES = 4_000_000

ZAP_DOMAIN = b"peers"
"""With a domain, connections of the protocol's first versions are refused: they begin without a
handshake, so that any bytes count as parts of a message, which may have any number. CURVE refuses
them by itself."""


class CurveKeys(NamedTuple):
    """CURVE key pair that all routers of a fleet share, in Z85."""

    public: str
    secret: str


class Received(NamedTuple):
    """A frame with the router and the incarnation that sent it."""

    sender: str
    boot: int
    data: bytes


class PeerLinks:
    """One bound socket for incoming frames, and one outgoing connection per peer.

    Parameters
    ----------
    boot
        Start time of this router, which distinguishes its incarnations.
    listen
        Address as `IP:PORT`; port 0 selects a free one.
    curve
        Keys for encrypted and authenticated connections; None for plain ones.
    """

    def __init__(
        self, router: str, boot: int, listen: str, *, curve: CurveKeys | None = None
    ) -> None:
        self._router = router
        self._boot = boot
        self._curve = curve
        self._context = zmq.Context()
        self._authenticator: Any = None
        if curve is not None:
            self._authenticator = self._start_authenticator(curve)
        self._inbound = self._context.socket(zmq.ROUTER)
        self._inbound.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._inbound.setsockopt(zmq.RCVHWM, QUEUE_LIMIT_MESSAGES)
        if curve is not None:
            self._secure(self._inbound, curve, server=True)
        else:
            self._inbound.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
        host, _, port = listen.rpartition(":")
        if port == "0":
            port = str(self._inbound.bind_to_random_port(f"tcp://{host}"))
        else:
            self._inbound.bind(f"tcp://{listen}")
        self._address = f"{host}:{port}"
        self._connections = 0
        self._last_sent_ms: dict[str, float] = {}
        self._peers: dict[str, tuple[str, zmq.Socket[bytes]]] = {}
        self._counts: Counter[str] = Counter()
        self._bytes_by_kind: Counter[str] = Counter()

    def __enter__(self) -> PeerLinks:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for name in list(self._peers):
            self.drop(name)
        self._inbound.close(linger=0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    @property
    def address(self) -> str:
        """Address at which peers reach this router."""
        return self._address

    @property
    def inbound(self) -> zmq.Socket[bytes]:
        """The socket to poll for frames."""
        return self._inbound

    @property
    def counts(self) -> Counter[str]:
        """Number of frames, messages and bytes received and sent."""
        return self._counts

    @property
    def bytes_by_kind(self) -> Counter[str]:
        """Bytes sent by message type."""
        return self._bytes_by_kind

    def receive(self) -> Received | None:
        """Return the next queued frame, None if there is none."""
        try:
            parts = self._inbound.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return None
        self._counts["frames_in"] += 1
        self._counts["bytes_in"] += len(parts[-1])
        names = parts[0].decode("latin-1").split("~")
        if len(names) != 3 or not names[1].isdecimal():
            self._counts["frames_malformed"] += 1
            return Received("", 0, b"")
        return Received(names[0], int(names[1]), parts[-1])

    def send(self, router: str, address: str, messages: list[Any], now_ms: float = 0.0) -> None:
        """Send messages as one frame; it is dropped and counted if the peer's queue is full."""
        data = encode(messages)
        self._counts["messages_out"] += len(messages)
        self._counts["bytes_out"] += len(data)
        self._counts["frames_out"] += 1
        self._bytes_by_kind[type(messages[0]).__name__] += len(data)
        try:
            sock = self._connect(router or address, address)
            self._last_sent_ms[router or address] = now_ms
            sock.send(data, zmq.NOBLOCK)
        except zmq.Again:
            self._counts["frames_dropped"] += 1

    def close_idle(self, now_ms: float) -> None:
        """Close connections that have been idle for `IDLE_CONNECTION_MS`.

        Membership probes reach every router in turn; connections to the whole fleet, if left open,
        would take most of a router's memory.
        """
        for name in [
            n
            for n, last_sent_ms in self._last_sent_ms.items()
            if now_ms - last_sent_ms >= IDLE_CONNECTION_MS
        ]:
            self.drop(name)

    def drop(self, router: str) -> None:
        """Close the connection to a peer; the next message opens a new one."""
        existing = self._peers.pop(router, None)
        self._last_sent_ms.pop(router, None)
        if existing is not None:
            existing[1].close(linger=CLOSE_LINGER_MS)

    def _connect(self, router: str, address: str) -> zmq.Socket[bytes]:
        existing = self._peers.get(router)
        if existing is not None and existing[0] == address:
            return existing[1]
        self.drop(router)
        sock: zmq.Socket[bytes] = self._context.socket(zmq.DEALER)
        # The identity is sent once per connection, so frames need not name their sender. It is
        # unique per connection, since two connections with one identity would displace each other.
        self._connections += 1
        identity = f"{self._router}~{self._boot}~{self._connections}"
        sock.setsockopt(zmq.ROUTING_ID, identity.encode())
        sock.setsockopt(zmq.SNDHWM, QUEUE_LIMIT_MESSAGES)
        sock.setsockopt(zmq.LINGER, CLOSE_LINGER_MS)
        sock.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        sock.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        if self._curve is not None:
            self._secure(sock, self._curve, server=False)
        sock.connect(f"tcp://{address}")
        self._peers[router] = (address, sock)
        return sock

    def _start_authenticator(self, curve: CurveKeys) -> Any:
        from zmq.auth.thread import ThreadAuthenticator

        authenticator = ThreadAuthenticator(self._context)
        authenticator.start()
        # Only the fleet's own key may connect; without a callback any key pair could.
        authenticator.configure_curve_callback("*", _SingleKeyAuthenticator(curve.public.encode()))
        return authenticator

    def _secure(self, sock: zmq.Socket[bytes], curve: CurveKeys, *, server: bool) -> None:
        sock.curve_publickey = curve.public.encode()
        sock.curve_secretkey = curve.secret.encode()
        if server:
            sock.curve_server = True
        else:
            sock.curve_serverkey = curve.public.encode()


class _SingleKeyAuthenticator:
    """Accepts a single CURVE key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's key, in Z85, is the fleet's."""
        return key == self._public
