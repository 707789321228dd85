"""Requests that a router holds: claim, ticket, grant, run and settlement.

Every event returns actions; a request leaves the table when it is finished or refused.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.actions import (
    Action,
    ClaimRow,
    FollowRequest,
    RefuseRequest,
    RowDone,
    Send,
    StartRun,
)
from tamarack_core.claim_messages import Claim, ClaimAnswer, ClaimDone, ClaimRunning
from tamarack_core.configuration import Configuration
from tamarack_core.defaults import (
    CLAIM_TIMEOUT_MS,
    PROGRESS_STEP,
    SHARD_SIZE,
)
from tamarack_core.dispatch_messages import (
    USAGE_RETURNED,
    USAGE_RUNNING,
    CancelTickets,
    Grant,
    Grants,
    PollAck,
    Probe,
    RefuseTickets,
    Register,
    ReportUsage,
    RunningGrant,
    ShardKey,
    SubmitTickets,
    TermStart,
    Ticket,
    Usage,
)
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.keeper import DONE, FRESH, ORPHAN, RELEASED, RUNNING
from tamarack_core.key_token import parse_key
from tamarack_core.refusals import MESSAGES, RETRY_AFTER_MS, claim_refusal
from tamarack_core.rendezvous import ranked
from tamarack_core.retry_budget import RetryBudget
from tamarack_core.shard_link import Candidates, ShardLink

TICKET_SHARDS = 2
HELD_CHECK_MS = 100


class RequestSpec(NamedTuple):
    """A request to be routed, without its body.

    Attributes
    ----------
    key
        Idempotency key, empty if the caller sent none.
    first
        Whether the caller says that it sends the key for the first time.
    digest
        Digest of method, path and body, to tell a key used for something else.
    repeatable
        Whether it may run more than once.
    deadline_ms
        Monotonic time at which the caller stops waiting.
    """

    request: str
    workspace: str
    service: str
    key: str = ""
    first: bool = False
    digest: str = ""
    repeatable: bool = False
    deadline_ms: float = 60_000.0
    priority: int = 0
    hint: float = 0.0
    prefix: int = 0


class _Held:
    """State of one request."""

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


class RequestTable:
    """Requests held by one router.

    Parameters
    ----------
    router
        The router's own name.
    candidates
        The members that may dispatch, the router itself included.
    """

    def __init__(
        self, router: str, candidates: Candidates, *, shard_size: int = SHARD_SIZE
    ) -> None:
        self._router = router
        self._candidates = candidates
        self._shard_size = shard_size
        self._config = Configuration()
        self._held: dict[str, _Held] = {}
        self._links: dict[ShardKey, ShardLink] = {}
        self._budget = RetryBudget()
        self._next_check_ms = 0.0
        self._counts: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._held)

    @property
    def counts(self) -> Counter[str]:
        """Events by name."""
        return self._counts

    @property
    def waiting(self) -> int:
        """Requests without a grant."""
        return sum(1 for held in self._held.values() if held.state in ("claiming", "waiting"))

    @property
    def running(self) -> int:
        """Requests with a grant."""
        return sum(1 for held in self._held.values() if held.state == "running")

    def terms(self) -> dict[ShardKey, tuple[str, int]]:
        """Dispatcher and term followed for each shard in use."""
        return {shard: (link.target, link.term) for shard, link in self._links.items()}

    def configure(self, config: Configuration) -> None:
        """Take the configuration in force."""
        self._config = config

    # Events of the request itself

    def submit(self, spec: RequestSpec, now_ms: float) -> list[Action]:
        """Take a request; it is claimed first if it has a key."""
        self._budget.earn()
        held = self._held[spec.request] = _Held(spec, now_ms)
        if not spec.key:
            return self._queue(held, now_ms)
        held.state = "claiming"
        held.claim_sent_ms = now_ms
        token = parse_key(spec.key)
        if token is None:
            return [ClaimRow(spec.key, spec.workspace, spec.digest, spec.request)]
        held.claim_asked = token.router
        claim = Claim(spec.key, spec.workspace, spec.digest, spec.request)
        return [Send(token.router, claim)]

    def claim_answer(self, keeper: str, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        """Go on with a request as its keeper decided."""
        held = self._held.get(answer.request)
        if held is None or held.state != "claiming":
            # The caller has left; the claim that was opened for it must not bar a retry.
            self._counts["claim_unmatched"] += 1
            if answer.state == FRESH:
                return [Send(keeper, ClaimDone(answer.request, RELEASED))]
            return []
        return self._claimed(held, answer, now_ms)

    def row_answer(self, claim: ClaimRow, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        """Go on with a request as the table service decided."""
        held = self._held.get(claim.request)
        if held is None or held.state != "claiming":
            self._counts["claim_unmatched"] += 1
            if answer.state == FRESH:
                return [RowDone(claim.key, claim.workspace, RELEASED)]
            return []
        return self._claimed(held, answer, now_ms)

    def _claimed(self, held: _Held, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        if answer.state == FRESH:
            return self._queue(held, now_ms)
        address = self._readable_at(answer, held.spec)
        if answer.state in (RUNNING, DONE):
            del self._held[answer.request]
            return [FollowRequest(answer.request, answer.holder, answer.run, address)]
        if answer.state == ORPHAN and address:
            held.state = "running"
            return [FollowRequest(answer.request, "", answer.run, address)]
        return self._refuse(held, claim_refusal(answer.state, first=held.spec.first), now_ms)

    def cancel(self, request: str, now_ms: float) -> list[Action]:
        """The caller of a request that does not run yet went away."""
        held = self._held.get(request)
        if held is None or held.state == "running":
            return []
        self._counts["cancelled"] += 1
        actions = self._withdraw(held, now_ms)
        actions.extend(self._tell_keeper(held.spec, RELEASED))
        del self._held[request]
        return actions

    def progress(self, request: str, cost: float, now_ms: float) -> list[Action]:
        """Tell the dispatcher when a run has passed what it was charged."""
        held = self._held.get(request)
        if held is None or held.grant is None or cost <= held.told_cost:
            return []
        held.told_cost = cost * (1.0 + PROGRESS_STEP)
        return self._report(held, Usage(request, round(cost), USAGE_RUNNING))

    def finished(
        self, request: str, cost: float, usage_state: int, key_state: str, now_ms: float
    ) -> list[Action]:
        """Settle a run that has ended, and tell the keeper."""
        held = self._held.pop(request, None)
        if held is None:
            return []
        actions = self._settle(held, Usage(request, round(cost), usage_state))
        actions.extend(self._tell_keeper(held.spec, key_state))
        return actions

    def again(
        self, request: str, usage: Usage, now_ms: float, *, sent: bool
    ) -> list[Action] | None:
        """Queue a request anew after an endpoint failed; None if it may not run again.

        Parameters
        ----------
        sent
            Whether a byte of the request may have reached the endpoint.
        """
        held = self._held.get(request)
        if held is None or held.grant is None or now_ms >= held.spec.deadline_ms:
            return None
        if sent and not (held.spec.repeatable and self._budget.spend()):
            return None
        held.exclude = held.grant.endpoint
        held.maybe_ran = held.maybe_ran or sent
        actions = self._settle(held, usage)
        actions.extend(self._queue(held, now_ms))
        self._counts["again"] += 1
        return actions

    # Messages of dispatchers

    def grants(self, sender: str, message: Grants, now_ms: float) -> list[Action]:
        """Start granted requests; grants that are not needed go back."""
        link = self._heard(message.shard, sender, message.term, now_ms)
        if link is not None:
            link.remember(message.counters)
        actions: list[Action] = []
        for grant in message.grants:
            actions.extend(self._granted(sender, message.shard, grant, now_ms))
        return actions

    def refusals(self, sender: str, message: RefuseTickets, now_ms: float) -> list[Action]:
        """End requests that the dispatcher refused."""
        self._heard(message.shard, sender, message.term, now_ms)
        actions: list[Action] = []
        for refusal in message.refusals:
            held = self._held.get(refusal.request)
            if held is None or held.state != "waiting":
                self._counts["refusal_unmatched"] += 1
                continue
            self._link(message.shard).waiting.discard(refusal.request)
            code = ErrorCode(refusal.code)
            reason = Refusal(code, MESSAGES[code], Outcome.NOT_RUN, max(1, refusal.retry_after_ms))
            actions.extend(self._refuse(held, reason, now_ms))
        return actions

    def poll_ack(self, sender: str, message: PollAck, now_ms: float) -> list[Action]:
        """Note that the dispatcher lives; register anew if it asks."""
        link = self._heard(message.shard, sender, message.term, now_ms)
        if link is None or not message.resync:
            return []
        return [self._registration(message.shard, link, now_ms)]

    def probe(self, sender: str, message: Probe, now_ms: float) -> list[Action]:
        """Show a dispatcher that this router lives, and what it has outstanding there."""
        link = self._links.get(message.shard)
        if link is None or sender != link.target:
            return []
        return [Send(sender, link.poll(now_ms))]

    def term_start(self, sender: str, message: TermStart, now_ms: float) -> list[Action]:
        """Follow a dispatcher that has begun a higher term."""
        link = self._links.get(message.shard)
        if link is None or not link.follow(sender, message.term, now_ms):
            return []
        return [self._registration(message.shard, link, now_ms)]

    def tick(self, now_ms: float) -> list[Action]:
        """Check dispatchers, claims and deadlines."""
        actions: list[Action] = []
        for shard, link in self._links.items():
            actions.extend(self._check_link(shard, link, now_ms))
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + HELD_CHECK_MS
            for held in list(self._held.values()):
                actions.extend(self._check_held(held, now_ms))
        return actions

    # Helpers

    def _queue(self, held: _Held, now_ms: float) -> list[Action]:
        held.state = "waiting"
        held.grant = None
        held.grant_shard = None
        service = held.spec.service
        if not self._config.endpoints_of(service):
            return self._refuse(
                held, Refusal(ErrorCode.NO_ENDPOINT, "The service has no endpoint."), now_ms
            )
        count = self._config.shard_count(service, self._shard_size)
        names = [str(index) for index in range(count)]
        chosen = ranked(held.spec.request, names)[:TICKET_SHARDS]
        held.shards = [ShardKey(service, int(name)) for name in chosen]
        actions: list[Action] = []
        ticket = held.ticket(now_ms)
        for shard in held.shards:
            link = self._link(shard)
            actions.extend(self._retarget(shard, link, now_ms))
            link.waiting.add(held.spec.request)
            link.expect_answer(now_ms)
            actions.append(Send(link.target, SubmitTickets(shard, link.term, [ticket])))
        return actions

    def _granted(self, sender: str, shard: ShardKey, grant: Grant, now_ms: float) -> list[Action]:
        held = self._held.get(grant.request)
        endpoint = self._config.endpoint(grant.endpoint)
        if held is not None and held.grant is not None and held.grant_shard == shard:
            self._counts["grant_duplicate"] += 1
            return []
        if held is None or held.state != "waiting" or endpoint is None:
            self._counts["grant_returned"] += 1
            returned = Usage(grant.request, 0.0, USAGE_RETURNED)
            if held is not None:
                self._link(shard).waiting.discard(grant.request)
            return [Send(sender, ReportUsage(shard, [returned]))]
        actions = self._withdraw(held, now_ms, keep=shard)
        held.state = "running"
        held.grant = grant
        held.grant_shard = shard
        held.told_cost = grant.charged
        self._link(shard).running.add(grant.request)
        actions.extend(self._tell_where(held.spec, grant.endpoint))
        actions.append(StartRun(grant.request, grant.endpoint, endpoint["address"], grant.charged))
        return actions

    def _withdraw(
        self, held: _Held, now_ms: float, *, keep: ShardKey | None = None
    ) -> list[Action]:
        actions: list[Action] = []
        request = held.spec.request
        for shard in held.shards:
            link = self._link(shard)
            if request not in link.waiting:
                continue
            link.waiting.discard(request)
            if shard != keep:
                actions.append(Send(link.target, CancelTickets(shard, [request])))
        return actions

    def _readable_at(self, answer: ClaimAnswer, spec: RequestSpec) -> str:
        """Address of the endpoint that can give the run's answer again, empty if none can."""
        service = self._config.service(spec.service)
        endpoint = self._config.endpoint(answer.endpoint)
        if service is None or endpoint is None or service["kind"] != "model":
            return ""
        return endpoint["address"]

    def _settle(self, held: _Held, usage: Usage) -> list[Action]:
        if held.grant_shard is None:
            return []
        self._link(held.grant_shard).running.discard(held.spec.request)
        return self._report(held, usage)

    def _report(self, held: _Held, usage: Usage) -> list[Action]:
        if held.grant_shard is None:
            return []
        link = self._link(held.grant_shard)
        return [Send(link.target, ReportUsage(held.grant_shard, [usage]))]

    def _refuse(self, held: _Held, refusal: Refusal, now_ms: float) -> list[Action]:
        self._held.pop(held.spec.request, None)
        actions = self._withdraw(held, now_ms)
        if held.maybe_ran:
            # An earlier try may have run; calling this one not run would invite a second run.
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        if refusal.outcome == Outcome.NOT_RUN:
            actions.extend(self._tell_keeper(held.spec, RELEASED))
        actions.append(RefuseRequest(held.spec.request, refusal))
        return actions

    def _tell_keeper(self, spec: RequestSpec, state: str) -> list[Action]:
        if not spec.key:
            return []
        token = parse_key(spec.key)
        if token is None:
            return [RowDone(spec.key, spec.workspace, state)]
        return [Send(token.router, ClaimDone(spec.request, state))]

    def _tell_where(self, spec: RequestSpec, endpoint: str) -> list[Action]:
        token = parse_key(spec.key) if spec.key else None
        if token is None:
            return []
        message = ClaimRunning(spec.request, endpoint)
        return [Send(token.router, message)]

    def _link(self, shard: ShardKey) -> ShardLink:
        link = self._links.get(shard)
        if link is None:
            link = self._links[shard] = ShardLink(shard, self._router)
        return link

    def _heard(self, shard: ShardKey, sender: str, term: int, now_ms: float) -> ShardLink | None:
        link = self._links.get(shard)
        if link is None or not link.heard(sender, term, now_ms):
            self._counts["stale_term"] += 1
            return None
        return link

    def _retarget(self, shard: ShardKey, link: ShardLink, now_ms: float) -> list[Action]:
        if not link.aim(self._candidates, now_ms):
            return []
        self._counts["retarget"] += 1
        return [self._registration(shard, link, now_ms)]

    def _registration(self, shard: ShardKey, link: ShardLink, now_ms: float) -> Send:
        tickets = [
            self._held[request].ticket(now_ms)
            for request in sorted(link.waiting)
            if request in self._held
        ]
        running = []
        for request in sorted(link.running):
            held = self._held.get(request)
            if held is not None and held.grant is not None:
                charged = max(held.grant.charged, held.told_cost)
                running.append(
                    RunningGrant(request, held.spec.workspace, held.grant.endpoint, charged)
                )
        workspaces = {ticket.workspace for ticket in tickets}
        workspaces |= {grant.workspace for grant in running}
        counters = link.counters_of(workspaces)
        return Send(link.target, Register(shard, link.term, tickets, running, counters))

    def _check_link(self, shard: ShardKey, link: ShardLink, now_ms: float) -> list[Action]:
        if link.idle:
            return []
        actions = self._retarget(shard, link, now_ms)
        if link.give_up_if_silent(now_ms):
            self._counts["dispatcher_silent"] += 1
            actions.extend(self._retarget(shard, link, now_ms))
        poll = link.due_poll(now_ms)
        if poll is not None:
            actions.append(Send(link.target, poll))
        return actions

    def _check_held(self, held: _Held, now_ms: float) -> list[Action]:
        if held.state == "claiming" and held.claim_asked:
            if now_ms - held.claim_sent_ms >= CLAIM_TIMEOUT_MS:
                self._counts["keeper_silent"] += 1
                return self._refuse(held, claim_refusal("silent", first=held.spec.first), now_ms)
        elif held.state == "waiting" and now_ms >= held.spec.deadline_ms:
            refusal = Refusal(
                ErrorCode.DEADLINE,
                MESSAGES[ErrorCode.DEADLINE],
                Outcome.NOT_RUN,
                RETRY_AFTER_MS,
            )
            return self._refuse(held, refusal, now_ms)
        return []
