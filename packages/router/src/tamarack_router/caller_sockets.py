"""The callers' sockets of the relay and the answers that they follow."""

from __future__ import annotations

import selectors
from collections.abc import Callable

from tamarack_router.follower import Follower
from tamarack_router.stored_answer import StoredAnswer

OnUnfollowed = Callable[[str, bool], None]


class CallerSockets:
    """Followers grouped by the request whose answer they follow, on the relay's selector.

    Parameters
    ----------
    on_unfollowed
        Called with a request that has lost its last follower, and whether that caller
        disconnected before it had received the whole answer.
    """

    def __init__(self, selector: selectors.BaseSelector, on_unfollowed: OnUnfollowed) -> None:
        self._selector = selector
        self._on_unfollowed = on_unfollowed
        self._groups: dict[str, list[Follower]] = {}

    def __len__(self) -> int:
        return sum(len(group) for group in list(self._groups.values()))

    def close(self) -> None:
        """Close every caller's connection."""
        for group in self._groups.values():
            for follower in group:
                follower.close()

    def attach(self, follower: Follower) -> None:
        """Register a caller's socket with the selector."""
        self._groups.setdefault(follower.answer.request, []).append(follower)

        def ready(mask: int) -> None:
            # An earlier event of the same selector round may have closed this follower.
            if follower.closed:
                return
            follower.ready(mask)
            self._after_write(follower)

        self._selector.register(follower.sock, follower.interest, ready)

    def pump(self, answer: StoredAnswer) -> None:
        """Write new data of an answer to all its followers."""
        for follower in list(self._groups.get(answer.request, [])):
            self.pump_one(follower)

    def pump_one(self, follower: Follower) -> None:
        """Write new data of an answer to one follower."""
        follower.pump()
        self._after_write(follower)

    def move(self, request: str, target: StoredAnswer) -> None:
        """Switch all followers of a request to another copy of its answer."""
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
            self._on_unfollowed(request, follower.gone)
