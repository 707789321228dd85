"""Writes the answer of a request to a caller's socket."""

from __future__ import annotations

import contextlib
import selectors
import socket
import ssl

import h11

from tamarack_core.errors import Outcome
from tamarack_router.http_reply import error_body, json_bytes, refusal_reply
from tamarack_router.stored_answer import AnswerState, StoredAnswer

WRITE_BYTES = 262_144

DISCARD_BYTES = 4_000_000
"""Bytes that a caller may send behind its request; one that sends more is given up."""

_PLACEHOLDER_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Follower:
    """Writes an answer from an offset on, as fast as the caller reads it.

    The stored answer is the buffer and the follower keeps only its position in it, so a slow
    caller needs no memory beyond the stored answer.

    Parameters
    ----------
    offset
        First byte of the body to write.
    state_only
        Whether the caller requests the state of the answer instead of its body.
    """

    def __init__(
        self,
        sock: socket.socket,
        answer: StoredAnswer,
        *,
        offset: int = 0,
        state_only: bool = False,
    ) -> None:
        sock.setblocking(False)
        self._sock = sock
        self._answer = answer
        self._position = offset
        self._state_only = state_only
        self._pending = memoryview(b"")
        self._head_sent = False
        self._complete = False
        self._gone = False
        self._discarded = 0
        self._http = h11.Connection(h11.SERVER)
        # h11 frames a response only after it has parsed a request; cheroot parsed the real one.
        self._http.receive_data(_PLACEHOLDER_REQUEST)
        self._http.next_event()
        self._http.next_event()

    @property
    def sock(self) -> socket.socket:
        """The caller's socket."""
        return self._sock

    @property
    def answer(self) -> StoredAnswer:
        """The answer that is followed."""
        return self._answer

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._gone

    @property
    def closed(self) -> bool:
        """Whether this router has closed the socket."""
        return self._sock.fileno() < 0

    @property
    def finished(self) -> bool:
        """Whether everything was written or the caller has disconnected."""
        return self._gone or (self._complete and not self._pending)

    @property
    def interest(self) -> int:
        """Selector events to wait for; a disconnect makes the socket readable."""
        writing = selectors.EVENT_WRITE if self._pending else 0
        return selectors.EVENT_READ | writing

    def ready(self, mask: int) -> None:
        """Handle the socket's readiness for reading or writing."""
        if mask & selectors.EVENT_READ:
            self._check_disconnect()
        if mask & selectors.EVENT_WRITE:
            self.pump()

    def follow(self, answer: StoredAnswer) -> None:
        """Continue with another copy of the same answer, from the current position."""
        self._answer = answer

    def pump(self) -> None:
        """Write the available part of the answer until the socket would block."""
        while not self._gone:
            if not self._flush():
                return
            data = self._next_bytes()
            if not data:
                return
            self._pending = memoryview(data)

    def close(self) -> None:
        """Close the caller's connection."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def _check_disconnect(self) -> None:
        try:
            received = len(self._sock.recv(4096))
            self._discarded += received
            if not received or self._discarded > DISCARD_BYTES:
                self._gone = True
        except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
            return
        except OSError:
            self._gone = True

    def _flush(self) -> bool:
        while self._pending:
            try:
                sent = self._sock.send(self._pending)
            except (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError):
                return False
            except OSError:
                self._gone = True
                return False
            self._pending = self._pending[sent:]
        return True

    def _next_bytes(self) -> bytes:
        if self._complete:
            return b""
        answer = self._answer
        if self._state_only:
            return self._full_response(200, "application/json", self._state_body())
        if answer.state == AnswerState.REFUSED or (
            answer.state == AnswerState.BROKEN and not self._head_sent
        ):
            return self._refusal()
        if not answer.stream:
            return self._full_answer()
        return self._next_chunk()

    def _full_answer(self) -> bytes:
        answer = self._answer
        if answer.state != AnswerState.DONE:
            return b""
        body = bytes(answer.body[self._position :])
        return self._full_response(answer.status, answer.content_type, body)

    def _next_chunk(self) -> bytes:
        answer = self._answer
        if not answer.status:
            return b""
        out = b""
        if not self._head_sent:
            self._head_sent = True
            out += self._response_head(answer.status, answer.content_type, [])
        data = bytes(answer.body[self._position : self._position + WRITE_BYTES])
        if data:
            self._position += len(data)
            out += self._http.send(h11.Data(data=data)) or b""
        elif answer.state == AnswerState.DONE:
            self._complete = True
            out += self._http.send(h11.EndOfMessage()) or b""
        elif answer.state == AnswerState.BROKEN:
            # Without a last chunk the caller's HTTP library reports a truncated answer.
            self._complete = True
            out += self._http.send(h11.Data(data=self._error_event())) or b""
        return out

    def _error_event(self) -> bytes:
        refusal = self._answer.refusal
        assert refusal is not None
        return b"event: error\ndata: " + error_body(refusal) + b"\n\n"

    def _refusal(self) -> bytes:
        refusal = self._answer.refusal
        assert refusal is not None
        reply = refusal_reply(refusal)
        return self._full_response(reply.status, reply.content_type, reply.body, reply.headers)

    def _state_body(self) -> bytes:
        answer = self._answer
        state = {
            "request": answer.request,
            "state": answer.state.value,
            "status": answer.status,
            "bytes": len(answer.body),
        }
        if answer.refusal is not None:
            state["outcome"] = answer.refusal.outcome.value
            state["code"] = answer.refusal.code.value
        return json_bytes(state)

    def _full_response(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> bytes:
        self._complete = True
        extra = [("Content-Length", str(len(body))), *(headers or [])]
        out = self._response_head(status, content_type, extra)
        if body:
            out += self._http.send(h11.Data(data=body)) or b""
        return out + (self._http.send(h11.EndOfMessage()) or b"")

    def _response_head(self, status: int, content_type: str, extra: list[tuple[str, str]]) -> bytes:
        headers = [
            ("Content-Type", content_type or "application/octet-stream"),
            ("Connection", "close"),
            ("Tamarack-Request-Id", self._answer.request),
            *extra,
        ]
        if not any(name == "Tamarack-Outcome" for name, _ in extra):
            headers.append(("Tamarack-Outcome", Outcome.RAN.value))
        return self._http.send(h11.Response(status_code=status, headers=headers)) or b""
