"""Answers kept in bounded memory, for callers that come back."""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import StrEnum

from tamarack_core.errors import Refusal

ANSWER_OVERHEAD = 512


class AnswerState(StrEnum):
    """How far a request has come."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    BROKEN = "broken"


ENDED = (AnswerState.DONE, AnswerState.REFUSED, AnswerState.BROKEN)


class KeptAnswer:
    """The answer of one request so far.

    Attributes
    ----------
    status
        HTTP status; zero while there is none.
    refusal
        Why it was refused, or why it broke off.
    """

    def __init__(self, request: str, workspace: str, *, stream: bool) -> None:
        self.request = request
        self.workspace = workspace
        self.stream = stream
        self.state = AnswerState.WAITING
        self.status = 0
        self.content_type = ""
        self.body = bytearray()
        self.refusal: Refusal | None = None
        self.ended_ms = 0.0

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.state in ENDED

    @property
    def size(self) -> int:
        """Bytes that it takes in memory, about."""
        return len(self.body) + ANSWER_OVERHEAD

    def begin(self, status: int, content_type: str) -> None:
        """Take the head of the answer."""
        self.state = AnswerState.RUNNING
        self.status = status
        self.content_type = content_type

    def restart(self) -> None:
        """Forget a try that nobody was shown."""
        self.state = AnswerState.WAITING
        self.status = 0
        self.body = bytearray()

    def finish(self) -> None:
        """Mark the answer whole."""
        self.state = AnswerState.DONE

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal, or break off what has begun."""
        self.state = AnswerState.BROKEN if self.status else AnswerState.REFUSED
        self.refusal = refusal


class AnswerStore:
    """Answers by request id.

    Past its memory the oldest ended answer goes of the workspace that holds most, so that a flood
    cannot push out what a small workspace may still ask for.
    """

    def __init__(self, memory_bytes: int, lifetime_ms: float) -> None:
        self._memory = memory_bytes
        self._lifetime_ms = lifetime_ms
        self._answers: dict[str, KeptAnswer] = {}
        self._ended: dict[str, OrderedDict[str, int]] = {}
        self._sizes: Counter[str] = Counter()
        self._total = 0
        self._evicted = 0

    def __len__(self) -> int:
        return len(self._answers)

    @property
    def kept_bytes(self) -> int:
        """Bytes of ended answers."""
        return self._total

    @property
    def evicted(self) -> int:
        """Answers dropped before their lifetime, for want of memory."""
        return self._evicted

    def add(self, answer: KeptAnswer) -> None:
        """Keep an answer that is still to come."""
        self._answers[answer.request] = answer

    def find(self, request: str, workspace: str) -> KeptAnswer | None:
        """An answer of this workspace; nobody reads another's."""
        answer = self._answers.get(request)
        return answer if answer is not None and answer.workspace == workspace else None

    def remove(self, request: str) -> None:
        """Drop an answer that nobody can want."""
        self._answers.pop(request, None)

    def ended(self, answer: KeptAnswer, now_ms: float) -> None:
        """Count an answer that has ended against the memory."""
        if answer.request not in self._answers or answer.ended_ms:
            return
        answer.ended_ms = max(now_ms, 1.0)
        by_request = self._ended.setdefault(answer.workspace, OrderedDict())
        by_request[answer.request] = answer.size
        self._sizes[answer.workspace] += answer.size
        self._total += answer.size
        while self._total > self._memory:
            self._drop_oldest(max(self._sizes, key=lambda name: self._sizes[name]))
            self._evicted += 1

    def expire(self, now_ms: float) -> None:
        """Drop answers past their lifetime."""
        for workspace in list(self._ended):
            while workspace in self._ended:
                request = next(iter(self._ended[workspace]))
                if now_ms - self._answers[request].ended_ms < self._lifetime_ms:
                    break
                self._drop_oldest(workspace)

    def _drop_oldest(self, workspace: str) -> None:
        by_request = self._ended[workspace]
        request, size = by_request.popitem(last=False)
        del self._answers[request]
        self._sizes[workspace] -= size
        self._total -= size
        if not by_request:
            del self._ended[workspace]
            del self._sizes[workspace]
