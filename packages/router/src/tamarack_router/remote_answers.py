"""Local mirrors of answers held by other routers, kept while local callers follow them."""

from __future__ import annotations

import itertools

from tamarack_core.claim_messages import AnswerPart, AnswerQuery
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import PeerMessage, ProbeRouter
from tamarack_router.run import MAX_ANSWER_BYTES
from tamarack_router.stored_answer import AnswerState, StoredAnswer

SILENCE_MS = 700.0
# A live holder answers each query within milliseconds and is queried every 100 ms.
PROBE_AFTER_MS = 150.0
PART_BYTES = 262_144
LOST_MESSAGE = "The router that held the request does not answer; it will not run again."
TOO_LARGE_MESSAGE = "The answer is larger than a router holds."
GONE_MESSAGE = "The answer is no longer kept."


class _Mirror:
    """One mirrored answer and the router that holds the original."""

    def __init__(self, answer: StoredAnswer, holder: str, correlation: int, now_ms: float) -> None:
        self.answer = answer
        self.holder = holder
        self.correlation = correlation
        self.last_reply_ms = now_ms


class RemoteAnswers:
    """Polls the holders for new data of the answers that local callers follow."""

    def __init__(self, control: Mailbox) -> None:
        self._control = control
        self._mirrors: dict[str, _Mirror] = {}
        self._by_correlation: dict[int, _Mirror] = {}
        self._correlations = itertools.count(1)

    def open(self, request: str, workspace: str, now_ms: float) -> StoredAnswer:
        """Start mirroring a request's answer; the request id names the router that holds it."""
        existing = self._mirrors.get(request)
        if existing is not None and existing.answer.workspace == workspace:
            return existing.answer
        answer = StoredAnswer(request, workspace, stream=False)
        holder, _, _ = request.partition("~")
        mirror = _Mirror(answer, holder, next(self._correlations), now_ms)
        self._mirrors[request] = mirror
        self._by_correlation[mirror.correlation] = mirror
        # The caller may ask this router because the holder has failed.
        self._control.put(ProbeRouter(holder))
        self._query(mirror)
        return answer

    def close(self, request: str) -> None:
        """Stop mirroring a request that no local caller follows any more."""
        mirror = self._mirrors.pop(request, None)
        if mirror is not None:
            del self._by_correlation[mirror.correlation]

    def check(self, now_ms: float) -> list[StoredAnswer]:
        """Query all holders again; return the answers whose holder does not respond."""
        lost = []
        for mirror in self._mirrors.values():
            if mirror.answer.ended:
                continue
            silent_ms = now_ms - mirror.last_reply_ms
            if silent_ms >= SILENCE_MS:
                lost.append(mirror.answer)
                continue
            if silent_ms >= PROBE_AFTER_MS:
                self._control.put(ProbeRouter(mirror.holder))
            self._query(mirror)
        return lost

    def find(self, correlation: int) -> StoredAnswer | None:
        """Return the answer that is mirrored under a correlation number, if any."""
        mirror = self._by_correlation.get(correlation)
        return mirror.answer if mirror is not None else None

    def mark_lost(self, answer: StoredAnswer) -> None:
        """End an answer whose holder does not respond and which no other process can supply."""
        answer.refuse(Refusal(ErrorCode.KEY_UNKNOWN, LOST_MESSAGE, Outcome.UNKNOWN))

    def append_part(self, part: AnswerPart, now_ms: float) -> StoredAnswer | None:
        """Append a received part; unrequested parts and those at another offset are dropped."""
        mirror = self._by_correlation.get(part.correlation)
        if mirror is None or mirror.answer.ended:
            return None
        mirror.last_reply_ms = now_ms
        answer = mirror.answer
        if part.state == "gone":
            answer.refuse(Refusal(ErrorCode.ANSWER_GONE, GONE_MESSAGE, Outcome.UNKNOWN))
            return answer
        if part.offset != len(answer.body):
            return None
        if len(answer.body) + len(part.data) > MAX_ANSWER_BYTES:
            answer.refuse(Refusal(ErrorCode.ENDPOINT_FAILED, TOO_LARGE_MESSAGE, Outcome.UNKNOWN))
            return answer
        answer.stream = part.stream
        if part.status and not answer.status:
            answer.begin(part.status, part.content_type)
        answer.body += part.data
        if part.state == AnswerState.WAITING or len(answer.body) < part.total:
            if part.data:
                self._query(mirror)
            return answer
        self._end(answer, part)
        return answer

    def _end(self, answer: StoredAnswer, part: AnswerPart) -> None:
        if part.state == AnswerState.DONE:
            answer.finish()
        elif part.state in (AnswerState.REFUSED, AnswerState.BROKEN):
            code = ErrorCode(part.code)
            answer.refuse(Refusal(code, part.explanation, Outcome(part.outcome)))

    def _query(self, mirror: _Mirror) -> None:
        answer = mirror.answer
        query = AnswerQuery(mirror.correlation, answer.workspace, answer.request, len(answer.body))
        self._control.put(PeerMessage(mirror.holder, query))


def answer_part(query: AnswerQuery, answer: StoredAnswer | None) -> AnswerPart:
    """Build the reply to a peer's query for an answer stored here."""
    if answer is None:
        return AnswerPart(query.correlation, "gone", 0, "", query.offset, 0, b"")
    data = bytes(answer.body[query.offset : query.offset + PART_BYTES])
    part = AnswerPart(
        query.correlation,
        answer.state.value,
        answer.status,
        answer.content_type,
        query.offset,
        len(answer.body),
        data,
        answer.stream,
    )
    refusal = answer.refusal
    if refusal is None:
        return part
    return part._replace(
        code=refusal.code.value, outcome=refusal.outcome.value, explanation=refusal.message
    )
