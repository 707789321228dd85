"""Requests whose key runs at another router; their callers follow that run's answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.actions import FollowRequest
from tamarack_router.caller_sockets import CallerSockets
from tamarack_router.held_request import HeldRequest
from tamarack_router.kept_answer import AnswerStore, KeptAnswer
from tamarack_router.remote_answers import RemoteAnswers


class FollowedRequest(NamedTuple):
    """A request that is held here, and where its key runs."""

    held: HeldRequest
    message: FollowRequest


class FollowedRequests:
    """Followed requests by the request whose answer they follow.

    Parameters
    ----------
    let_go
        Called with a request that need not be held any more.
    """

    def __init__(
        self,
        answers: AnswerStore,
        remote: RemoteAnswers,
        callers: CallerSockets,
        let_go: Callable[[HeldRequest], None],
    ) -> None:
        self._answers = answers
        self._remote = remote
        self._callers = callers
        self._let_go = let_go
        self._following: dict[str, list[FollowedRequest]] = {}

    def add(self, held: HeldRequest, message: FollowRequest) -> None:
        """Note that a request follows the run of its key's holder."""
        self._following.setdefault(message.holder, []).append(FollowedRequest(held, message))

    def stop(self, request: str) -> None:
        """Let go of all that follow a request."""
        for followed in self._following.pop(request, []):
            self._let_go(followed.held)

    def take_readable(self, answer: KeptAnswer) -> FollowedRequest | None:
        """Take back a request whose run can be read at its endpoint; None if there is none.

        Without this a caller whose router died would be told that its outcome is unknown, though
        the engine goes on with the run and can give its stream again.
        """
        waiting = self._following.get(answer.request, [])
        for followed in waiting:
            if followed.message.address:
                self._take_back(answer, followed.held)
                return followed
        return None

    def take_unclaimed(self, correlation: int) -> HeldRequest | None:
        """Take back a request whose holder no longer has it; None if it was claimed again before.

        Its caller may have gone away before it ran, which withdraws it and frees the key; the
        caller's retry, which followed it, would be told "unknown" though nothing ran.
        """
        answer = self._remote.find(correlation)
        waiting = self._following.get(answer.request, []) if answer is not None else []
        if answer is None or not waiting or waiting[0].held.claimed_again:
            return None
        held = waiting[0].held
        held.claimed_again = True
        self._take_back(answer, held)
        return held

    def _take_back(self, answer: KeptAnswer, held: HeldRequest) -> None:
        """Move the followers of a mirrored answer to a request that is held here."""
        for other in self._following.pop(answer.request):
            if other.held is not held:
                self._let_go(other.held)
        self._answers.add(held.answer)
        self._remote.close(answer.request)
        self._callers.move(answer.request, held.answer)
