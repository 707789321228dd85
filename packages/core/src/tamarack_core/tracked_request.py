"""State of one request in the request table."""

from __future__ import annotations

from tamarack_core.dispatch_messages import Grant, RunningGrant, ShardKey, Ticket
from tamarack_core.request_spec import RequestSpec


class TrackedRequest:
    """A request from its arrival until it is settled or refused.

    Attributes
    ----------
    claim_asked
        Keeper that was asked for the key, empty if none was.
    state
        `new`, `claiming`, `waiting` or `running`.
    shards
        Shards that have a ticket of it.
    told_cost
        Cost up to which the dispatcher need not be told of progress.
    exclude
        Endpoint that failed it.
    maybe_ran
        Whether an earlier try may have run.
    """

    def __init__(self, spec: RequestSpec, now_ms: float) -> None:
        self.spec = spec
        self.since_ms = now_ms
        self.claim_sent_ms = 0.0
        self.claim_asked = ""
        self.state = "new"
        self.shards: list[ShardKey] = []
        self.grant: Grant | None = None
        self.grant_shard: ShardKey | None = None
        self.told_cost = 0.0
        self.exclude = ""
        self.maybe_ran = False

    def ticket(self, now_ms: float) -> Ticket:
        """The ticket that asks for a slot, with the time left."""
        spec = self.spec
        return Ticket(
            spec.request,
            spec.workspace,
            spec.priority,
            max(0, int(spec.deadline_ms - now_ms)),
            spec.hint,
            spec.prefix,
            int(now_ms - self.since_ms),
            self.exclude,
        )

    def running_grant(self) -> RunningGrant | None:
        """The grant in use as a new dispatcher is told of it, None if there is none."""
        if self.grant is None:
            return None
        charged = max(self.grant.charged, self.told_cost)
        return RunningGrant(self.spec.request, self.spec.workspace, self.grant.endpoint, charged)
