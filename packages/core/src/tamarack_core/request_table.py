"""Requests held by a router: claim, ticket, grant, run and settlement.

Each event returns actions. A request leaves the table when it is finished or refused.
"""

from __future__ import annotations

from collections import Counter

from tamarack_core.actions import (
    Action,
    ClaimRow,
    FollowRequest,
    RefuseRequest,
    RowDone,
    Send,
    StartRun,
)
from tamarack_core.claim_messages import ClaimAnswer, ClaimDone
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
    ReportUsage,
    ShardKey,
    SubmitTickets,
    TermStart,
    Usage,
)
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.key_actions import claim_key, key_owner_of, report_done, report_running
from tamarack_core.key_owner import DONE, FRESH, ORPHAN, RELEASED, RUNNING
from tamarack_core.refusals import MESSAGES, RETRY_AFTER_MS, claim_refusal
from tamarack_core.rendezvous import ranked
from tamarack_core.request_spec import RequestSpec
from tamarack_core.retry_budget import RetryBudget
from tamarack_core.shard_link import Candidates
from tamarack_core.shard_links import ShardLinks
from tamarack_core.tracked_request import TrackedRequest

TICKET_SHARDS = 2  # shards that receive a ticket of each request
TIMEOUT_CHECK_MS = 100


class RequestTable:
    """Requests held by one router.

    Parameters
    ----------
    router
        The router's own name.
    candidates
        The members that may dispatch, including this router.
    """

    def __init__(
        self, router: str, candidates: Candidates, *, shard_size: int = SHARD_SIZE
    ) -> None:
        self._shard_size = shard_size
        self._config = Configuration()
        self._held: dict[str, TrackedRequest] = {}
        self._budget = RetryBudget()
        self._next_check_ms = 0.0
        self._counts: Counter[str] = Counter()
        self._links = ShardLinks(router, candidates, self._held, self._counts)

    def __len__(self) -> int:
        return len(self._held)

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name."""
        return self._counts

    @property
    def waiting(self) -> int:
        """Number of requests without a grant."""
        return sum(1 for held in self._held.values() if held.state in ("claiming", "waiting"))

    @property
    def running(self) -> int:
        """Number of requests with a grant."""
        return sum(1 for held in self._held.values() if held.state == "running")

    def terms(self) -> dict[ShardKey, tuple[str, int]]:
        """Current dispatcher and term of each shard in use."""
        return self._links.terms()

    def configure(self, config: Configuration) -> None:
        """Apply a configuration."""
        self._config = config

    # Events of the request itself

    def submit(self, spec: RequestSpec, now_ms: float) -> list[Action]:
        """Accept a request; if it has an idempotency key, the key is claimed first."""
        self._budget.earn()
        held = self._held[spec.request] = TrackedRequest(spec, now_ms)
        if not spec.key:
            return self._submit_tickets(held, now_ms)
        held.state = "claiming"
        held.claim_sent_ms = now_ms
        held.claim_owner = key_owner_of(spec)
        return [claim_key(spec)]

    def claim_answer(self, key_owner: str, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        """Continue a request according to its key owner's decision."""
        held = self._held.get(answer.request)
        if held is None or held.state != "claiming":
            # The caller has disconnected; its claim is released so that a retry can run.
            self._counts["claim_unmatched"] += 1
            if answer.state == FRESH:
                return [Send(key_owner, ClaimDone(answer.request, RELEASED))]
            return []
        return self._apply_claim(held, answer, now_ms)

    def row_answer(self, claim: ClaimRow, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        """Continue a request according to the table service's decision."""
        held = self._held.get(claim.request)
        if held is None or held.state != "claiming":
            self._counts["claim_unmatched"] += 1
            if answer.state == FRESH:
                return [RowDone(claim.key, claim.workspace, RELEASED)]
            return []
        return self._apply_claim(held, answer, now_ms)

    def _apply_claim(
        self, held: TrackedRequest, answer: ClaimAnswer, now_ms: float
    ) -> list[Action]:
        if answer.state == FRESH:
            return self._submit_tickets(held, now_ms)
        address = self._replay_address(answer, held.spec)
        if answer.state in (RUNNING, DONE):
            del self._held[answer.request]
            return [FollowRequest(answer.request, answer.holder, answer.run, address)]
        if answer.state == ORPHAN and address:
            held.state = "running"
            return [FollowRequest(answer.request, "", answer.run, address)]
        return self._refuse(held, claim_refusal(answer.state, first=held.spec.first), now_ms)

    def cancel(self, request: str, now_ms: float) -> list[Action]:
        """Cancel a request that does not run yet, after its caller has disconnected."""
        held = self._held.get(request)
        if held is None or held.state == "running":
            return []
        self._counts["cancelled"] += 1
        actions = self._withdraw(held, now_ms)
        actions.extend(report_done(held.spec, RELEASED))
        del self._held[request]
        return actions

    def progress(self, request: str, cost: float, now_ms: float) -> list[Action]:
        """Report progress when a run's cost exceeds what it has been charged."""
        held = self._held.get(request)
        if held is None or held.grant is None or cost <= held.reported_cost:
            return []
        held.reported_cost = cost * (1.0 + PROGRESS_STEP)
        return self._report(held, Usage(request, round(cost), USAGE_RUNNING))

    def finished(
        self, request: str, cost: float, usage_state: int, key_state: str, now_ms: float
    ) -> list[Action]:
        """Settle a finished run and report it to the key owner."""
        held = self._held.pop(request, None)
        if held is None:
            return []
        actions = self._settle(held, Usage(request, round(cost), usage_state))
        actions.extend(report_done(held.spec, key_state))
        return actions

    def requeue(
        self, request: str, usage: Usage, now_ms: float, *, sent: bool
    ) -> list[Action] | None:
        """Requeue a request after an endpoint failure; None if it may not run again.

        Parameters
        ----------
        sent
            Whether any byte of the request may have reached the endpoint.
        """
        held = self._held.get(request)
        if held is None or held.grant is None or now_ms >= held.spec.deadline_ms:
            return None
        if sent and not (held.spec.repeatable and self._budget.spend()):
            return None
        held.exclude = held.grant.endpoint
        held.maybe_ran = held.maybe_ran or sent
        actions = self._settle(held, usage)
        actions.extend(self._submit_tickets(held, now_ms))
        self._counts["again"] += 1
        return actions

    # Messages of dispatchers

    def grants(self, sender: str, message: Grants, now_ms: float) -> list[Action]:
        """Start granted requests; grants that cannot be used are returned."""
        link = self._links.record_message(message.shard, sender, message.term, now_ms)
        if link is not None:
            link.store_counters(message.counters)
        actions: list[Action] = []
        for grant in message.grants:
            actions.extend(self._handle_grant(sender, message.shard, grant, now_ms))
        return actions

    def refusals(self, sender: str, message: RefuseTickets, now_ms: float) -> list[Action]:
        """Refuse the requests whose tickets the dispatcher refused."""
        self._links.record_message(message.shard, sender, message.term, now_ms)
        actions: list[Action] = []
        for refusal in message.refusals:
            held = self._held.get(refusal.request)
            if held is None or held.state != "waiting":
                self._counts["refusal_unmatched"] += 1
                continue
            self._links.get(message.shard).waiting.discard(refusal.request)
            code = ErrorCode(refusal.code)
            reason = Refusal(code, MESSAGES[code], Outcome.NOT_RUN, max(1, refusal.retry_after_ms))
            actions.extend(self._refuse(held, reason, now_ms))
        return actions

    def poll_ack(self, sender: str, message: PollAck, now_ms: float) -> list[Action]:
        """Record that the dispatcher is alive; register again if it asks for a resync."""
        link = self._links.record_message(message.shard, sender, message.term, now_ms)
        if link is None or not message.resync:
            return []
        return [self._links.registration(link, now_ms)]

    def probe(self, sender: str, message: Probe, now_ms: float) -> list[Action]:
        """Answer a dispatcher's liveness probe with a poll of the outstanding numbers."""
        link = self._links.find(message.shard)
        if link is None or sender != link.target:
            return []
        return [Send(sender, link.poll(now_ms))]

    def term_start(self, sender: str, message: TermStart, now_ms: float) -> list[Action]:
        """Switch to a dispatcher that started a higher term."""
        link = self._links.find(message.shard)
        if link is None or not link.follow(sender, message.term, now_ms):
            return []
        return [self._links.registration(link, now_ms)]

    def tick(self, now_ms: float) -> list[Action]:
        """Check dispatchers, claim timeouts and deadlines."""
        actions = self._links.tick(now_ms)
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + TIMEOUT_CHECK_MS
            for held in list(self._held.values()):
                actions.extend(self._check_timeouts(held, now_ms))
        return actions

    # Helpers

    def _submit_tickets(self, held: TrackedRequest, now_ms: float) -> list[Action]:
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
            link = self._links.get(shard)
            actions.extend(self._links.retarget(link, now_ms))
            link.waiting.add(held.spec.request)
            link.expect_answer(now_ms)
            actions.append(Send(link.target, SubmitTickets(shard, link.term, [ticket])))
        return actions

    def _handle_grant(
        self, sender: str, shard: ShardKey, grant: Grant, now_ms: float
    ) -> list[Action]:
        held = self._held.get(grant.request)
        endpoint = self._config.endpoint(grant.endpoint)
        if held is not None and held.grant is not None and held.grant_shard == shard:
            self._counts["grant_duplicate"] += 1
            return []
        if held is None or held.state != "waiting" or endpoint is None:
            self._counts["grant_returned"] += 1
            returned = Usage(grant.request, 0.0, USAGE_RETURNED)
            if held is not None:
                self._links.get(shard).waiting.discard(grant.request)
            return [Send(sender, ReportUsage(shard, [returned]))]
        actions = self._withdraw(held, now_ms, keep=shard)
        held.state = "running"
        held.grant = grant
        held.grant_shard = shard
        held.reported_cost = grant.charged
        self._links.get(shard).running.add(grant.request)
        actions.extend(report_running(held.spec, grant.endpoint))
        actions.append(StartRun(grant.request, grant.endpoint, endpoint["address"], grant.charged))
        return actions

    def _withdraw(
        self, held: TrackedRequest, now_ms: float, *, keep: ShardKey | None = None
    ) -> list[Action]:
        actions: list[Action] = []
        request = held.spec.request
        for shard in held.shards:
            link = self._links.get(shard)
            if request not in link.waiting:
                continue
            link.waiting.discard(request)
            if shard != keep:
                actions.append(Send(link.target, CancelTickets(shard, [request])))
        return actions

    def _replay_address(self, answer: ClaimAnswer, spec: RequestSpec) -> str:
        """Address of the endpoint that can replay the run's response, empty if none can."""
        service = self._config.service(spec.service)
        endpoint = self._config.endpoint(answer.endpoint)
        if service is None or endpoint is None or service["kind"] != "model":
            return ""
        return endpoint["address"]

    def _settle(self, held: TrackedRequest, usage: Usage) -> list[Action]:
        if held.grant_shard is None:
            return []
        self._links.get(held.grant_shard).running.discard(held.spec.request)
        return self._report(held, usage)

    def _report(self, held: TrackedRequest, usage: Usage) -> list[Action]:
        if held.grant_shard is None:
            return []
        link = self._links.get(held.grant_shard)
        return [Send(link.target, ReportUsage(held.grant_shard, [usage]))]

    def _refuse(self, held: TrackedRequest, refusal: Refusal, now_ms: float) -> list[Action]:
        self._held.pop(held.spec.request, None)
        actions = self._withdraw(held, now_ms)
        if held.maybe_ran:
            # An earlier attempt may have run; `not-run` would invite the caller to run it twice.
            refusal = refusal._replace(outcome=Outcome.UNKNOWN)
        if refusal.outcome == Outcome.NOT_RUN:
            actions.extend(report_done(held.spec, RELEASED))
        actions.append(RefuseRequest(held.spec.request, refusal))
        return actions

    def _check_timeouts(self, held: TrackedRequest, now_ms: float) -> list[Action]:
        if held.state == "claiming" and held.claim_owner:
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
