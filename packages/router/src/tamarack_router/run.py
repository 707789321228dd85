"""Execution of one request at an endpoint: HTTP exchange, stream resumption and cost."""

from __future__ import annotations

from enum import Enum
from typing import Any, NamedTuple

import msgspec

from tamarack_core.answer_head import final_status
from tamarack_core.defaults import PROGRESS_STEP
from tamarack_core.memory_budget import Holding
from tamarack_router.endpoint_connection import (
    Body,
    ConnectionEvent,
    ConnectionFailed,
    End,
    EndpointConnection,
    Head,
)
from tamarack_router.messages import EndpointCall
from tamarack_router.stored_answer import StoredAnswer

CONNECT_MS = 1_000.0
RESUME_TRIES = 4
RESUME_PAUSE_MS = 150.0
SSE_DATA_PREFIX = b"data: "
NOT_RUN_HEADER = "endpoint-outcome"


class Step(Enum):
    """Next action of the relay after a run has processed an event."""

    DATA = 1
    FINISHED = 2
    FAILED = 3
    BROKEN = 4
    RESUME = 5


class RunLimits(NamedTuple):
    """Read timeouts in milliseconds, after which the run resumes on a new connection.

    Attributes
    ----------
    stream_silence_ms
        For streamed answers.
    whole_silence_ms
        For model answers that are sent in one piece.
    """

    stream_silence_ms: float
    whole_silence_ms: float


MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Maximum size of an answer's body."""


class Run:
    """State of one run.

    Parameters
    ----------
    answer
        Buffer that collects the answer.
    holding
        Part of the router's budget that holds the request and its answer.
    traceparent
        W3C trace context forwarded to the endpoint, empty if not traced.
    charged
        Cost units already charged; progress is reported once the cost exceeds them.
    adopted
        Id of a run that another router started, whose stream is read here; empty for a run that
        this router starts.
    """

    def __init__(
        self,
        call: EndpointCall,
        answer: StoredAnswer,
        address: str,
        limits: RunLimits,
        traceparent: str,
        now_ms: float,
        *,
        holding: Holding,
        charged: float = 0.0,
        adopted: str = "",
    ) -> None:
        self.call = call
        self.answer = answer
        self._holding = holding
        self.address = address
        self.started_ms = now_ms
        self.last_event_ms = now_ms
        self.span: Any = None
        self._limits = limits
        self._traceparent = traceparent
        self._resumes = 0
        # Another router has already sent an adopted run: it is resumed under its original id and
        # never sent again.
        self._run_id = adopted or answer.request
        self._resuming = bool(adopted)
        self._maybe_sent = bool(adopted)
        self._refused_by_endpoint = False
        self._tokens = 0
        self._report_threshold = charged
        self._connection: EndpointConnection | None = None

    @property
    def connection(self) -> EndpointConnection | None:
        """The current connection, if any."""
        return self._connection

    @property
    def run_id(self) -> str:
        """Request id under which the endpoint knows the run."""
        return self._run_id

    @property
    def sent(self) -> bool:
        """Whether the endpoint may have received the request; False if it reported not-run."""
        if self._refused_by_endpoint:
            return False
        return self._maybe_sent or (self._connection is not None and self._connection.sent)

    @property
    def resumable(self) -> bool:
        """Whether the rest of the answer can be requested on a new connection."""
        return self.call.kind == "model" and self.sent and self._resumes < RESUME_TRIES

    def cost(self, now_ms: float) -> float:
        """Cost units so far: tokens for models, milliseconds for plain services."""
        if self.call.kind == "model":
            return self.call.prompt_cost + self._tokens if self.sent else 0.0
        return now_ms - self.started_ms if self.sent else 0.0

    def unreported_cost(self, now_ms: float) -> float:
        """Cost so far if it exceeds the next reporting threshold, else zero."""
        cost = self.cost(now_ms)
        if cost <= self._report_threshold:
            return 0.0
        self._report_threshold = cost * (1.0 + PROGRESS_STEP)
        return cost

    def open(self, now_ms: float) -> tuple[EndpointConnection, list[ConnectionEvent]]:
        """Start the exchange, or resume it at the current length of the answer."""
        self.close()
        self.last_event_ms = now_ms
        headers = [("Tamarack-Request-Id", self.answer.request)]
        if self._traceparent:
            headers.append(("traceparent", self._traceparent))
        if self._resuming:
            path = f"/v1/streams/{self._run_id}?offset={len(self.answer.body)}"
            connection = EndpointConnection(self.address, "GET", path, headers, b"")
        else:
            headers += [("Tamarack-Workspace", self.answer.workspace), *self.call.headers]
            connection = EndpointConnection(
                self.address, self.call.method, self.call.path, headers, self.call.body
            )
        self._connection = connection
        return connection, connection.start()

    def close(self) -> None:
        """Close the current connection."""
        if self._connection is not None:
            # Outlives the connection: once a byte may have been sent, the request is never sent
            # again, even if every attempt to resume it fails.
            self._maybe_sent = self._maybe_sent or self._connection.sent
            self._connection.close()
            self._connection = None

    def timed_out(self, now_ms: float) -> bool:
        """Whether the connect or read timeout has elapsed."""
        connection = self._connection
        if connection is None:
            return False
        elapsed_ms = now_ms - self.last_event_ms
        if not connection.sent:
            return elapsed_ms >= CONNECT_MS
        if self.call.kind != "model":
            return False
        limit = self._limits.stream_silence_ms
        if not self.call.stream:
            limit = self._limits.whole_silence_ms
        return elapsed_ms >= limit

    def lost(self) -> Step:
        """Choose the next step after a connection broke or timed out."""
        if self.resumable:
            self._resumes += 1
            self._resuming = True
            return Step.RESUME
        partly_delivered = self.call.stream and self.answer.status != 0
        return Step.BROKEN if partly_delivered else Step.FAILED

    def handle_event(self, event: ConnectionEvent, now_ms: float) -> Step:
        """Process one event of the connection."""
        self.last_event_ms = now_ms
        match event:
            case Head(status, headers):
                return self._head(status, headers)
            case Body(data):
                return self._body(data)
            case End():
                return self._end()
            case ConnectionFailed():
                return self.lost()

    def _head(self, status: int, headers: dict[str, str]) -> Step:
        if self._resuming:
            if status != 200:
                # The endpoint does not know the request, or no longer: its outcome is unknown.
                self._resumes = RESUME_TRIES
                return self.lost()
            if not self.answer.status:
                original = final_status(headers.get("tamarack-status", "200"))
                if original is None:
                    self._resumes = RESUME_TRIES
                    return self.lost()
                self.answer.begin(original, headers.get("content-type", ""))
            return Step.DATA
        if status == 503 and headers.get(NOT_RUN_HEADER) == "not-run":
            self._refused_by_endpoint = True
            return Step.FAILED
        self.answer.begin(status, headers.get("content-type", ""))
        return Step.DATA

    def _body(self, data: bytes) -> Step:
        size = len(self.answer.body) + len(data)
        held_bytes = len(self.call.body) + size
        if size > MAX_ANSWER_BYTES or not self._holding.resize(held_bytes):
            # It would be as large on a new connection.
            self._resumes = RESUME_TRIES
            return self.lost()
        self.answer.body += data
        self._tokens += data.count(SSE_DATA_PREFIX)
        if self._resuming and self._resumes > 1:
            self._resumes = 1
        return Step.DATA

    def _end(self) -> Step:
        if not self.call.stream and self.call.kind == "model":
            self._read_usage()
        self.answer.finish()
        return Step.FINISHED

    def _read_usage(self) -> None:
        try:
            body = msgspec.json.decode(bytes(self.answer.body))
            self._tokens = int(body["usage"]["completion_tokens"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError):
            self._tokens = len(self.answer.body) // 4
