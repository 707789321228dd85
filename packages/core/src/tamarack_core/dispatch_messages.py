"""Messages between routers and dispatchers: tickets, grants, usage and polls."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import ChangeId, Owner, message, with_ids_of


class ShardKey(NamedTuple):
    """Identifies one shard of a service's endpoints."""

    service: str
    number: int


class Ticket(NamedTuple):
    """A request that waits for a slot; its body stays at the router that holds it.

    Attributes
    ----------
    request
        Request id, unique in the fleet.
    priority
        Order inside the workspace; lower goes first.
    deadline_ms
        Milliseconds left when the message is sent.
    hint
        Expected cost in cost units; zero if unknown.
    prefix
        Digest of the prompt's prefix; zero if there is none.
    waited_ms
        Milliseconds that the ticket has already waited elsewhere.
    exclude
        Endpoint that failed this request before it ran.
    """

    request: str
    workspace: str
    priority: int = 0
    deadline_ms: int = 60_000
    hint: float = 0.0
    prefix: int = 0
    waited_ms: int = 0
    exclude: str = ""


class RunningGrant(NamedTuple):
    """A grant in use, as registered with a new dispatcher."""

    request: str
    workspace: str
    endpoint: str
    charged: float


@with_ids_of(Owner.SENDER)
@message(10)
class SubmitTickets(NamedTuple):
    """Tickets for a shard's dispatcher."""

    shard: ShardKey
    term: int
    tickets: list[Ticket]

    def with_ids(self, change: ChangeId) -> SubmitTickets:
        """Return the message with changed request ids."""
        return self._replace(
            tickets=[ticket._replace(request=change(ticket.request)) for ticket in self.tickets]
        )


@with_ids_of(Owner.SENDER)
@message(11)
class CancelTickets(NamedTuple):
    """Cancelled requests."""

    shard: ShardKey
    requests: list[str]

    def with_ids(self, change: ChangeId) -> CancelTickets:
        """Return the message with changed request ids."""
        return self._replace(requests=[change(request) for request in self.requests])


class Grant(NamedTuple):
    """Permission to run one request at one endpoint."""

    request: str
    endpoint: str
    charged: float


@with_ids_of(Owner.RECEIVER)
@message(12)
class Grants(NamedTuple):
    """Grants of one term, with the counters of the granted workspaces."""

    shard: ShardKey
    term: int
    grants: list[Grant]
    counters: dict[str, float]

    def with_ids(self, change: ChangeId) -> Grants:
        """Return the message with changed request ids."""
        return self._replace(grants=[g._replace(request=change(g.request)) for g in self.grants])


class TicketRefusal(NamedTuple):
    """A ticket that will not be granted."""

    request: str
    code: str
    retry_after_ms: int


@with_ids_of(Owner.RECEIVER)
@message(13)
class RefuseTickets(NamedTuple):
    """Tickets that a dispatcher refuses."""

    shard: ShardKey
    term: int
    refusals: list[TicketRefusal]

    def with_ids(self, change: ChangeId) -> RefuseTickets:
        """Return the message with changed request ids."""
        return self._replace(
            refusals=[r._replace(request=change(r.request)) for r in self.refusals]
        )


class Usage(NamedTuple):
    """Cost of one request so far.

    Attributes
    ----------
    cost
        Cost units: weighted tokens for models, milliseconds for plain services.
    state
        0 running, 1 finished, 2 endpoint failed, 3 returned without running, 4 connection failed.
    """

    request: str
    cost: float
    state: int


USAGE_RUNNING = 0
USAGE_FINISHED = 1
USAGE_FAILED = 2
USAGE_RETURNED = 3
USAGE_UNREACHABLE = 4


@with_ids_of(Owner.SENDER)
@message(14)
class ReportUsage(NamedTuple):
    """Progress and settlement of grants."""

    shard: ShardKey
    usages: list[Usage]

    def with_ids(self, change: ChangeId) -> ReportUsage:
        """Return the message with changed request ids."""
        return self._replace(usages=[u._replace(request=change(u.request)) for u in self.usages])


@message(15)
class Poll(NamedTuple):
    """A router's check that its dispatcher is alive and agrees on the outstanding requests."""

    shard: ShardKey
    term: int
    waiting: int
    running: int


@message(16)
class PollAck(NamedTuple):
    """Answer to a poll; `resync` asks for a full registration."""

    shard: ShardKey
    term: int
    resync: bool


@message(20)
class Probe(NamedTuple):
    """A dispatcher's check that a router which holds grants is alive."""

    shard: ShardKey
    term: int


@with_ids_of(Owner.SENDER)
@message(17)
class Register(NamedTuple):
    """All outstanding requests of a router at a shard; replaces the dispatcher's state of it."""

    shard: ShardKey
    term: int
    tickets: list[Ticket]
    running: list[RunningGrant]
    counters: dict[str, float]

    def with_ids(self, change: ChangeId) -> Register:
        """Return the message with changed request ids."""
        return self._replace(
            tickets=[ticket._replace(request=change(ticket.request)) for ticket in self.tickets],
            running=[r._replace(request=change(r.request)) for r in self.running],
        )


@message(18)
class TermStart(NamedTuple):
    """A dispatcher starts a term and requests registrations."""

    shard: ShardKey
    term: int


@message(19)
class ShardCounters(NamedTuple):
    """Grow-only totals of one shard's term by active workspace, divided by weight."""

    shard: ShardKey
    term: int
    charged: dict[str, float]
    refunded: dict[str, float]
