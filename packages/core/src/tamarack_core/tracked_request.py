"""State of one request in the request table."""

from __future__ import annotations

from tamarack_core.dispatch_messages import Grant, RunningGrant, ShardKey, Ticket
from tamarack_core.request_spec import RequestSpec


class TrackedRequest:
    """A request from its arrival until it is settled or refused.

    Attributes
    ----------
    claim_owner
        Key owner that received the claim, empty if none did.
    state
        `new`, `claiming`, `waiting` or `running`.
    shards
        Shards that received a ticket of the request.
    reported_cost
        Cost up to which progress need not be reported to the dispatcher.
    exclude
        Endpoint that failed the request.
    maybe_ran
        Whether an earlier attempt may have run.
    """

    def __init__(self, spec: RequestSpec, now_ms: float) -> None:
        self.spec = spec
        self.since_ms = now_ms
        self.claim_sent_ms = 0.0
        self.claim_owner = ""
        self.state = "new"
        self.shards: list[ShardKey] = []
        self.grant: Grant | None = None
        self.grant_shard: ShardKey | None = None
        self.reported_cost = 0.0
        self.exclude = ""
        self.maybe_ran = False

    def ticket(self, now_ms: float) -> Ticket:
        """A ticket that requests a slot, with the remaining time until the deadline."""
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
        """The grant in use, for registration with a new dispatcher; None if there is none."""
        if self.grant is None:
            return None
        charged = max(self.grant.charged, self.reported_cost)
        return RunningGrant(self.spec.request, self.spec.workspace, self.grant.endpoint, charged)
