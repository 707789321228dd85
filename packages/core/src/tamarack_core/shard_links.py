"""One router's links to dispatchers, and its registration with a new dispatcher."""

from __future__ import annotations

from collections import Counter

from tamarack_core.actions import Action, Send
from tamarack_core.dispatch_messages import Register, ShardKey
from tamarack_core.shard_link import Candidates, ShardLink
from tamarack_core.tracked_request import TrackedRequest


class ShardLinks:
    """One link for each shard in use.

    Parameters
    ----------
    router
        The router's own name.
    candidates
        The members that may dispatch, including this router.
    requests
        Requests of the router's table by id.
    counts
        Event counts of the table by name.
    """

    def __init__(
        self,
        router: str,
        candidates: Candidates,
        requests: dict[str, TrackedRequest],
        counts: Counter[str],
    ) -> None:
        self._router = router
        self._candidates = candidates
        self._requests = requests
        self._counts = counts
        self._links: dict[ShardKey, ShardLink] = {}

    def terms(self) -> dict[ShardKey, tuple[str, int]]:
        """Current dispatcher and term of each shard in use."""
        return {shard: (link.target, link.term) for shard, link in self._links.items()}

    def find(self, shard: ShardKey) -> ShardLink | None:
        """Link of a shard, None if this router does not use the shard."""
        return self._links.get(shard)

    def get(self, shard: ShardKey) -> ShardLink:
        """Link of a shard, created if there is none."""
        link = self._links.get(shard)
        if link is None:
            link = self._links[shard] = ShardLink(shard, self._router)
        return link

    def record_message(
        self, shard: ShardKey, sender: str, term: int, now_ms: float
    ) -> ShardLink | None:
        """Record a dispatcher's message; None if it is not of the current dispatcher and term."""
        link = self._links.get(shard)
        if link is None or not link.record_message(sender, term, now_ms):
            self._counts["stale_term"] += 1
            return None
        return link

    def retarget(self, link: ShardLink, now_ms: float) -> list[Action]:
        """Switch to the preferred dispatcher; register with it if it replaces another."""
        if not link.switch_target(self._candidates, now_ms):
            return []
        self._counts["retarget"] += 1
        return [self.registration(link, now_ms)]

    def registration(self, link: ShardLink, now_ms: float) -> Send:
        """A registration of all outstanding requests of the shard."""
        tickets = [
            self._requests[request].ticket(now_ms)
            for request in sorted(link.waiting)
            if request in self._requests
        ]
        running = []
        for request in sorted(link.running):
            tracked = self._requests.get(request)
            grant = tracked.running_grant() if tracked is not None else None
            if grant is not None:
                running.append(grant)
        workspaces = {ticket.workspace for ticket in tickets}
        workspaces |= {grant.workspace for grant in running}
        counters = link.counters_of(workspaces)
        return Send(link.target, Register(link.shard, link.term, tickets, running, counters))

    def tick(self, now_ms: float) -> list[Action]:
        """Poll dispatchers that are due, and replace silent ones."""
        actions: list[Action] = []
        for link in self._links.values():
            if not link.idle:
                actions.extend(self._check(link, now_ms))
        return actions

    def _check(self, link: ShardLink, now_ms: float) -> list[Action]:
        actions = self.retarget(link, now_ms)
        if link.avoid_if_silent(now_ms):
            self._counts["dispatcher_silent"] += 1
            actions.extend(self.retarget(link, now_ms))
        poll = link.due_poll(now_ms)
        if poll is not None:
            actions.append(Send(link.target, poll))
        return actions
