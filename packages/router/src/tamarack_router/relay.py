"""One task that selects over all streams: callers' sockets and endpoints' sockets.

A thread for each stream would pay a wake-up for each token. Here a token costs a read, the
parser, the framing and a write, and waiting callers are watched for going away.
"""

from __future__ import annotations

import heapq
import itertools
import selectors
from collections import Counter
from collections.abc import Callable
from typing import Any

from tamarack_core.actions import FollowRequest, StartRun
from tamarack_core.clock import Clock
from tamarack_core.dispatch_messages import USAGE_FAILED, USAGE_FINISHED, USAGE_RETURNED
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.keeper import DONE, ORPHAN, RELEASED, UNKNOWN
from tamarack_core.request_table import RequestSpec
from tamarack_router.caller_sockets import CallerSockets
from tamarack_router.endpoint_cancel import cancel_at_endpoint
from tamarack_router.endpoint_connection import EndpointConnection
from tamarack_router.follower import Follower
from tamarack_router.handlers import Handlers
from tamarack_router.kept_answer import AnswerState, AnswerStore, KeptAnswer
from tamarack_router.logs import PartLog
from tamarack_router.mailbox import Mailbox
from tamarack_router.mailbox_task import MailboxTask
from tamarack_router.messages import (
    CancelRequest,
    EndpointCall,
    EndRequest,
    FollowAnswer,
    HoldRequest,
    PeerAnswer,
    PeerMessage,
    PeerQuery,
    RunFailed,
    RunFinished,
    RunProgress,
    Stop,
    SubmitRequest,
)
from tamarack_router.remote_answers import RemoteAnswers, answer_part
from tamarack_router.run import RESUME_PAUSE_MS, Run, RunLimits, Step
from tamarack_router.share_guard import ShareGuard
from tamarack_router.tracing import Tracing, traceparent_of

CHECK_MS = 100.0

_HANDLERS = Handlers()
handles = _HANDLERS.handles


class _Held:
    """A request in the relay."""

    def __init__(
        self, spec: RequestSpec, call: EndpointCall, answer: KeptAnswer, span: Any
    ) -> None:
        self.spec = spec
        self.call = call
        self.answer = answer
        self.span = span
        self.run: Run | None = None
        self.claimed_again = False
        self.wait: Any = None

    def end_wait(self) -> None:
        """End the span of the wait, if it has not ended."""
        if self.wait is not None:
            self.wait.end()
            self.wait = None


class Relay(MailboxTask):
    """The relay task of one router.

    Parameters
    ----------
    control
        Mailbox of the control task.
    guard
        Counts held requests per workspace; given back when a request ends.
    """

    def __init__(
        self,
        clock: Clock,
        control: Mailbox,
        answers: AnswerStore,
        guard: ShareGuard,
        tracing: Tracing,
        limits: RunLimits,
    ) -> None:
        super().__init__("relay", self._loop, Mailbox())
        self._clock = clock
        self._control = control
        self._answers = answers
        self._guard = guard
        self._tracing = tracing
        self._limits = limits
        self._selector = selectors.DefaultSelector()
        self._held: dict[str, _Held] = {}
        self._callers = CallerSockets(self._selector, self._nobody_follows)
        self._remote = RemoteAnswers(control)
        self._following: dict[str, list[tuple[_Held, FollowRequest]]] = {}
        self._timers: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        self._counts: Counter[str] = Counter()
        self._next_check_ms = 0.0
        self._log = PartLog("relay")

    @property
    def counts(self) -> Counter[str]:
        """Events by name; read by other threads, written by this one."""
        return self._counts

    @property
    def gauges(self) -> dict[str, float]:
        """Present values for the metrics."""
        return {
            "requests_held": self.held,
            "callers_connected": self.followers,
            "answers_kept_bytes": self._answers.kept_bytes,
            "answers_evicted": self._answers.evicted,
        }

    @property
    def held(self) -> int:
        """Requests held."""
        return len(self._held)

    @property
    def followers(self) -> int:
        """Callers that wait for an answer or are being written one."""
        return len(self._callers)

    @property
    def busy(self) -> int:
        """What a graceful stop waits for."""
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
        now_ms = self._clock.now_ms
        due_ms = self._next_check_ms
        if self._timers:
            due_ms = min(due_ms, self._timers[0][0])
        return max(0.0, due_ms - now_ms) / 1000

    def _read_mailbox(self) -> None:
        _HANDLERS.dispatch(self, self._mailbox.drain())

    def _run_timers(self) -> None:
        now_ms = self._clock.now_ms
        while self._timers and self._timers[0][0] <= now_ms:
            heapq.heappop(self._timers)[2]()
        if now_ms >= self._next_check_ms:
            self._next_check_ms = now_ms + CHECK_MS
            self._check(now_ms)

    def _later(self, delay_ms: float, action: Callable[[], None]) -> None:
        due_ms = self._clock.now_ms + delay_ms
        heapq.heappush(self._timers, (due_ms, next(self._sequence), action))

    def _check(self, now_ms: float) -> None:
        for held in list(self._held.values()):
            if held.run is not None:
                self._check_run(held, held.run, now_ms)
        for answer in self._remote.check(now_ms):
            self._holder_silent(answer)
        self._answers.expire(now_ms)

    def _check_run(self, held: _Held, run: Run, now_ms: float) -> None:
        if now_ms >= held.spec.deadline_ms:
            self._counts["deadline_while_running"] += 1
            message = "The deadline passed while the request was running."
            self._break(held, Refusal(ErrorCode.DEADLINE, message, Outcome.UNKNOWN))
        elif run.silent(now_ms):
            self._counts["silent_connections"] += 1
            self._log.info("A connection is silent.", request=held.spec.request)
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
        answer = KeptAnswer(spec.request, spec.workspace, stream=message.call.stream)
        self._answers.add(answer)
        held = self._held[spec.request] = _Held(spec, message.call, answer, message.span)
        held.wait = self._tracing.start("wait", parent=message.span)
        self._counts["held"] += 1
        self._callers.attach(Follower(message.sock, answer))
        self._control.put(SubmitRequest(spec))

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
        run = self._run(held, "run", message.address, charged=message.charged)
        run.span.set_attribute("tamarack.endpoint", message.endpoint)
        self._open(held, run)

    def _run(
        self, held: _Held, name: str, address: str, *, charged: float = 0.0, adopted: str = ""
    ) -> Run:
        """Make the run of a held request, with a span of this name."""
        held.end_wait()
        span = self._tracing.start(name, parent=held.span)
        run = Run(
            held.call,
            held.answer,
            address,
            self._limits,
            traceparent_of(span),
            self._clock.now_ms,
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
            self._ended(held)

    @handles(FollowRequest)
    def _on_follow(self, message: FollowRequest) -> None:
        held = self._held.get(message.request)
        if held is None:
            if not message.holder:
                # The caller left before the run was read; whoever asks next can still read it.
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
            self._following.setdefault(message.holder, []).append((held, message))
        else:
            self._let_go(held)
        self._answers.remove(message.request)
        self._callers.move(message.request, target)

    def _holder_silent(self, answer: KeptAnswer) -> None:
        """Read a run at its endpoint when the router that holds its answer is silent.

        Without this a caller whose router died would be told that its outcome is unknown, though
        the engine goes on with the run and can give its stream again.
        """
        waiting = self._following.pop(answer.request, [])
        readable = [pair for pair in waiting if pair[1].address]
        if not readable:
            self._following[answer.request] = waiting
            self._remote.lose(answer)
            self._callers.pump(answer)
            return
        held, message = readable[0]
        self._take_back(answer, held, waiting)
        self._adopt(held, message)

    def _claim_again(self, correlation: int) -> bool:
        """Ask the keeper once more when the holder no longer has the request that is followed.

        Its caller may have gone away before it ran, which withdraws it and frees the key; the
        caller's retry, which followed it, would be told "unknown" though nothing ran.
        """
        answer = self._remote.find(correlation)
        waiting = self._following.get(answer.request, []) if answer is not None else []
        if answer is None or not waiting or waiting[0][0].claimed_again:
            return False
        held = waiting[0][0]
        held.claimed_again = True
        del self._following[answer.request]
        self._counts["claimed_again"] += 1
        self._take_back(answer, held, waiting)
        self._control.put(SubmitRequest(held.spec._replace(first=False)))
        return True

    def _take_back(
        self, answer: KeptAnswer, held: _Held, waiting: list[tuple[_Held, FollowRequest]]
    ) -> None:
        """Move the followers of a mirrored answer to a request that is held here."""
        for other, _ in waiting:
            if other is not held:
                self._let_go(other)
        self._answers.add(held.answer)
        self._remote.close(answer.request)
        self._callers.move(answer.request, held.answer)

    def _adopt(self, held: _Held, message: FollowRequest) -> None:
        self._counts["adopted"] += 1
        self._open(held, self._run(held, "adopted run", message.address, adopted=message.run))

    def _stop_following(self, request: str) -> None:
        for held, _ in self._following.pop(request, []):
            self._let_go(held)

    @handles(PeerQuery)
    def _on_peer_query(self, message: PeerQuery) -> None:
        query = message.query
        answer = self._answers.find(query.request, query.workspace)
        part = answer_part(query, answer)
        self._control.put(PeerMessage(message.sender, part))

    @handles(PeerAnswer)
    def _on_peer_answer(self, message: PeerAnswer) -> None:
        if message.part.state == "gone" and self._claim_again(message.part.correlation):
            return
        answer = self._remote.take(message.part, self._clock.now_ms)
        if answer is not None:
            self._callers.pump(answer)

    # Callers

    def _nobody_follows(self, request: str, gone: bool) -> None:
        self._remote.close(request)
        self._stop_following(request)
        if gone:
            self._caller_gone(request)

    def _caller_gone(self, request: str) -> None:
        held = self._held.get(request)
        if held is None:
            return
        self._counts["caller_gone"] += 1
        if held.run is None:
            self._control.put(CancelRequest(request))
            self._forget(held)
        elif not held.spec.key:
            # With a key the caller may come back for the answer; without one nobody can.
            message = "The caller went away."
            self._break(held, Refusal(ErrorCode.CALLER_GONE, message, Outcome.UNKNOWN))

    # Runs

    def _open(self, held: _Held, run: Run) -> None:
        connection, events = run.open(self._clock.now_ms)
        if events:
            self._events(held, run, events)
            return

        def ready(mask: int) -> None:
            if run.connection is connection and held.run is run:
                self._events(held, run, connection.ready(mask))
                self._select_again(run, connection)

        self._selector.register(connection.sock, connection.interest, ready)

    def _select_again(self, run: Run, connection: EndpointConnection) -> None:
        if run.connection is not connection:
            return
        key = self._selector.get_key(connection.sock)
        if key.events != connection.interest:
            self._selector.modify(connection.sock, connection.interest, key.data)

    def _events(self, held: _Held, run: Run, events: list[Any]) -> None:
        now_ms = self._clock.now_ms
        steps = {run.take(event, now_ms) for event in events}
        for step in (Step.RESUME, Step.FAILED, Step.BROKEN, Step.FINISHED, Step.GREW):
            if step in steps:
                self._step(held, run, step)
                return

    def _step(self, held: _Held, run: Run, step: Step) -> None:
        now_ms = self._clock.now_ms
        request = held.spec.request
        if step == Step.GREW:
            self._callers.pump(held.answer)
            self._report(held, run, now_ms)
        elif step == Step.FINISHED:
            cost = run.cost(now_ms)
            self._drop_run(held)
            self._counts["finished"] += 1
            self._control.put(RunFinished(request, cost, USAGE_FINISHED, DONE))
            self._ended(held)
        elif step == Step.RESUME:
            self._counts["resumes"] += 1
            self._unregister(run)
            run.close()
            self._later(RESUME_PAUSE_MS, lambda: self._resume(held, run))
        elif step == Step.FAILED:
            cost = run.cost(now_ms)
            sent = run.sent
            self._drop_run(held)
            held.answer.restart()
            self._counts["run_failures"] += 1
            self._control.put(RunFailed(request, cost, sent))
        elif step == Step.BROKEN:
            message = "The endpoint failed while the answer was coming."
            self._break(held, Refusal(ErrorCode.ENDPOINT_FAILED, message, Outcome.UNKNOWN))

    def _report(self, held: _Held, run: Run, now_ms: float) -> None:
        cost = run.passed_charge(now_ms)
        if cost:
            self._control.put(RunProgress(held.spec.request, cost))

    def _resume(self, held: _Held, run: Run) -> None:
        if held.run is run and self._held.get(held.spec.request) is held:
            self._open(held, run)

    def _break(self, held: _Held, refusal: Refusal) -> None:
        """End a run that has begun, and say that its outcome is unknown."""
        run = held.run
        cost = 0.0
        if run is not None:
            cost = run.cost(self._clock.now_ms)
            if run.call.kind == "model" and run.sent:
                cancel_at_endpoint(run.address, run.run_id, self._selector, self._later)
        self._drop_run(held)
        self._counts[f"broken_{refusal.code}"] += 1
        state = USAGE_FAILED if refusal.code == ErrorCode.ENDPOINT_FAILED else USAGE_FINISHED
        self._control.put(RunFinished(held.spec.request, cost, state, UNKNOWN))
        held.answer.refuse(refusal)
        self._ended(held)

    def _unregister(self, run: Run) -> None:
        connection = run.connection
        if connection is not None and connection.sock in self._selector.get_map():
            self._selector.unregister(connection.sock)

    def _drop_run(self, held: _Held) -> None:
        run = held.run
        held.run = None
        if run is not None:
            self._unregister(run)
            run.close()
            run.span.end()

    def _ended(self, held: _Held) -> None:
        self._forget(held)
        self._answers.ended(held.answer, self._clock.now_ms)
        self._callers.pump(held.answer)

    def _forget(self, held: _Held) -> None:
        self._let_go(held)
        if held.answer.state == AnswerState.WAITING:
            self._answers.remove(held.spec.request)

    def _let_go(self, held: _Held) -> None:
        """Hold a request no longer; its room and its span end with it."""
        self._held.pop(held.spec.request, None)
        self._guard.give_back(held.spec.workspace)
        held.end_wait()
        held.span.end()
