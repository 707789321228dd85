"""Requests whose idempotency key runs elsewhere; their callers follow that run's answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.actions import FollowRequest
from tamarack_router.caller_sockets import CallerSockets
from tamarack_router.held_request import HeldRequest
from tamarack_router.remote_answers import RemoteAnswers
from tamarack_router.stored_answer import AnswerStore, StoredAnswer


class FollowedRequest(NamedTuple):
    """A request held here, and the run of its key at another router."""

    held: HeldRequest
    message: FollowRequest


class FollowedRequests:
    """Requests grouped by the remote request whose answer they follow.

    Parameters
    ----------
    release
        Called with a request that no longer needs to be held.
    """

    def __init__(
        self,
        answers: AnswerStore,
        remote: RemoteAnswers,
        callers: CallerSockets,
        release: Callable[[HeldRequest], None],
    ) -> None:
        self._answers = answers
        self._remote = remote
        self._callers = callers
        self._release = release
        self._following: dict[str, list[FollowedRequest]] = {}

    def add(self, held: HeldRequest, message: FollowRequest) -> None:
        """Record that a request follows the run of its key's holder."""
        self._following.setdefault(message.holder, []).append(FollowedRequest(held, message))

    def stop(self, request: str) -> None:
        """Release all requests that follow a request."""
        for followed in self._following.pop(request, []):
            self._release(followed.held)

    def pop_adoptable(self, answer: StoredAnswer) -> FollowedRequest | None:
        """Return a request whose run can be read at its endpoint, or None; it stops following.

        Otherwise a caller whose router crashed would get the outcome "unknown", although the
        engine continues the run and can send its stream again.
        """
        waiting = self._following.get(answer.request, [])
        for followed in waiting:
            if followed.message.address:
                self._switch_to_held(answer, followed.held)
                return followed
        return None

    def pop_unclaimed(self, correlation: int) -> HeldRequest | None:
        """Return a request to claim again as its holder no longer has the run, or None.

        The request stops following. None is returned if it was claimed again before.

        The holder withdraws a request and frees its key if the caller disconnects before it runs.
        The caller's retry, which followed it, would get the outcome "unknown" though nothing ran.
        """
        answer = self._remote.find(correlation)
        waiting = self._following.get(answer.request, []) if answer is not None else []
        if answer is None or not waiting or waiting[0].held.claim_retried:
            return None
        held = waiting[0].held
        held.claim_retried = True
        self._switch_to_held(answer, held)
        return held

    def _switch_to_held(self, answer: StoredAnswer, held: HeldRequest) -> None:
        """Switch the followers of a mirrored answer to a request that is held here."""
        for other in self._following.pop(answer.request):
            if other.held is not held:
                self._release(other.held)
        self._answers.add(held.answer)
        self._remote.close(answer.request)
        self._callers.move(answer.request, held.answer)
