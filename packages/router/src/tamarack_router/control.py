"""The control task: owns the peer sockets, the router's core and the configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

import zmq

from tamarack_core.actions import (
    Action,
    ClaimRow,
    Deliver,
    FollowRequest,
    Reconnect,
    RefuseRequest,
    RowDone,
    Send,
    StartRun,
)
from tamarack_core.claim_messages import AnswerPart, AnswerQuery
from tamarack_core.clock import Clock
from tamarack_core.config_follower import ConfigFollower, QueryPeer, QueryStore
from tamarack_core.configuration import Configuration
from tamarack_core.dispatch_messages import USAGE_FAILED, USAGE_UNREACHABLE, Usage
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.key_owner import RELEASED, UNKNOWN
from tamarack_core.protocol import ChangesAnswer, ChangesQuery
from tamarack_core.router_core import RouterCore
from tamarack_core.wire import decode, request_prefix
from tamarack_router.fleet_view import ViewHolder
from tamarack_router.handlers import Handlers
from tamarack_router.load_task import LoadTask
from tamarack_router.logs import PartLog
from tamarack_router.mailbox import Mailbox
from tamarack_router.mailbox_task import MailboxTask
from tamarack_router.messages import (
    CancelRequest,
    ChangesRead,
    DoubtRouter,
    EndRequest,
    HeadRead,
    InstancesRead,
    Leave,
    LoadRead,
    PeerAnswer,
    PeerMessage,
    PeerQuery,
    RowClaimed,
    RunFailed,
    RunFinished,
    RunProgress,
    Stop,
    SubmitRequest,
)
from tamarack_router.peer_links import PeerLinks
from tamarack_router.platform_task import PlatformTask
from tamarack_router.view_publisher import ViewPublisher

TICK_INTERVAL_MS = 50.0
VIEW_INTERVAL_MS = 250.0
FRAMES_PER_ROUND = 200
STORE_DOWN_MS = 3_000.0

_HANDLERS = Handlers()
handles = _HANDLERS.handles


class Control(MailboxTask):
    """The control task of one router.

    Parameters
    ----------
    relay
        Mailbox of the relay.
    room
        Returns the number of further requests that the router can accept.
    seeds
        Peer addresses from the settings, used to join the fleet.
    """

    def __init__(
        self,
        clock: Clock,
        core: RouterCore,
        links: PeerLinks,
        mailbox: Mailbox,
        relay: Mailbox,
        views: ViewHolder,
        room: Callable[[], int],
        seeds: list[str],
    ) -> None:
        super().__init__("control", self._loop, mailbox)
        self._clock = clock
        self._core = core
        self._links = links
        self._relay = relay
        self._room = room
        self._seeds = seeds
        self._follower = ConfigFollower()
        self._platform: PlatformTask | None = None
        self._load: LoadTask | None = None
        self._outbox: dict[tuple[str, str], list[Any]] = {}
        self._counts: Counter[str] = Counter()
        self._view = ViewPublisher(core, links, self._follower, self._counts, views)
        self._store_answered_ms = clock.now_ms
        self._store_up = False
        self._leaving = False
        self._processed_updates = -1
        self._published_changes = -1
        self._prefix = request_prefix(core.membership.me.router, core.boot)
        self._next_tick_ms = 0.0
        self._next_view_ms = 0.0
        self._log = PartLog("control")

    def serve(self, platform: PlatformTask, load: LoadTask) -> None:
        """Set the tasks that make blocking calls for this one; called before it starts."""
        self._platform = platform
        self._load = load

    # The loop

    def _loop(self) -> None:
        poller = zmq.Poller()
        poller.register(self._links.inbound, zmq.POLLIN)
        poller.register(self._mailbox.fileno(), zmq.POLLIN)
        while not self._stopped:
            wait_ms = max(0.0, self._next_tick_ms - self._clock.now_ms)
            poller.poll(int(wait_ms) + 1)
            self._read_frames()
            self._read_mailbox()
            now_ms = self._clock.now_ms
            if now_ms >= self._next_tick_ms:
                self._tick(now_ms)
            self._perform(self._core.dispatch(now_ms))
            self._flush()

    def _read_frames(self) -> None:
        for _ in range(FRAMES_PER_ROUND):
            received = self._links.receive()
            if received is None:
                return
            frame = decode(received.data, received.sender, received.boot, self._prefix)
            if frame is None:
                self._counts["frames_malformed"] += 1
                continue
            self._perform(self._core.receive(frame, self._clock.now_ms))

    def _read_mailbox(self) -> None:
        _HANDLERS.dispatch(self, self._mailbox.drain())

    def _tick(self, now_ms: float) -> None:
        self._next_tick_ms = now_ms + TICK_INTERVAL_MS
        self._perform(self._core.tick(now_ms))
        if self._core.membership.updates != self._processed_updates:
            self._processed_updates = self._core.membership.updates
            for member in self._core.membership.members[1:]:
                self._follower.peer_version(member.router, member.config_version)
        self._query_changes(now_ms)
        if now_ms >= self._next_view_ms:
            self._next_view_ms = now_ms + VIEW_INTERVAL_MS
            self._core.membership.update_self(room=self._room())
            self._links.close_idle(now_ms)
            if self._load is not None:
                self._load.watch(self._core.host.watched())
            self._publish(now_ms)
        elif self._core.membership.changes != self._published_changes:
            # Published at once: until then the listeners still name a suspected router to callers.
            self._publish(now_ms)

    def _query_changes(self, now_ms: float) -> None:
        query = self._follower.next_query(now_ms, store_up=self._store_up)
        if isinstance(query, QueryPeer):
            self._send(query.router, "", ChangesQuery(query.after))
        elif isinstance(query, QueryStore) and self._platform is not None:
            self._platform.read_changes(query.after)

    # Actions of the core

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(router, message, address):
                    self._send(router, address, message)
                case Reconnect(router):
                    self._links.drop(router)
                case StartRun() | FollowRequest():
                    self._relay.put(action)
                case RefuseRequest(request, refusal):
                    self._relay.put(EndRequest(request, refusal))
                case ClaimRow() if self._platform is not None:
                    self._platform.claim(action)
                case RowDone() if self._platform is not None:
                    self._platform.row_done(action)
                case Deliver(sender, message):
                    self._deliver(sender, message)

    def _deliver(self, sender: str, message: Any) -> None:
        match message:
            case AnswerQuery():
                self._relay.put(PeerQuery(sender, message))
            case AnswerPart():
                self._relay.put(PeerAnswer(message))
            case ChangesQuery(after):
                changes = self._follower.changes_after(after)
                head = self._follower.config.version
                self._send(sender, "", ChangesAnswer(head, changes or []))
            case ChangesAnswer(head, changes):
                self._follower.peer_version(sender, head)
                self._take_changes(None, changes)

    def _send(self, router: str, address: str, message: Any) -> None:
        if not address:
            member = self._core.membership.find(router)
            if member is None:
                self._counts["peer_unknown"] += 1
                return
            address = member.peer_address
        if router == self._core.membership.me.router:
            self._deliver(router, message)
            return
        self._outbox.setdefault((router, address), []).append(message)

    def _flush(self) -> None:
        for (router, address), messages in self._outbox.items():
            self._links.send(router, address, messages, self._clock.now_ms)
        self._outbox.clear()

    # Configuration

    def _take_changes(self, snapshot: Configuration | None, changes: list[bytes]) -> None:
        before = self._follower.config.version
        was_ready = self._follower.ready
        if snapshot is not None:
            self._follower.restore(snapshot)
        self._follower.apply_changes(changes)
        config = self._follower.config
        if config.version != before:
            now_ms = self._clock.now_ms
            self._core.configure(config, now_ms)
            self._view.note_applied(config.version, self._clock.wall_ms)
            self._publish(now_ms)
            self._log.info("A configuration was applied.", version=config.version)
        if self._follower.ready and not was_ready:
            self._log.info("The router is ready.", version=config.version)

    def _publish(self, now_ms: float) -> None:
        self._published_changes = self._core.membership.changes
        self._view.publish(now_ms, leaving=self._leaving, store_up=self._store_up)

    # Messages

    @handles(Stop)
    def _on_stop(self, message: Stop) -> None:
        self._flush()
        self._stopped = True

    @handles(Leave)
    def _on_leave(self, message: Leave) -> None:
        self._leaving = True
        self._perform(self._core.leave())
        self._publish(self._clock.now_ms)
        self._log.info("The router is leaving the fleet.")

    @handles(SubmitRequest)
    def _on_submit(self, message: SubmitRequest) -> None:
        self._perform(self._core.submit(message.spec, self._clock.now_ms))

    @handles(CancelRequest)
    def _on_cancel(self, message: CancelRequest) -> None:
        self._perform(self._core.cancel(message.request, self._clock.now_ms))

    @handles(DoubtRouter)
    def _on_doubt(self, message: DoubtRouter) -> None:
        self._perform(self._core.probe_now(message.router, self._clock.now_ms))

    @handles(RunProgress)
    def _on_progress(self, message: RunProgress) -> None:
        now_ms = self._clock.now_ms
        self._perform(self._core.progress(message.request, message.cost, now_ms))

    @handles(RunFinished)
    def _on_finished(self, message: RunFinished) -> None:
        self._perform(
            self._core.finished(
                message.request,
                message.cost,
                message.usage_state,
                message.key_state,
                self._clock.now_ms,
            )
        )

    @handles(RunFailed)
    def _on_failed(self, message: RunFailed) -> None:
        now_ms = self._clock.now_ms
        state = USAGE_FAILED if message.sent else USAGE_UNREACHABLE
        usage = Usage(message.request, message.cost, state)
        actions = self._core.retry(message.request, usage, now_ms, sent=message.sent)
        if actions is not None:
            self._perform(actions)
            return
        outcome = Outcome.UNKNOWN if message.sent else Outcome.NOT_RUN
        key_state = UNKNOWN if message.sent else RELEASED
        self._perform(self._core.finished(message.request, message.cost, state, key_state, now_ms))
        refusal = Refusal(ErrorCode.ENDPOINT_FAILED, "The endpoint failed.", outcome)
        self._relay.put(EndRequest(message.request, refusal))

    @handles(LoadRead)
    def _on_load(self, message: LoadRead) -> None:
        self._core.report(message.endpoint, message.load, self._clock.now_ms)

    @handles(HeadRead)
    def _on_head(self, message: HeadRead) -> None:
        now_ms = self._clock.now_ms
        if message.version is not None:
            self._store_answered_ms = now_ms
            self._store_up = True
            self._follower.store_head(message.version)
            self._query_changes(now_ms)
        elif now_ms - self._store_answered_ms >= STORE_DOWN_MS:
            self._store_up = False

    @handles(ChangesRead)
    def _on_changes(self, message: ChangesRead) -> None:
        self._take_changes(message.snapshot, message.changes)

    @handles(RowClaimed)
    def _on_row_claimed(self, message: RowClaimed) -> None:
        self._perform(self._core.row_answer(message.claim, message.answer, self._clock.now_ms))

    @handles(InstancesRead)
    def _on_instances(self, message: InstancesRead) -> None:
        self._core.host.set_leaving(message.leaving, self._clock.now_ms)
        self._perform(self._core.join([*self._seeds, *message.addresses]))

    @handles(PeerMessage)
    def _on_peer_message(self, message: PeerMessage) -> None:
        self._send(message.router, "", message.message)
