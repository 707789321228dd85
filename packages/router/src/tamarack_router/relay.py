"""Event loop that relays answers between endpoints' sockets and callers' sockets.

One selector serves all streams, because a thread per stream would cost a wake-up per token. Here
a token costs a read, a parser call, the framing and a write. The selector also detects the
disconnect of a caller that is still waiting.
"""

from __future__ import annotations

import selectors
from collections import Counter, defaultdict

from tamarack_core.actions import FollowRequest, StartRun
from tamarack_core.clock import Clock
from tamarack_core.dispatch_messages import USAGE_FAILED, USAGE_FINISHED, USAGE_RETURNED
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.key_owner import DONE, ORPHAN, RELEASED, UNKNOWN
from tamarack_core.leaving import LeavingPlan
from tamarack_core.memory_budget import UNLIMITED, MemoryBudget
from tamarack_core.service_times import ServiceTimes
from tamarack_router.caller_sockets import CallerSockets
from tamarack_router.endpoint_cancel import cancel_at_endpoint
from tamarack_router.followed_requests import FollowedRequests
from tamarack_router.follower import Follower
from tamarack_router.handlers import Handlers
from tamarack_router.held_request import HeldRequest
from tamarack_router.logs import PartLog
from tamarack_router.mailbox import Mailbox
from tamarack_router.mailbox_task import MailboxTask
from tamarack_router.messages import (
    CancelRequest,
    EndHeld,
    EndRequest,
    FollowAnswer,
    HoldRequest,
    PeerAnswer,
    PeerMessage,
    PeerQuery,
    PlanExit,
    RunFailed,
    RunFinished,
    RunProgress,
    Stop,
    SubmitRequest,
)
from tamarack_router.remote_answers import RemoteAnswers, answer_part
from tamarack_router.run import RESUME_PAUSE_MS, Run, RunLimits, Step
from tamarack_router.run_sockets import RunSockets
from tamarack_router.share_limiter import ShareLimiter
from tamarack_router.stored_answer import AnswerState, AnswerStore, StoredAnswer
from tamarack_router.timers import Timers
from tamarack_router.tracing import Tracing, traceparent_of

CHECK_INTERVAL_MS = 100.0

NO_MEMORY = Refusal(
    ErrorCode.QUEUE_FULL,
    "The router holds as many bytes of requests as it may; ask again later.",
    Outcome.NOT_RUN,
    200,
)

LEAVING = Refusal(
    ErrorCode.LEAVING,
    "The router is leaving before the request would end; use another address.",
    Outcome.NOT_RUN,
    1,
)

_HANDLERS = Handlers()
handles = _HANDLERS.handles


class Relay(MailboxTask):
    """The relay task of one router.

    Parameters
    ----------
    control
        Mailbox of the control task.
    limiter
        Limits the held requests per workspace; a request's place is released when it ends.
    memory
        Budget for the bytes of held requests and of their answers until they end.
    """

    def __init__(
        self,
        clock: Clock,
        control: Mailbox,
        answers: AnswerStore,
        limiter: ShareLimiter,
        tracing: Tracing,
        limits: RunLimits,
        memory: MemoryBudget = UNLIMITED,
    ) -> None:
        super().__init__("relay", self._loop, Mailbox())
        self._clock = clock
        self._control = control
        self._answers = answers
        self._limiter = limiter
        self._tracing = tracing
        self._limits = limits
        self._memory = memory
        self._exit_plan: LeavingPlan | None = None
        self._times: defaultdict[str, ServiceTimes] = defaultdict(ServiceTimes)
        self._selector = selectors.DefaultSelector()
        self._held: dict[str, HeldRequest] = {}
        self._callers = CallerSockets(self._selector, self._on_unfollowed)
        self._remote = RemoteAnswers(control)
        self._followed = FollowedRequests(answers, self._remote, self._callers, self._release_held)
        self._runs = RunSockets(clock, self._selector, self._step)
        self._timers = Timers(clock)
        self._counts: Counter[str] = Counter()
        self._next_check_ms = 0.0
        self._log = PartLog("relay")

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name; written by the relay thread only, read by others."""
        return self._counts

    @property
    def gauges(self) -> dict[str, float]:
        """Current gauge values for the metrics."""
        return {
            "requests_held": self.held,
            "callers_connected": self.followers,
            "answers_kept_bytes": self._answers.stored_bytes,
            "held_bytes": self._memory.held_bytes,
            "answers_evicted": self._answers.evicted,
        }

    @property
    def held(self) -> int:
        """Number of requests held: accepted and not yet finished."""
        return len(self._held)

    @property
    def followers(self) -> int:
        """Number of callers that wait for an answer or are receiving one."""
        return len(self._callers)

    @property
    def busy(self) -> int:
        """Number of requests and callers that a graceful shutdown waits for."""
        return self.held + self.followers

    # The loop

    def _loop(self) -> None:
        self._selector.register(self._mailbox, selectors.EVENT_READ, None)
        while not self._stopped:
            for key, mask in self._selector.select(self._wait_s()):
                if key.data is None:
                    self._read_mailbox()
                else:
                    key.data(mask)
            self._run_timers()
        self._callers.close()
        self._selector.close()

    def _wait_s(self) -> float:
        due_ms = min(self._next_check_ms, self._timers.next_ms)
        return max(0.0, due_ms - self._clock.now_ms) / 1000

    def _read_mailbox(self) -> None:
        _HANDLERS.dispatch(self, self._mailbox.drain())

    def _run_timers(self) -> None:
        self._timers.run()
        now_ms = self._clock.now_ms
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + CHECK_INTERVAL_MS
            self._check(now_ms)

    def _check(self, now_ms: float) -> None:
        for held in list(self._held.values()):
            if held.run is not None:
                self._check_run(held, held.run, now_ms)
        for answer in self._remote.check(now_ms):
            self._on_holder_unresponsive(answer)
        self._answers.expire(now_ms)

    def _check_run(self, held: HeldRequest, run: Run, now_ms: float) -> None:
        if now_ms >= held.spec.deadline_ms:
            self._counts["deadline_while_running"] += 1
            message = "The deadline passed while the request was running."
            self._abort(held, Refusal(ErrorCode.DEADLINE, message, Outcome.UNKNOWN))
        elif run.timed_out(now_ms):
            self._counts["silent_connections"] += 1
            self._log.info("An endpoint connection timed out.", request=held.spec.request)
            self._step(held, run, run.lost())
        elif run.call.kind == "plain":
            self._report(held, run, now_ms)

    # Messages

    @handles(Stop)
    def _on_stop(self, message: Stop) -> None:
        self._stopped = True

    @handles(HoldRequest)
    def _on_hold(self, message: HoldRequest) -> None:
        spec = message.spec
        answer = StoredAnswer(spec.request, spec.workspace, stream=message.call.stream)
        self._answers.add(answer)
        holding = self._memory.holding()
        held = self._held[spec.request] = HeldRequest(
            spec, message.call, answer, message.span, holding, self._clock.now_ms
        )
        held.wait = self._tracing.start("wait", parent=message.span)
        self._counts["held"] += 1
        self._callers.attach(Follower(message.sock, answer))
        refusal = self._refusal(held)
        if refusal is not None:
            self._refuse(held, refusal)
            return
        self._control.put(SubmitRequest(spec))

    def _refusal(self, held: HeldRequest) -> Refusal | None:
        now_ms, plan = self._clock.now_ms, self._exit_plan
        if plan is not None:
            left_ms = held.spec.deadline_ms - now_ms
            times = self._times[held.spec.service]
            if not plan.may_finish(times.longest_answer_ms(left_ms, now_ms), now_ms):
                return LEAVING
        if not held.holding.resize(len(held.call.body)):
            return NO_MEMORY
        return None

    def _refuse(self, held: HeldRequest, refusal: Refusal) -> None:
        self._counts[f"refused_{refusal.code}"] += 1
        held.answer.refuse(refusal)
        self._complete(held)

    @handles(PlanExit)
    def _on_plan_exit(self, message: PlanExit) -> None:
        self._exit_plan = message.plan

    @handles(EndHeld)
    def _on_end_held(self, message: EndHeld) -> None:
        for held in list(self._held.values()):
            self._counts["ended_by_exit"] += 1
            if held.run is None:
                self._control.put(CancelRequest(held.spec.request))
                self._refuse(held, LEAVING)
            elif held.run.call.kind == "plain":
                message_text = "The router ends while the request is running."
                self._abort(held, Refusal(ErrorCode.LEAVING, message_text, Outcome.UNKNOWN))
            # The endpoint goes on with a model's run: its caller gets it from another router, to
            # which the end of this connection sends it.

    @handles(FollowAnswer)
    def _on_follow_answer(self, message: FollowAnswer) -> None:
        state_only = message.offset < 0
        answer = self._answers.find(message.request, message.workspace)
        if answer is None:
            answer = self._remote.open(message.request, message.workspace, self._clock.now_ms)
        offset = max(0, message.offset)
        follower = Follower(message.sock, answer, offset=offset, state_only=state_only)
        self._callers.attach(follower)
        if not state_only or answer.status or answer.ended or message.request in self._held:
            self._callers.pump_one(follower)

    @handles(StartRun)
    def _on_start(self, message: StartRun) -> None:
        held = self._held.get(message.request)
        if held is None or held.run is not None:
            if held is None:
                self._control.put(RunFinished(message.request, 0.0, USAGE_RETURNED, RELEASED))
            return
        self._counts["runs"] += 1
        run = self._create_run(held, "run", message.address, charged=message.charged)
        run.span.set_attribute("tamarack.endpoint", message.endpoint)
        self._runs.open(held, run)

    def _create_run(
        self, held: HeldRequest, name: str, address: str, *, charged: float = 0.0, adopted: str = ""
    ) -> Run:
        """Create the run of a held request, traced by a span called `name`."""
        held.end_wait()
        span = self._tracing.start(name, parent=held.span)
        run = Run(
            held.call,
            held.answer,
            address,
            self._limits,
            traceparent_of(span),
            self._clock.now_ms,
            holding=held.holding,
            charged=charged,
            adopted=adopted,
        )
        run.span = span
        held.run = run
        return run

    @handles(EndRequest)
    def _on_end(self, message: EndRequest) -> None:
        held = self._held.get(message.request)
        if held is not None:
            self._drop_run(held)
            held.answer.refuse(message.refusal)
            self._counts[f"refused_{message.refusal.code}"] += 1
            self._complete(held)

    @handles(FollowRequest)
    def _on_follow(self, message: FollowRequest) -> None:
        held = self._held.get(message.request)
        if held is None:
            if not message.holder:
                # The caller disconnected before the run was adopted. Marked as an orphan, the run
                # can still be adopted by the next request with its key.
                self._control.put(RunFinished(message.request, 0.0, USAGE_RETURNED, ORPHAN))
            return
        self._counts["followed"] += 1
        if not message.holder:
            self._adopt(held, message)
            return
        workspace = held.spec.workspace
        target = self._answers.find(message.holder, workspace)
        if target is None:
            target = self._remote.open(message.holder, workspace, self._clock.now_ms)
            self._followed.add(held, message)
        else:
            self._release_held(held)
        self._answers.remove(message.request)
        self._callers.move(message.request, target)

    def _on_holder_unresponsive(self, answer: StoredAnswer) -> None:
        """Adopt a run at its endpoint when the router that holds its answer does not respond."""
        followed = self._followed.pop_adoptable(answer)
        if followed is None:
            self._remote.mark_lost(answer)
            self._callers.pump(answer)
            return
        self._adopt(followed.held, followed.message)

    def _retry_claim(self, correlation: int) -> bool:
        """Claim a key once more when the holder no longer has the request that is followed."""
        held = self._followed.pop_unclaimed(correlation)
        if held is None:
            return False
        self._counts["claimed_again"] += 1
        self._control.put(SubmitRequest(held.spec._replace(first=False)))
        return True

    def _adopt(self, held: HeldRequest, message: FollowRequest) -> None:
        self._counts["adopted"] += 1
        self._runs.open(
            held, self._create_run(held, "adopted run", message.address, adopted=message.run)
        )

    @handles(PeerQuery)
    def _on_peer_query(self, message: PeerQuery) -> None:
        query = message.query
        answer = self._answers.find(query.request, query.workspace)
        part = answer_part(query, answer)
        self._control.put(PeerMessage(message.sender, part))

    @handles(PeerAnswer)
    def _on_peer_answer(self, message: PeerAnswer) -> None:
        if message.part.state == "gone" and self._retry_claim(message.part.correlation):
            return
        answer = self._remote.append_part(message.part, self._clock.now_ms)
        if answer is not None:
            self._callers.pump(answer)

    # Callers

    def _on_unfollowed(self, request: str, gone: bool) -> None:
        self._remote.close(request)
        self._followed.stop(request)
        if gone:
            self._on_caller_disconnect(request)

    def _on_caller_disconnect(self, request: str) -> None:
        held = self._held.get(request)
        if held is None:
            return
        self._counts["caller_gone"] += 1
        if held.run is None:
            self._control.put(CancelRequest(request))
            self._discard(held)
        elif not held.spec.key:
            # Only a caller with an idempotency key can fetch the answer later.
            message = "The caller went away."
            self._abort(held, Refusal(ErrorCode.CALLER_GONE, message, Outcome.UNKNOWN))

    # Runs

    def _step(self, held: HeldRequest, run: Run, step: Step) -> None:
        now_ms = self._clock.now_ms
        request = held.spec.request
        if step == Step.DATA:
            self._callers.pump(held.answer)
            self._report(held, run, now_ms)
        elif step == Step.FINISHED:
            cost = run.cost(now_ms)
            self._drop_run(held)
            self._times[held.spec.service].answered(now_ms - held.held_since_ms, now_ms)
            self._counts["finished"] += 1
            self._control.put(RunFinished(request, cost, USAGE_FINISHED, DONE))
            self._complete(held)
        elif step == Step.RESUME:
            self._counts["resumes"] += 1
            self._runs.close(run)
            self._timers.later(RESUME_PAUSE_MS, lambda: self._resume(held, run))
        elif step == Step.FAILED:
            cost = run.cost(now_ms)
            sent = run.sent
            self._drop_run(held)
            held.answer.restart()
            self._counts["run_failures"] += 1
            self._control.put(RunFailed(request, cost, sent))
        elif step == Step.BROKEN:
            message = "The endpoint failed while the answer was coming."
            self._abort(held, Refusal(ErrorCode.ENDPOINT_FAILED, message, Outcome.UNKNOWN))

    def _report(self, held: HeldRequest, run: Run, now_ms: float) -> None:
        cost = run.unreported_cost(now_ms)
        if cost:
            self._control.put(RunProgress(held.spec.request, cost))

    def _resume(self, held: HeldRequest, run: Run) -> None:
        if held.run is run and self._held.get(held.spec.request) is held:
            self._runs.open(held, run)

    def _abort(self, held: HeldRequest, refusal: Refusal) -> None:
        """Abort a run that has begun; its refusal reports that the outcome is unknown."""
        run = held.run
        cost = 0.0
        if run is not None:
            cost = run.cost(self._clock.now_ms)
            if run.call.kind == "model" and run.sent:
                cancel_at_endpoint(run.address, run.run_id, self._selector, self._timers.later)
        self._drop_run(held)
        self._counts[f"broken_{refusal.code}"] += 1
        state = USAGE_FAILED if refusal.code == ErrorCode.ENDPOINT_FAILED else USAGE_FINISHED
        self._control.put(RunFinished(held.spec.request, cost, state, UNKNOWN))
        held.answer.refuse(refusal)
        self._complete(held)

    def _drop_run(self, held: HeldRequest) -> None:
        run = held.run
        held.run = None
        if run is not None:
            self._runs.close(run)
            run.span.end()

    def _complete(self, held: HeldRequest) -> None:
        self._discard(held)
        self._answers.ended(held.answer, self._clock.now_ms)
        self._callers.pump(held.answer)

    def _discard(self, held: HeldRequest) -> None:
        self._release_held(held)
        if held.answer.state == AnswerState.WAITING:
            self._answers.remove(held.spec.request)

    def _release_held(self, held: HeldRequest) -> None:
        """Stop holding a request: release its place in the share limiter and end its spans."""
        self._held.pop(held.spec.request, None)
        held.holding.release()
        self._limiter.release(held.spec.workspace)
        held.end_wait()
        held.span.end()
