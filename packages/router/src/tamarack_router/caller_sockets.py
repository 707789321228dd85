"""The callers' sockets of the relay: who follows which answer."""

from __future__ import annotations

import selectors
from collections.abc import Callable

from tamarack_router.follower import Follower
from tamarack_router.kept_answer import KeptAnswer

NobodyFollows = Callable[[str, bool], None]


class CallerSockets:
    """Followers by the request whose answer they follow, watched by the relay's selector.

    Parameters
    ----------
    nobody_follows
        Called with a request that has no follower any more, and whether the last one went away
        before it had the whole answer.
    """

    def __init__(self, selector: selectors.BaseSelector, nobody_follows: NobodyFollows) -> None:
        self._selector = selector
        self._nobody_follows = nobody_follows
        self._groups: dict[str, list[Follower]] = {}

    def __len__(self) -> int:
        return sum(len(group) for group in list(self._groups.values()))

    def close(self) -> None:
        """Close every caller's connection."""
        for group in self._groups.values():
            for follower in group:
                follower.close()

    def attach(self, follower: Follower) -> None:
        """Watch a caller's socket."""
        self._groups.setdefault(follower.answer.request, []).append(follower)

        def ready(mask: int) -> None:
            # An event earlier in the same round may have finished and closed this follower.
            if follower.closed:
                return
            follower.ready(mask)
            self._after_write(follower)

        self._selector.register(follower.sock, follower.interest, ready)

    def pump(self, answer: KeptAnswer) -> None:
        """Write what is new of an answer to all who follow it."""
        for follower in list(self._groups.get(answer.request, [])):
            self.pump_one(follower)

    def pump_one(self, follower: Follower) -> None:
        """Write what is new of an answer to one caller."""
        follower.pump()
        self._after_write(follower)

    def move(self, request: str, target: KeptAnswer) -> None:
        """Let all who follow a request go on with another copy of its answer."""
        for follower in self._groups.pop(request, []):
            self._selector.unregister(follower.sock)
            follower.follow(target)
            self.attach(follower)
        self.pump(target)

    def _after_write(self, follower: Follower) -> None:
        if not follower.finished:
            key = self._selector.get_key(follower.sock)
            if key.events != follower.interest:
                self._selector.modify(follower.sock, follower.interest, key.data)
            return
        self._selector.unregister(follower.sock)
        follower.close()
        request = follower.answer.request
        group = self._groups[request]
        group.remove(follower)
        if not group:
            del self._groups[request]
            self._nobody_follows(request, follower.gone)
