"""Answers stored in bounded memory, for callers that fetch them later."""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import StrEnum

from tamarack_core.errors import Refusal

ANSWER_OVERHEAD_BYTES = 512


class AnswerState(StrEnum):
    """State of a request's answer."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    REFUSED = "refused"
    BROKEN = "broken"


FINAL_STATES = (AnswerState.DONE, AnswerState.REFUSED, AnswerState.BROKEN)


class StoredAnswer:
    """The answer of one request, as far as it was received.

    Attributes
    ----------
    status
        HTTP status; zero until the response head was received.
    refusal
        Why the request was refused or the answer was cut off; None otherwise.
    ended_ms
        Router clock time at which the answer ended, in milliseconds; zero until then.
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
        """Whether the answer is in a final state."""
        return self.state in FINAL_STATES

    @property
    def size(self) -> int:
        """Approximate memory use in bytes."""
        return len(self.body) + ANSWER_OVERHEAD_BYTES

    def begin(self, status: int, content_type: str) -> None:
        """Record status and content type."""
        self.state = AnswerState.RUNNING
        self.status = status
        self.content_type = content_type

    def restart(self) -> None:
        """Reset the answer after a failed attempt of which the caller has received nothing."""
        self.state = AnswerState.WAITING
        self.status = 0
        self.body = bytearray()

    def finish(self) -> None:
        """Mark the answer complete."""
        self.state = AnswerState.DONE

    def refuse(self, refusal: Refusal) -> None:
        """End with a refusal; an answer that has begun is marked as broken."""
        self.state = AnswerState.BROKEN if self.status else AnswerState.REFUSED
        self.refusal = refusal


class AnswerStore:
    """Answers by request id.

    When the memory limit is exceeded, the oldest ended answer of the workspace that uses most
    memory is evicted, so a workspace that floods the store cannot evict the answers of a small one.

    Parameters
    ----------
    memory_bytes
        Limit on the total size of ended answers.
    lifetime_ms
        Time for which an ended answer is stored, in milliseconds.
    """

    def __init__(self, memory_bytes: int, lifetime_ms: float) -> None:
        self._memory_bytes = memory_bytes
        self._lifetime_ms = lifetime_ms
        self._answers: dict[str, StoredAnswer] = {}
        self._ended: dict[str, OrderedDict[str, int]] = {}
        self._sizes: Counter[str] = Counter()
        self._total = 0
        self._evicted = 0

    def __len__(self) -> int:
        return len(self._answers)

    @property
    def stored_bytes(self) -> int:
        """Total size of ended answers in bytes."""
        return self._total

    @property
    def evicted(self) -> int:
        """Number of answers evicted before their lifetime because of the memory limit."""
        return self._evicted

    def add(self, answer: StoredAnswer) -> None:
        """Store an answer that has not ended."""
        self._answers[answer.request] = answer

    def find(self, request: str, workspace: str) -> StoredAnswer | None:
        """Return an answer if it belongs to this workspace, else None."""
        answer = self._answers.get(request)
        return answer if answer is not None and answer.workspace == workspace else None

    def remove(self, request: str) -> None:
        """Drop an answer that no caller can request any more."""
        self._answers.pop(request, None)

    def ended(self, answer: StoredAnswer, now_ms: float) -> None:
        """Count an ended answer against the memory limit and evict others if needed."""
        if answer.request not in self._answers or answer.ended_ms:
            return
        answer.ended_ms = max(now_ms, 1.0)
        by_request = self._ended.setdefault(answer.workspace, OrderedDict())
        by_request[answer.request] = answer.size
        self._sizes[answer.workspace] += answer.size
        self._total += answer.size
        while self._total > self._memory_bytes:
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
