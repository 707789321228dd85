"""All decisions of one router: membership, tickets, dispatching, idempotency keys.

The core takes timestamped events and returns actions. It uses no sockets or threads, so that a
failure can be reproduced as a list of events.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarack_core.actions import Action, ClaimRow, Deliver, Send
from tamarack_core.claim_messages import (
    AnswerPart,
    AnswerQuery,
    Claim,
    ClaimAnswer,
    ClaimDone,
    ClaimRunning,
)
from tamarack_core.configuration import Configuration
from tamarack_core.defaults import EXCHANGE_INTERVAL_MS, PAUSE_MS, SHARD_SIZE
from tamarack_core.dispatch_host import DispatchHost
from tamarack_core.dispatch_messages import (
    CancelTickets,
    Grants,
    Poll,
    PollAck,
    Probe,
    RefuseTickets,
    Register,
    ReportUsage,
    ShardCounters,
    SubmitTickets,
    TermStart,
    Usage,
)
from tamarack_core.endpoint_pool import LoadReport
from tamarack_core.key_owner import KeyOwner
from tamarack_core.key_token import KeyToken
from tamarack_core.membership import DEAD, Membership
from tamarack_core.protocol import (
    ChangesAnswer,
    ChangesQuery,
    MemberUpdate,
    Ping,
    PingAck,
    PingRelayed,
    PingRequest,
)
from tamarack_core.queue_policy import FAIR, LOCAL
from tamarack_core.request_spec import RequestSpec
from tamarack_core.request_table import RequestTable
from tamarack_core.shard_link import Candidates
from tamarack_core.wire import Frame, request_prefix

Handler = Callable[["RouterCore", str, Any, float], "list[Action]"]
_HANDLERS: dict[type, Handler] = {}


def handles(*kinds: type) -> Callable[[Handler], Handler]:
    """Register a method as the handler of these kinds of peer messages."""

    def register(handler: Handler) -> Handler:
        for kind in kinds:
            _HANDLERS[kind] = handler
        return handler

    return register


class _LocalCandidates(NamedTuple):
    """Candidates of a router that dispatches only its own requests."""

    usable: list[str]
    changes: int = 0


class RouterCore:
    """One router's state and decisions.

    Parameters
    ----------
    me
        The router's entry as a member; its incarnation is its boot time.
    now_ms
        Monotonic time of the boot.
    """

    def __init__(
        self,
        me: MemberUpdate,
        now_ms: float,
        *,
        shard_size: int = SHARD_SIZE,
        exchange_ms: float = EXCHANGE_INTERVAL_MS,
        seed: int = 0,
        order: str = FAIR,
    ) -> None:
        self._router = me.router
        self._boot = me.incarnation
        self._membership = Membership(me, seed=seed)
        self._requests = RequestTable(me.router, self._candidates(order), shard_size=shard_size)
        self._host = DispatchHost(
            self._membership, shard_size=shard_size, exchange_ms=exchange_ms, order=order
        )
        self._key_owner = KeyOwner(me.router, self._boot, now_ms)
        self._config = Configuration()
        self._boots: dict[str, int] = {}
        self._known_dead: set[str] = set()
        self._ticked_ms = now_ms
        self._counts: Counter[str] = Counter()

    @property
    def boot(self) -> int:
        """Boot time of this router in milliseconds since the Unix epoch."""
        return self._boot

    @property
    def membership(self) -> Membership:
        """Local view of the members."""
        return self._membership

    @property
    def requests(self) -> RequestTable:
        """Requests held by this router."""
        return self._requests

    @property
    def host(self) -> DispatchHost:
        """Dispatchers that run on this router."""
        return self._host

    @property
    def key_owner(self) -> KeyOwner:
        """Keys owned by this router."""
        return self._key_owner

    @property
    def counts(self) -> Counter[str]:
        """Event counts by name, summed over all components."""
        total = Counter(self._counts)
        for part in (self._requests.counts, self._host.counts):
            total.update(part)
        for dispatcher in self._host.dispatchers.values():
            total.update(dispatcher.counts)
        return total

    def token(self, now_ms: float) -> KeyToken:
        """Token for new idempotency keys, returned with an address response."""
        return self._key_owner.token(now_ms)

    def configure(self, config: Configuration, now_ms: float) -> None:
        """Apply a configuration."""
        self._config = config
        self._membership.update_self(config_version=config.version)
        self._requests.configure(config)
        self._host.configure(config, now_ms)

    def join(self, addresses: list[str]) -> list[Action]:
        """Probe these addresses for members."""
        return list(self._membership.join(addresses))

    def probe_now(self, router: str, now_ms: float) -> list[Action]:
        """Probe a member immediately."""
        return list(self._membership.probe_now(router, now_ms))

    def leave(self) -> list[Action]:
        """Publish that this router accepts no new requests, and hand over its shards."""
        sends = self._membership.leave()
        self._host.step_down()
        return list(sends)

    def receive(self, frame: Frame, now_ms: float) -> list[Action]:
        """Process a peer's frame."""
        if not self._check_incarnation(frame.sender, frame.incarnation, now_ms):
            return []
        actions: list[Action] = []
        self._membership.record_message(frame.sender, now_ms)
        for message in frame.messages:
            actions.extend(self._handle(frame.sender, message, now_ms))
        return self._deliver_local(actions, now_ms)

    def submit(self, spec: RequestSpec, now_ms: float) -> list[Action]:
        """Accept a request."""
        return self._deliver_local(self._requests.submit(spec, now_ms), now_ms)

    def row_answer(self, claim: ClaimRow, answer: ClaimAnswer, now_ms: float) -> list[Action]:
        """Process the table service's answer to a claim."""
        return self._deliver_local(self._requests.row_answer(claim, answer, now_ms), now_ms)

    def cancel(self, request: str, now_ms: float) -> list[Action]:
        """Cancel a waiting request after its caller has disconnected."""
        return self._deliver_local(self._requests.cancel(request, now_ms), now_ms)

    def progress(self, request: str, cost: float, now_ms: float) -> list[Action]:
        """Process the cost of a run so far, in cost units."""
        return self._deliver_local(self._requests.progress(request, cost, now_ms), now_ms)

    def finished(
        self, request: str, cost: float, usage_state: int, key_state: str, now_ms: float
    ) -> list[Action]:
        """Process the end of a run."""
        actions = self._requests.finished(request, cost, usage_state, key_state, now_ms)
        return self._deliver_local(actions, now_ms)

    def retry(
        self, request: str, usage: Usage, now_ms: float, *, sent: bool
    ) -> list[Action] | None:
        """Retry a request at another endpoint; None if it may not run again."""
        actions = self._requests.requeue(request, usage, now_ms, sent=sent)
        return None if actions is None else self._deliver_local(actions, now_ms)

    def report(self, endpoint: str, load: LoadReport, now_ms: float) -> None:
        """Process a load report of an endpoint."""
        self._host.report(endpoint, load, now_ms)

    def dispatch(self, now_ms: float) -> list[Action]:
        """Grant free slots; called once after a batch of events."""
        return self._deliver_local(list(self._host.dispatch(now_ms)), now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Run time-based work; expected every 20 to 50 ms."""
        actions: list[Action] = []
        if now_ms - self._ticked_ms > PAUSE_MS:
            # The process was stopped or starved. Other routers have taken over its shards, and
            # grants from its outdated state would be issued twice.
            self._counts["paused"] += 1
            self._host.step_down()
        self._ticked_ms = now_ms
        actions.extend(self._membership.tick(now_ms))
        actions.extend(self._handle_dead_members(now_ms))
        actions.extend(self._host.tick(now_ms))
        actions.extend(self._requests.tick(now_ms))
        return self._deliver_local(actions, now_ms)

    def _candidates(self, order: str) -> Candidates:
        return _LocalCandidates([self._router]) if order == LOCAL else self._membership

    def _deliver_local(self, actions: list[Action], now_ms: float) -> list[Action]:
        """Handle messages addressed to this router; return the other actions."""
        pending = deque(actions)
        external: list[Action] = []
        while pending:
            action = pending.popleft()
            if isinstance(action, Send) and action.router == self._router:
                pending.extend(self._handle(self._router, action.message, now_ms))
            else:
                external.append(action)
        return external

    def _handle(self, sender: str, message: Any, now_ms: float) -> list[Action]:
        handler = _HANDLERS.get(type(message))
        if handler is None:
            self._counts["message_unhandled"] += 1
            return []
        return handler(self, sender, message, now_ms)

    def _check_incarnation(self, sender: str, boot: int, now_ms: float) -> bool:
        known = self._boots.get(sender)
        if known is not None and boot < known:
            self._counts["stale_life"] += 1
            return False
        self._boots[sender] = boot
        if known is not None and boot > known:
            self._handle_router_loss(sender, known, now_ms)
        return True

    def _handle_dead_members(self, now_ms: float) -> list[Action]:
        dead = {m.router for m in self._membership.members if m.state == DEAD}
        for name in dead - self._known_dead:
            self._handle_router_loss(name, self._boots.get(name, 0), now_ms)
        self._known_dead = dead
        return []

    def _handle_router_loss(self, router: str, boot: int, now_ms: float) -> None:
        self._counts["router_gone"] += 1
        self._host.router_died(router, now_ms)
        self._key_owner.router_died(request_prefix(router, boot))

    # Membership

    @handles(Ping)
    def _on_ping(self, sender: str, message: Ping, now_ms: float) -> list[Action]:
        return list(self._membership.ping(sender, message, now_ms))

    @handles(PingAck)
    def _on_ack(self, sender: str, message: PingAck, now_ms: float) -> list[Action]:
        return list(self._membership.ack(sender, message, now_ms))

    @handles(PingRequest)
    def _on_ping_request(self, sender: str, message: PingRequest, now_ms: float) -> list[Action]:
        return list(self._membership.ping_request(sender, message))

    @handles(PingRelayed)
    def _on_relayed(self, sender: str, message: PingRelayed, now_ms: float) -> list[Action]:
        self._membership.relayed(message, now_ms)
        return []

    # As a dispatcher

    @handles(SubmitTickets)
    def _on_submit(self, sender: str, message: SubmitTickets, now_ms: float) -> list[Action]:
        dispatcher, sends = self._host.ensure(message.shard, message.term, now_ms)
        actions: list[Action] = list(sends)
        if dispatcher is not None:
            actions.extend(dispatcher.submit(sender, message.tickets, now_ms))
        return actions

    @handles(CancelTickets)
    def _on_cancel(self, sender: str, message: CancelTickets, now_ms: float) -> list[Action]:
        dispatcher = self._host.dispatchers.get(message.shard)
        if dispatcher is not None:
            dispatcher.cancel(sender, message.requests, now_ms)
        return []

    @handles(ReportUsage)
    def _on_usage(self, sender: str, message: ReportUsage, now_ms: float) -> list[Action]:
        dispatcher = self._host.dispatchers.get(message.shard)
        if dispatcher is not None:
            dispatcher.usage(sender, message.usages, now_ms)
        return []

    @handles(Poll)
    def _on_poll(self, sender: str, message: Poll, now_ms: float) -> list[Action]:
        dispatcher, sends = self._host.ensure(message.shard, message.term, now_ms)
        actions: list[Action] = list(sends)
        if dispatcher is not None:
            actions.append(dispatcher.poll(sender, message, now_ms))
        return actions

    @handles(Register)
    def _on_register(self, sender: str, message: Register, now_ms: float) -> list[Action]:
        dispatcher, sends = self._host.ensure(message.shard, message.term, now_ms)
        actions: list[Action] = list(sends)
        if dispatcher is not None:
            actions.extend(dispatcher.register(sender, message, now_ms))
        return actions

    @handles(ShardCounters)
    def _on_counters(self, sender: str, message: ShardCounters, now_ms: float) -> list[Action]:
        self._host.merge(message)
        return []

    # As the router that holds requests

    @handles(Grants)
    def _on_grants(self, sender: str, message: Grants, now_ms: float) -> list[Action]:
        return self._requests.grants(sender, message, now_ms)

    @handles(RefuseTickets)
    def _on_refusals(self, sender: str, message: RefuseTickets, now_ms: float) -> list[Action]:
        return self._requests.refusals(sender, message, now_ms)

    @handles(PollAck)
    def _on_poll_ack(self, sender: str, message: PollAck, now_ms: float) -> list[Action]:
        return self._requests.poll_ack(sender, message, now_ms)

    @handles(Probe)
    def _on_probe(self, sender: str, message: Probe, now_ms: float) -> list[Action]:
        return self._requests.probe(sender, message, now_ms)

    @handles(TermStart)
    def _on_term_start(self, sender: str, message: TermStart, now_ms: float) -> list[Action]:
        self._host.term_start(sender, message)
        return self._requests.term_start(sender, message, now_ms)

    # Keys

    @handles(Claim)
    def _on_claim(self, sender: str, message: Claim, now_ms: float) -> list[Action]:
        return [Send(sender, self._key_owner.claim(message, now_ms))]

    @handles(ClaimAnswer)
    def _on_claim_answer(self, sender: str, message: ClaimAnswer, now_ms: float) -> list[Action]:
        return self._requests.claim_answer(sender, message, now_ms)

    @handles(ClaimRunning)
    def _on_claim_running(self, sender: str, message: ClaimRunning, now_ms: float) -> list[Action]:
        self._key_owner.running(message)
        return []

    @handles(ClaimDone)
    def _on_claim_done(self, sender: str, message: ClaimDone, now_ms: float) -> list[Action]:
        self._key_owner.done(message)
        return []

    # Handled outside the core

    @handles(AnswerQuery, AnswerPart, ChangesQuery, ChangesAnswer)
    def _on_other(self, sender: str, message: Any, now_ms: float) -> list[Action]:
        return [Deliver(sender, message)]
