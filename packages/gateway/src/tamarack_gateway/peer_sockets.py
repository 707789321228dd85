"""Publish and subscribe sockets between routers."""

from __future__ import annotations

import asyncio
import contextlib
import threading
from collections.abc import Callable
from typing import Any

import zmq

from tamarack_core.wire import decode, encode

SEND_LIMIT = 200
"""Messages queued for a slow peer; more would only be outdated on arrival."""

MAX_FRAME_BYTES = 4_000_000
"""Maximum size of a frame; a peer that sends a larger one is disconnected."""

ZAP_DOMAIN = b"peers"
"""With a domain, connections of the protocol's first versions are refused: they begin without a
handshake, so that any bytes count as parts of a message, which may have any number."""

MAX_SUBSCRIPTION_BYTES = 4_096
"""The same for what subscribers send: topics, which are names."""

HEARTBEAT_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 2_500
"""A silent connection between routers is reopened after this time. Only the subscriber sends
heartbeats, as it is the end that connects; if both did, a router that may relay for 33 others would
process twice as many heartbeats while idle."""

KEEPALIVE_IDLE_S = 2
KEEPALIVE_PROBES = 3
"""The publisher relies on TCP keepalive to detect lost subscribers."""

FRAMES_PER_TURN = 32
"""Received frames that are dispatched before the event loop gets to its other work: after a freeze,
thousands may wait."""

TERM_TIMEOUT_S = 1.0
"""Longest time in seconds to wait for the library's threads at the exit; without a limit, a
connection that does not end would keep the process from ending."""

POLLIN = int(zmq.POLLIN)
"""As a number: the enumeration's own operators take longer than the call of the socket."""

RECONNECT_MS = 300
RECONNECT_MAX_MS = 2_000


def _can_be_encoded(message: Any) -> bool:
    try:
        encode([message])
    except Exception:
        return False
    return True


class PeerSockets:
    """One router's publishing socket and its subscriptions to others.

    Parameters
    ----------
    listen
        Address as `IP:PORT`; port 0 selects a free port.
    on_message
        Called with the topic and content of each received message.
    on_malformed
        Called with the topic and size in bytes of each frame that cannot be read.
    on_failure
        Called with what one message provoked, in `on_message` or when it was encoded; the others
        are still dispatched or sent.
    """

    def __init__(
        self,
        listen: str,
        on_message: Callable[[bytes, Any], None],
        on_malformed: Callable[[bytes, int], None] = lambda topic, size: None,
        on_failure: Callable[[Exception], None] = lambda error: None,
    ) -> None:
        self._on_message = on_message
        self._on_malformed = on_malformed
        self._on_failure = on_failure
        self._next_turn: asyncio.Handle | None = None
        self._dispatching = False
        self._context = zmq.Context()
        self._out = self._socket(zmq.PUB)
        self._in = self._socket(zmq.SUB)
        host, _, port = listen.rpartition(":")
        if port == "0":
            port = str(self._out.bind_to_random_port(f"tcp://{host}"))
        else:
            self._out.bind(f"tcp://{host}:{port}")
        self._address = f"{host}:{port}"
        self._peers: frozenset[str] = frozenset()
        self._topics: frozenset[bytes] = frozenset()

    def __enter__(self) -> PeerSockets:
        asyncio.get_running_loop().add_reader(self._in.fileno(), self._on_event)
        self._schedule_turn()
        return self

    def __exit__(self, *exc: object) -> None:
        asyncio.get_running_loop().remove_reader(self._in.fileno())
        if self._next_turn is not None:
            self._next_turn.cancel()
        self._out.close(linger=100)
        self._in.close(linger=0)
        ending = threading.Thread(target=self._context.term, name="peers-end", daemon=True)
        ending.start()
        ending.join(TERM_TIMEOUT_S)

    @property
    def address(self) -> str:
        """Address at which peers subscribe."""
        return self._address

    def subscribe(self, addresses: frozenset[str], topics: frozenset[bytes]) -> None:
        """Subscribe to exactly these topics of exactly these peers."""
        wanted = addresses - {self._address}
        if wanted == self._peers and topics == self._topics:
            return
        for topic in topics - self._topics:
            self._in.setsockopt(zmq.SUBSCRIBE, topic)
        for topic in self._topics - topics:
            self._in.setsockopt(zmq.UNSUBSCRIBE, topic)
        for address in wanted - self._peers:
            self._in.connect(f"tcp://{address}")
        for address in self._peers - wanted:
            self._disconnect(address)
        self._peers, self._topics = wanted, topics
        self._schedule_turn()

    def reconnect(self, address: str) -> None:
        """Open the connection to a subscribed peer anew.

        The library opens a broken connection again by itself, but not one whose peer has sent a
        frame that is too large.
        """
        if address in self._peers:
            self._disconnect(address)
            self._in.connect(f"tcp://{address}")
            self._schedule_turn()

    def _disconnect(self, address: str) -> None:
        # There is no connection any more to a peer that has sent too large a frame.
        with contextlib.suppress(zmq.ZMQError):
            self._in.disconnect(f"tcp://{address}")

    def publish(self, topic: bytes, *messages: Any) -> None:
        """Send messages to all subscribers without waiting; slow subscribers lose some."""
        data = self._encode(messages)
        if len(data) > MAX_FRAME_BYTES:
            # Its subscribers would disconnect, and lose other messages with it.
            self._on_failure(ValueError(f"a frame has {len(data)} bytes"))
        else:
            with contextlib.suppress(zmq.Again):
                self._out.send_multipart([topic, data], zmq.NOBLOCK)
        self._schedule_turn()

    def _encode(self, messages: tuple[Any, ...]) -> bytes:
        try:
            return encode(list(messages))
        except Exception as error:
            # A value that no frame can hold: the other messages are still sent.
            self._on_failure(error)
            return encode([one for one in messages if _can_be_encoded(one)])

    def _on_event(self) -> None:
        # At once, not in the next iteration of the loop, which would cost one more wake-up.
        if self._next_turn is None:
            self._dispatch_received()

    def _schedule_turn(self) -> None:
        """Have received frames dispatched, never by the caller: handlers publish in turn.

        The descriptor is edge-triggered. Each use of the receiving socket may consume its event, so
        that frames would stay unread until the next one arrives.
        """
        if self._next_turn is None and not self._dispatching and self._readable:
            self._next_turn = asyncio.get_running_loop().call_soon(self._dispatch_received)

    @property
    def _readable(self) -> bool:
        return bool(int(self._in.getsockopt(zmq.EVENTS)) & POLLIN)

    def _dispatch_received(self) -> None:
        self._next_turn, self._dispatching = None, True
        empty = False
        try:
            for _ in range(FRAMES_PER_TURN):
                # Asking first costs a fraction of a read that fails.
                if empty := not self._readable:
                    break
                self._dispatch(self._in.recv_multipart(zmq.NOBLOCK))
        finally:
            self._dispatching = False
            if not empty:
                self._schedule_turn()

    def _dispatch(self, parts: list[bytes]) -> None:
        frame = decode(parts[-1], "", 0, "") if len(parts) == 2 else None
        if frame is None:
            self._on_malformed(parts[0], len(parts[-1]))
            return
        for message in frame.messages:
            try:
                self._on_message(parts[0], message)
            except Exception as error:
                self._on_failure(error)

    def _socket(self, kind: int) -> zmq.Socket[bytes]:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.SNDHWM, SEND_LIMIT)
        socket.setsockopt(zmq.RCVHWM, SEND_LIMIT * 10)
        if kind == zmq.SUB:
            socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
            socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
            socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
            socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        else:
            socket.setsockopt(zmq.MAXMSGSIZE, MAX_SUBSCRIPTION_BYTES)
            socket.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
            socket.setsockopt(zmq.TCP_KEEPALIVE, 1)
            socket.setsockopt(zmq.TCP_KEEPALIVE_IDLE, KEEPALIVE_IDLE_S)
            socket.setsockopt(zmq.TCP_KEEPALIVE_INTVL, 1)
            socket.setsockopt(zmq.TCP_KEEPALIVE_CNT, KEEPALIVE_PROBES)
        return socket
