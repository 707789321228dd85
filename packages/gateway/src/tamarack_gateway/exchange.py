"""Handles one request: picks an endpoint, sends the request, retries it, and answers the caller."""

from __future__ import annotations

import asyncio

from tamarack_core.admission import Admission
from tamarack_core.admitted_placement import AdmittedPlacement
from tamarack_core.placement import Choice
from tamarack_core.prompt import Prompt
from tamarack_core.quarantine import Treatment
from tamarack_core.rendezvous import draw
from tamarack_core.route_load import RouteLoad
from tamarack_core.ruleset import Route
from tamarack_gateway.answer_timeouts import AnswerTimeouts
from tamarack_gateway.caller_answer import CallerAnswer
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.duration_estimate import DurationEstimate
from tamarack_gateway.endpoint_connection import (
    BrokenAnswerError,
    ConnectError,
    ConnectionLostError,
    EndpointConnection,
)
from tamarack_gateway.endpoint_selector import EndpointSelector
from tamarack_gateway.engine_admission import EngineAdmission
from tamarack_gateway.event_relay import EventRelay
from tamarack_gateway.event_splitter import BadStreamError, EventSplitter
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.http_messages import AnswerHead, Request
from tamarack_gateway.origin_feed import OriginFeed
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.request_quarantine import RequestQuarantine
from tamarack_gateway.send_recorder import UNREACHED_WEIGHT, SendRecorder
from tamarack_gateway.send_result import Result, SendOutcome
from tamarack_gateway.sending_connection import acquire_connection
from tamarack_gateway.site import RequestDialect, RequestFacts
from tamarack_gateway.unavailability import refusal

DEADLINE_MARGIN_MS = 15.0
"""Subtracted from the deadline sent to an endpoint: its answer takes a few milliseconds to come
back."""

MIN_TIME_LEFT_MS = 30.0
"""A request with less time left is not sent: no endpoint answers that fast."""

UNKNOWN_ORIGIN = Result(SendOutcome.NOT_RUN, "the stream's software version is not known")
"""Result of a request that goes on with a stream of which no router is certain where it began."""

MAX_CONNECT_FAILURES = 4
"""Failed connection attempts after which a request is given up; nothing was sent in any of them."""


class Exchange:
    """Handles one request from its arrival to its answer.

    Parameters
    ----------
    workspace
        Workspace of the caller's key; None for a request without a key.
    load
        Counts of the route.
    """

    def __init__(
        self,
        state: FleetState,
        dialect: RequestDialect,
        pool: ConnectionPool,
        outbox: Outbox,
        caller: CallerConnection,
        request: Request,
        facts: RequestFacts,
        route: Route,
        workspace: str | None,
        request_quarantine: RequestQuarantine,
        origins: OriginFeed,
        load: RouteLoad,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._caller = caller
        self._request = request
        self._facts = facts
        self._route = route
        self._workspace = workspace
        self._request_quarantine = request_quarantine
        self._origins = origins
        self._load = load
        self._stream = facts.resumes or facts.attempt
        # A take-up of a stream is routed to the same service of a split route.
        self._service = route.service_for(draw(self._stream))
        self._recorder = SendRecorder(
            state, outbox, facts.attempt, self._service, workspace, self._prompt
        )
        self._answer = CallerAnswer(caller, dialect, facts.attempt)
        self._selector = EndpointSelector(
            state,
            route,
            self._service,
            workspace,
            self._prompt,
            EngineAdmission(state, self._service, request, facts, route, workspace),
            request_quarantine,
        )
        self._splitter = EventSplitter(facts.last_event)
        self._duration_estimate = DurationEstimate(state, route, self._service, self._prompt)
        limit_ms = route.time_limit_ms
        if facts.wait_ms is not None:
            limit_ms = min(limit_ms, facts.wait_ms)
        self._deadline_ms = request.arrived_ms + limit_ms
        self._timeouts = AnswerTimeouts(state, route)
        self._sends = 0
        self._may_have_run = False
        self._first_event_ms: float | None = None
        self._relay: EventRelay | None = None
        self._held_failure = state.memory.holding()
        self._answered = False

    @property
    def sends(self) -> int:
        """Number of times the request was sent to an endpoint."""
        return self._sends

    def end(self) -> str:
        """Answer a request that is cancelled because the router exits; returns the outcome.

        With an immediate answer the caller either retries at another router, or learns that the
        request may have run.
        """
        if self._caller.begun:
            self._caller.cut()
            return "cut"
        if self._may_have_run:
            self._answer.refuse(502, None)
            return "failed"
        self._answer.refuse_for_now(self._state.random.random())
        return "refused"

    def delivered(self) -> None:
        """Record that the caller has taken the answer; a refusal is not recorded."""
        if not self._answered:
            return
        self._origins.ended(self._stream)
        self._duration_estimate.ended()

    @property
    def _prompt(self) -> Prompt | None:
        return self._facts.prompt if self._route.streams else None

    @property
    def left_ms(self) -> float:
        """Time left until the request's deadline."""
        return self._deadline_ms - self._state.clock.now_ms

    async def run(self) -> None:
        """Answer the request."""
        state = self._state
        state.allowance.record_request(self._service, state.clock.now_ms)
        self._recorder.asked()
        if self._route.resumable and self._facts.takes_up:
            found = await self._origins.find(self._facts, self._service)
            if found.software_version is None:
                return self._give_up(UNKNOWN_ORIGIN)
            self._selector.software_version = found.software_version
            self._selector.was_admitted = found.remembered
        try:
            return await self._attempts()
        finally:
            self._held_failure.release()

    async def _attempts(self) -> None:
        connect_failures = 0
        last = Result(SendOutcome.NOT_RUN, "no endpoint")
        while True:
            standing = self._request_quarantine.current_handling()
            if standing.treatment is Treatment.QUARANTINED:
                return self._quarantine()
            if standing.treatment is Treatment.WAIT and self.left_ms >= MIN_TIME_LEFT_MS:
                await asyncio.sleep(min(standing.wait_ms, self.left_ms) / 1000)
                continue
            placement = None
            if self._key_is_valid():
                placement = self._selector.select(self.left_ms, retries=self._sends > 0)
            if placement is None:
                return self._give_up(last)
            choice, decision, _ = placement
            if decision.admission is Admission.REFUSED:
                self._answer.refuse(503, decision.wait_ms)
                return None
            if not self._may_finish(choice):
                return self._refuse_outlasting(choice, last)
            if decision.admission is Admission.HELD:
                await asyncio.sleep(decision.wait_ms / 1000)
                continue
            try:
                connection = await acquire_connection(self._pool, choice.endpoint, self._caller)
            except ConnectError as error:
                connect_failures += 1
                self._pool.drop(choice.endpoint)
                self._recorder.failure(
                    choice.endpoint, f"connect: {error}", weight=UNREACHED_WEIGHT
                )
                self._selector.exclude(choice.endpoint)
                if connect_failures >= MAX_CONNECT_FAILURES:
                    return self._give_up(last)
                continue
            if self.left_ms < MIN_TIME_LEFT_MS or not self._key_is_valid():
                connection.abort()
                return self._give_up(last)
            if not self._may_finish(choice):
                connection.abort()
                return self._refuse_outlasting(choice, last)
            if not self._state.is_available(choice.endpoint):
                # It drains, has restarted, rests, or got all that it may get while it warms up.
                connection.abort()
                continue
            last = await self._send(placement, connection)
            self._held_failure.charge(len(last.body))
            if last.outcome is SendOutcome.DONE:
                return None
            if not self._may_retry(last):
                return self._give_up(last)

    def _key_is_valid(self) -> bool:
        # Checked again after each wait: the key may have been revoked meanwhile, or the store may
        # have been unreachable for so long that the local configuration is no longer trusted.
        if self._workspace is None:
            return True
        state = self._state
        if not state.freshness.trusted(state.clock.now_ms) or state.rules is None:
            return False
        return state.rules.workspace_of(self._facts.key or "") == self._workspace

    def _may_finish(self, choice: Choice) -> bool:
        # Checked again after each wait, like the key. An answer that has begun is cut in any case
        # unless it is sent again, so that a further send is always allowed.
        return self._caller.begun or self._duration_estimate.fits(
            choice, self.left_ms, self._splitter.last
        )

    def _refuse_outlasting(self, choice: Choice, last: Result) -> None:
        state, plan = self._state, self._state.leaving
        if plan is None or self._may_have_run:
            return self._give_up(last)
        longest_ms = self._duration_estimate.longest_ms(choice, self.left_ms, self._splitter.last)
        state.log.request(
            "refused",
            self._facts.attempt,
            reason="would outlast the router",
            endpoint=choice.endpoint.name,
            longest_ms=round(longest_ms),
            router_left_ms=round(plan.left_ms(state.clock.now_ms)),
        )
        return self._answer.refuse_for_now(state.random.random())

    # one send

    async def _send(self, placement: AdmittedPlacement, connection: EndpointConnection) -> Result:
        choice, state = placement.choice, self._state
        endpoint = choice.endpoint
        self._sends += 1
        self._selector.exclude(endpoint)
        self._recorder.placed(
            placement, self._route, self._sends, self.left_ms, self._splitter.last
        )
        self._recorder.sent(choice)
        if self._selector.was_admitted:
            self._origins.went_on(self._stream)
        self._request_quarantine.sent(endpoint)
        self._first_event_ms = self._relay = None
        sent_ms = state.clock.now_ms
        whole = False
        try:
            async with asyncio.timeout(max(0.0, self.left_ms) / 1000):
                result = await self._transfer(choice, connection)
            whole = result.outcome in (SendOutcome.DONE, SendOutcome.NOT_RUN, SendOutcome.FAILED)
        except TimeoutError:
            slow = self._relay is not None and self._relay.paused
            reason = "the caller read too slowly" if slow else "no answer in time"
            result = Result(SendOutcome.TIMED_OUT, reason, caller_slow=slow)
        except (BrokenAnswerError, BadStreamError) as error:
            lost = isinstance(error, ConnectionLostError)
            result = Result(SendOutcome.BROKEN, str(error), lost=lost)
        finally:
            self._recorder.ended()
            self._request_quarantine.ended()
            if self._relay is not None:
                self._relay.close()
            if whole:
                self._pool.give_back(endpoint, connection)
            else:
                # Closing cancels the request at the endpoint; its result would be unused.
                connection.abort()
        took_ms = state.clock.now_ms - sent_ms
        self._recorder.result(endpoint, result, took_ms)
        if result.outcome in (SendOutcome.DONE, SendOutcome.FAILED):
            self._request_quarantine.answered(generated=result.outcome is SendOutcome.DONE)
        if result.lost:
            begun_ms = self._first_event_ms
            running_ms = None if begun_ms is None else state.clock.now_ms - begun_ms
            await self._request_quarantine.lost(endpoint, running_ms, sent_ms)
        if result.outcome is SendOutcome.DONE:
            self._answered = True
            first_event_ms = self._first_event_ms and self._first_event_ms - sent_ms
            self._recorder.answered(choice, took_ms, first_event_ms)
        return result

    async def _transfer(self, choice: Choice, connection: EndpointConnection) -> Result:
        data = self._dialect.for_endpoint(
            self._request,
            endpoint=choice.endpoint,
            workspace=self._workspace,
            left_ms=max(1.0, self.left_ms - DEADLINE_MARGIN_MS),
            last_event=self._splitter.last,
        )
        # Once the first byte is written the request may run, whatever the endpoint answers.
        sent_ms = self._state.clock.now_ms
        ran_before, self._may_have_run = self._may_have_run, True
        connection.send(data)
        head = await self._timeouts.head(connection.head, choice, self)
        facts = self._dialect.read_answer(head)
        if facts.attempt is not None and facts.attempt != self._facts.attempt:
            raise BrokenAnswerError("the answer belongs to another request")
        self._state.notices.record(choice.endpoint, facts)
        if facts.not_run:
            self._may_have_run = ran_before
            await connection.body()
            return Result(SendOutcome.NOT_RUN, f"status {head.status}")
        if not 200 <= head.status < 300:
            body = await connection.body()
            return Result(SendOutcome.FAILED, f"status {head.status}", head, body)
        if not facts.signed or facts.encoded:
            raise BrokenAnswerError("the answer is not the endpoint's")
        if self._route.streams:
            return await self._relay_events(choice, connection, head)
        body = await connection.body()
        if head.length is not None and len(body) != head.length:
            raise BrokenAnswerError("the body is not whole")
        await self._request_quarantine.check_end(choice.endpoint, head)
        self._duration_estimate.began(sent_ms)
        self._caller.answer(head.status, self._dialect.for_caller(head), body)
        return Result(SendOutcome.DONE)

    async def _relay_events(
        self, choice: Choice, connection: EndpointConnection, head: AnswerHead
    ) -> Result:
        clock, resumed_after = self._state.clock, self._splitter.last

        def on_first_event() -> None:
            self._first_event_ms = clock.now_ms
            self._duration_estimate.began(clock.now_ms, resumed_after)
            self._selector.software_version = choice.endpoint.software_version
            if self._route.resumable:
                self._origins.began(self._stream, choice.endpoint)
            self._recorder.first_event(choice)

        self._relay = relay = EventRelay(
            connection,
            self._caller,
            self._answer,
            head,
            self._splitter,
            clock,
            on_first_event,
            self._load,
        )
        await self._timeouts.whole(relay, choice, self)
        await self._request_quarantine.check_end(choice.endpoint, head)
        relay.end()
        return Result(SendOutcome.DONE)

    # after a send

    def _may_retry(self, last: Result) -> bool:
        if last.outcome is SendOutcome.TIMED_OUT:
            return False
        if last.outcome is not SendOutcome.NOT_RUN and not self._route.repeatable:
            return False
        if last.head is not None and last.head.status == 504 and self._route.streams:
            return False
        if not self._can_be_sent_again:
            return False
        state = self._state
        allowed = state.allowance.take(self._service, state.clock.now_ms)
        state.log.request(
            "sent again" if allowed else "not sent again for the retry budget",
            self._facts.attempt,
            reason=last.reason,
            sends=self._sends,
            last_event=self._splitter.last,
        )
        return allowed

    @property
    def _can_be_sent_again(self) -> bool:
        if self._caller.disconnected or self.left_ms < MIN_TIME_LEFT_MS:
            return False
        resumable = self._splitter.resumable or not self._caller.begun
        return resumable and self._sends < self._route.max_attempts

    def may_send_elsewhere(self) -> bool:
        """Whether another endpoint could take the request over now."""
        state = self._state
        if not self._can_be_sent_again or not self._key_is_valid():
            return False
        if not state.allowance.available(self._service, state.clock.now_ms):
            return False
        placement = self._selector.select(self.left_ms, retries=True)
        return placement is not None and self._may_finish(placement.choice)

    def _quarantine(self) -> None:
        self._request_quarantine.refused(self._sends)
        if self._caller.begun:
            self._caller.cut()
        elif self._may_have_run:
            self._answer.refuse(502, None)
        else:
            self._answer.quarantine()

    def _give_up(self, last: Result) -> None:
        state = self._state
        if self._caller.begun:
            state.log.request(
                "cut",
                self._facts.attempt,
                reason=last.reason,
                sends=self._sends,
                software_version=self._selector.software_version,
                **self._silence(),
            )
            self._caller.cut()
            return
        if last.outcome is SendOutcome.FAILED and last.head is not None:
            self._answer.pass_failure(last.head, last.body)
            return
        if not self._may_have_run:
            reason = last.reason if self._key_is_valid() else "keys are not confirmed"
            reason, wait_ms = refusal(state, self._service, reason)
            state.log.request("refused", self._facts.attempt, reason=reason, sends=self._sends)
            self._answer.refuse(503, wait_ms)
            return
        status = 504 if last.outcome is SendOutcome.TIMED_OUT else 502
        state.log.request(
            "failed", self._facts.attempt, reason=last.reason, status=status, **self._silence()
        )
        self._answer.refuse(status, None)

    def _silence(self) -> dict[str, int | None]:
        # Tells an answer that the router gave up from one that its endpoint or the stop ended.
        relay = self._relay
        return {
            "stopping_ms": self._state.stopping_ms,
            "silent_ms": None if relay is None else round(relay.silent_ms),
        }
