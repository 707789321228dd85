"""A caller's socket that is written the answer of a request."""

from __future__ import annotations

import contextlib
import selectors
import socket
import ssl

import h11

from tamarack_core.errors import Outcome
from tamarack_router.http_reply import error_body, json_bytes, refusal_reply
from tamarack_router.kept_answer import AnswerState, KeptAnswer

WRITE_BYTES = 262_144
_PLACEHOLDER_REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class Follower:
    """Writes an answer from an offset on, as fast as the caller takes it.

    The answer itself is the buffer; the follower keeps only its position, so a slow caller costs
    no more memory than the kept answer.

    Parameters
    ----------
    state_only
        Whether the caller wants to know the state, not the answer.
    """

    def __init__(
        self,
        sock: socket.socket,
        answer: KeptAnswer,
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
        self._http = h11.Connection(h11.SERVER)
        # h11 frames an answer only after it has seen a request; cheroot has parsed the real one.
        self._http.receive_data(_PLACEHOLDER_REQUEST)
        self._http.next_event()
        self._http.next_event()

    @property
    def sock(self) -> socket.socket:
        """The caller's socket."""
        return self._sock

    @property
    def answer(self) -> KeptAnswer:
        """The answer that is followed."""
        return self._answer

    @property
    def gone(self) -> bool:
        """Whether the caller has closed the connection."""
        return self._gone

    @property
    def closed(self) -> bool:
        """Whether the socket was closed here."""
        return self._sock.fileno() < 0

    @property
    def finished(self) -> bool:
        """Whether all was written, or nobody is there to read."""
        return self._gone or (self._complete and not self._pending)

    @property
    def interest(self) -> int:
        """What to select for: a caller that goes away shows as readable."""
        writing = selectors.EVENT_WRITE if self._pending else 0
        return selectors.EVENT_READ | writing

    def ready(self, mask: int) -> None:
        """Go on after the socket became ready."""
        if mask & selectors.EVENT_READ:
            self._look()
        if mask & selectors.EVENT_WRITE:
            self.pump()

    def follow(self, answer: KeptAnswer) -> None:
        """Go on with another copy of the same answer, from where this one stands."""
        self._answer = answer

    def pump(self) -> None:
        """Write what there is to write, as far as the socket takes it."""
        while not self._gone:
            if not self._flush():
                return
            data = self._next()
            if not data:
                return
            self._pending = memoryview(data)

    def close(self) -> None:
        """Close the caller's connection."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def _look(self) -> None:
        try:
            if not self._sock.recv(4096):
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

    def _next(self) -> bytes:
        if self._complete:
            return b""
        answer = self._answer
        if self._state_only:
            return self._whole(200, "application/json", self._state_body())
        if answer.state == AnswerState.REFUSED or (
            answer.state == AnswerState.BROKEN and not self._head_sent
        ):
            return self._refusal()
        if not answer.stream:
            return self._whole_answer()
        return self._stream_part()

    def _whole_answer(self) -> bytes:
        answer = self._answer
        if answer.state != AnswerState.DONE:
            return b""
        body = bytes(answer.body[self._position :])
        return self._whole(answer.status, answer.content_type, body)

    def _stream_part(self) -> bytes:
        answer = self._answer
        if not answer.status:
            return b""
        out = b""
        if not self._head_sent:
            self._head_sent = True
            out += self._head(answer.status, answer.content_type, [])
        data = bytes(answer.body[self._position : self._position + WRITE_BYTES])
        if data:
            self._position += len(data)
            out += self._http.send(h11.Data(data=data)) or b""
        elif answer.state == AnswerState.DONE:
            self._complete = True
            out += self._http.send(h11.EndOfMessage()) or b""
        elif answer.state == AnswerState.BROKEN:
            # No last chunk: the caller's HTTP library reports a cut answer as what it is.
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
        return self._whole(reply.status, reply.content_type, reply.body, reply.headers)

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

    def _whole(
        self,
        status: int,
        content_type: str,
        body: bytes,
        headers: list[tuple[str, str]] | None = None,
    ) -> bytes:
        self._complete = True
        extra = [("Content-Length", str(len(body))), *(headers or [])]
        out = self._head(status, content_type, extra)
        if body:
            out += self._http.send(h11.Data(data=body)) or b""
        return out + (self._http.send(h11.EndOfMessage()) or b"")

    def _head(self, status: int, content_type: str, extra: list[tuple[str, str]]) -> bytes:
        headers = [
            ("Content-Type", content_type or "application/octet-stream"),
            ("Connection", "close"),
            ("Tamarack-Request-Id", self._answer.request),
            *extra,
        ]
        if not any(name == "Tamarack-Outcome" for name, _ in extra):
            headers.append(("Tamarack-Outcome", Outcome.RAN.value))
        return self._http.send(h11.Response(status_code=status, headers=headers)) or b""
