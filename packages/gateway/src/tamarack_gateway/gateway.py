"""One router: its listeners, its background tasks and its shutdown."""

from __future__ import annotations

import asyncio
import contextlib

from tamarack_core.accept_rate import AcceptRate
from tamarack_core.clock import Clock
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.leaving import LeavingPlan, plan_leaving
from tamarack_core.quarantine_records import DEFAULT_BOUNDS, QuarantineBounds
from tamarack_core.relay_plan import Peer
from tamarack_gateway.cache_inventory import CacheInventory
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.caller_handler import CallerHandler
from tamarack_gateway.connection_limiter import ConnectionLimiter
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.fleet_feeds import FleetFeeds
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import AnswerHead
from tamarack_gateway.listeners import Listeners
from tamarack_gateway.loop_monitor import LoopMonitor
from tamarack_gateway.origin_feed import OriginFeed
from tamarack_gateway.origin_records import OriginRecords
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.peer_group import PeerGroup
from tamarack_gateway.peer_inbox import PeerInbox
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.router_pages import RouterPages
from tamarack_gateway.site import Site
from tamarack_gateway.stream_writer import ACQUAINTED_MS, StreamWriter, StreamWrites
from tamarack_gateway.suspect_feed import SuspectFeed
from tamarack_gateway.suspect_records import SuspectRecords
from tamarack_gateway.table_messages import StoreLost, TableNews
from tamarack_gateway.task_owner import OwnedTask, TaskOwner
from tamarack_gateway.termination_detector import TerminationDetector
from tamarack_gateway.warm_up_feed import WarmUpFeed

READERS_SETTLE_MS = 1_000.0
"""Time after its start in which a router of a large fleet, having read the store once, does not act
as a reader: before it knows the others, it would select itself. Without this wait, each of 66
routers that start together made three more calls, a quarter of a short day's calls."""

JOINED_MS = 5_000.0
"""Time after its start in which a router expects to hear the routers that the store lists; it may
have read the list before most of them were ready."""

SWEEP_MS = 500.0
"""Time between two checks for idle connections and silent peers."""

LEAVE_STEP_MS = 50.0
"""Time between two checks of a leaving router for requests in progress."""

CLOSE_LINGER_MS = 300.0
"""Longest time in milliseconds for which a leaving router waits for callers to close the
connections that it has closed: the log tells how many had sent another request meanwhile."""

FLUSH_MS = 100.0
"""Delay from a log line to its writing, and minimum time between two writes."""


class Gateway:
    """One router with all its parts, as an asynchronous context manager."""

    def __init__(
        self,
        site: Site,
        clock: Clock,
        log: DecisionLog,
        *,
        seed: int,
        quarantine: QuarantineBounds = DEFAULT_BOUNDS,
    ) -> None:
        self._site = site
        self._clock = clock
        self._log = log
        self._boot = seed
        self._settings = site.load_settings()
        self._state = FleetState(self._settings, clock, log, seed=seed, quarantine=quarantine)
        self._tasks = TaskOwner(clock, log)
        self._state.complete = lambda: self._tasks.complete
        self._pool = ConnectionPool(clock, self._state.memory)
        self._outbox = Outbox()
        self._members = FleetMembers()
        self._connections: set[CallerConnection] = set()
        self._caller_limit = ConnectionLimiter(self._state, self._connections)
        accept_rate = AcceptRate()
        self._loop_monitor = LoopMonitor(
            clock,
            log,
            self._connections,
            changed=lambda: self._peers.publish_summary(),
            crowded=lambda: self._caller_limit.near_limit,
            accept_rate=accept_rate,
            counts=lambda: self._caller_limit.counts,
        )
        self._metrics = GatewayMetrics(
            self._state,
            self._pool,
            store_calls=lambda: self._feeds.calls,
            loop=self._loop_monitor.status,
            malformed=lambda: self._peers.malformed,
            store_epoch=lambda: self._feeds.store_epoch,
            origins=lambda: self._origins.readings,
            tasks=self._tasks,
        )
        self._state.owns = lambda matter: self._members.owns(matter, self._me, clock.now_ms)
        self._stream_writer = StreamWriter(self._settings.router, clock)
        self._quarantine = self._make_quarantine()
        self._suspects = self._make_suspects()
        self._warm_ups = WarmUpFeed(
            self._state,
            boot=seed,
            leads=self._deals_warm_ups,
            publish=lambda notice: self._peers.publish_notice(notice),
        )
        self._origins = self._make_origins()
        self._pages = self._make_pages()
        self._detector = TerminationDetector(
            self._state, self._pool, on_termination=self._quarantine.record_termination
        )
        self._handler = CallerHandler(
            self._state,
            site.requests,
            self._pool,
            self._outbox,
            self._metrics,
            self._loop_monitor,
            self._detector,
            self._quarantine,
            self._origins,
        )
        self._listeners = Listeners(
            self._state, clock, self._connections, self._caller_limit, accept_rate
        )
        self._loops: list[OwnedTask] = []
        self._lines_queued = asyncio.Event()
        log.on_line = self._lines_queued.set
        self._stack = contextlib.AsyncExitStack()
        self._inbox = self._make_inbox()
        self._peers = self._make_peers()
        self._state.notices.publish = self._peers.publish_notice
        self._feeds = self._make_feeds()
        self._inventory = self._make_inventory()
        self._feeds.briefing.answers = self._answers_all
        self._feeds.briefing.is_large = lambda: self._peers.large
        self._started_ms = clock.now_ms
        self._tell_until_ms = float("-inf")
        self._callers = ""
        self._site_addresses: list[str] = []
        self._metrics_address = ""

    async def __aenter__(self) -> Gateway:
        settings = self._settings
        await self._stack.enter_async_context(self._tasks)
        await self._stack.enter_async_context(self._peers)
        self._stack.enter_context(self._loop_monitor)
        self._feeds.start(self._peers.address, self._boot)
        listen = self._listeners.listen
        handler = self._handler
        self._callers = self._listeners.listen_to_callers(
            settings.callers, handler.answer, refuse_early=handler.refuse_early
        )
        for address in dict.fromkeys((settings.readiness, settings.directory)):
            if address:
                self._site_addresses.append(listen(address, self._pages.answer_site))
        self._metrics_address = listen(settings.metrics, self._pages.answer_operator)
        table = self._site.tables.software_versions
        records = OriginRecords(
            self._state,
            self._origins,
            self._feeds.clients,
            table,
            self._feeds.briefing,
            writes=self._stream_writes,
        )
        self._feeds.on_restore = records.check_soon
        suspects = SuspectRecords(self._state, self._feeds.clients, self._site.tables.suspects)
        start = self._tasks.start
        self._loops = [
            start("cache inventory", self._inventory.run, once=True),
            start("quarantine", self._quarantine.run),
            start("quarantine writer", self._quarantine.store),
            start("suspects", self._suspects.run),
            start("suspects writer", suspects.run),
            start("warm-ups", self._warm_ups.run),
            start("stream records", records.run),
            start("housekeeping", self._sweep),
            start("log", self._flush),
        ]
        self._log.event("started", callers=self._callers, peers=self._peers.address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._log.event("stopped")
        await self._tasks.cancel(self._loops)
        await self._feeds.close()
        self._listeners.close()
        self._handler.ending = True
        await asyncio.gather(*(connection.stop() for connection in list(self._connections)))
        await self._detector.close()
        self._pool.close()
        await asyncio.sleep(0)
        self._quarantine.publish()
        try:
            await self._stack.aclose()
        finally:
            self._log.close()

    @property
    def state(self) -> FleetState:
        """The router's local state."""
        return self._state

    @property
    def tasks(self) -> TaskOwner:
        """The router's background tasks."""
        return self._tasks

    @property
    def callers(self) -> str:
        """Address at which callers are served."""
        return self._callers

    @property
    def site_addresses(self) -> list[str]:
        """Addresses at which readiness and the directory for callers are served."""
        return self._site_addresses

    @property
    def metrics_address(self) -> str:
        """Address at which metrics and the status are served, for operators only."""
        return self._metrics_address

    def reload(self) -> None:
        """Reload the settings; listener addresses stay as they were at the start.

        An invalid file is logged and ignored: it may be read while it is being written, and an
        error here would end the task that watches it, so that no later change would take effect.
        """
        try:
            self._settings = self._site.load_settings()
        except (OSError, ValueError) as error:
            self._log.event("new settings cannot be used", reason=str(error))
            return
        self._state.settings = self._settings
        self._log.event("settings reloaded", store=self._settings.store)

    async def leave(self) -> None:
        """Shut down gracefully: divert callers first, then finish requests in progress."""
        clock, state = self._clock, self._state
        plan = plan_leaving(
            clock.now_ms,
            grace_ms=self._settings.bounds.grace_ms,
            address_ttl_ms=state.address_ttl_ms,
        )
        state.leaving = plan
        # The signal was handled this much later than it could have been, as far as is known.
        lag_ms = self._loop_monitor.status()["lag_ms"]
        self._log.event("leaving", connections=len(self._connections), lag_ms=lag_ms)
        self._peers.publish_summary()
        self._suspects.tell()
        for connection in list(self._connections):
            connection.closing = True
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(plan.left_ms(clock.now_ms) / 1000):
                await self._feeds.deregister()
        await self._finish_requests(plan)
        # One that started meanwhile may not have been heard before.
        self._suspects.tell()
        self._log_left()

    async def _finish_requests(self, plan: LeavingPlan) -> None:
        clock, connections = self._clock, self._connections
        closed_ms: float | None = None
        while plan.left_ms(clock.now_ms) > 0.0:
            if not plan.lingers(clock.now_ms):
                for connection in list(connections):
                    connection.close_when_idle(linger=True)
                if not connections:
                    return
                if not all(connection.idle for connection in connections):
                    closed_ms = None
                elif closed_ms is None:
                    closed_ms = clock.now_ms
                elif clock.now_ms - closed_ms >= CLOSE_LINGER_MS:
                    return
            await asyncio.sleep(LEAVE_STEP_MS / 1000)

    def _log_left(self) -> None:
        connections = self._connections
        unsent = [count for c in connections if (count := c.unsent_bytes)]
        self._log.event(
            "left",
            connections=len(connections),
            busy=sum(connection.busy for connection in connections),
            half_read=sum(connection.half_read for connection in connections),
            unread=sum(connection.has_unread for connection in connections),
            unanswered=self._caller_limit.unanswered,
            unsent=len(unsent),
            unsent_bytes=sum(unsent),
        )

    # construction

    def _make_quarantine(self) -> QuarantineFeed:
        return QuarantineFeed(
            self._state,
            on_evidence=lambda evidence: self._peers.publish_evidence(evidence),
            on_requests=lambda requests: self._peers.publish_notice(requests),
            owns_row=self._state.owns,
            write=lambda key, value: self._feeds.clients.write(
                self._site.tables.quarantine, key, value, what="a quarantined request"
            ),
        )

    def _make_suspects(self) -> SuspectFeed:
        return SuspectFeed(
            self._state,
            routers=lambda: self._members.recent_routers(self._clock.now_ms),
            answers=self._answers_all,
            publish=lambda message: self._peers.publish_notice(message),
        )

    def _make_pages(self) -> RouterPages:
        return RouterPages(
            self._state,
            self._members,
            self._metrics,
            self._site.directory,
            me=lambda: self._me,
            relays=lambda: self._peers.relays,
            loop=self._loop_monitor.status,
            release=self._quarantine.release,
        )

    def _make_peers(self) -> PeerGroup:
        return PeerGroup(
            self._settings.router,
            self._settings.failure_domain,
            self._settings.peers,
            clock=self._clock,
            log=self._log,
            outbox=self._outbox,
            summary=lambda: self._me.summary,
            others=lambda: self._members.heard_within(5_000.0, self._clock.now_ms),
            on_report=self._inbox.receive_report,
            on_placements=self._state.apply_placements,
            on_alive=self._inbox.receive_unchanged,
            versions=lambda: self._feeds.versions,
            on_versions=lambda versions: self._feeds.record_versions(versions),
            on_notice=self._inbox.receive_notice,
            on_begun=self._origins.receive,
            tasks=self._tasks,
        )

    def _make_origins(self) -> OriginFeed:
        return OriginFeed(
            self._state,
            self._outbox,
            routers=self._other_routers,
            answers_all=self._answers_all,
            publish=lambda message: self._peers.publish_notice(message),
            vouched=lambda matter_ms, until_ms: self._feeds.endpoints_vouched(matter_ms, until_ms),
        )

    def _make_inbox(self) -> PeerInbox:
        return PeerInbox(
            self._state,
            self._members,
            self._quarantine,
            self._suspects,
            self._origins,
            self._warm_ups,
            me=lambda: self._me,
            feeds=lambda: self._feeds,
            publish=self._publish_changes,
        )

    def _make_feeds(self) -> FleetFeeds:
        return FleetFeeds(
            self._site,
            self._state,
            follow=self._follow,
            reads=self._reads,
            publish=self._publish_changes,
            wanted=self._peers.publish_copy_request,
            on_failure=self._record_store_failure,
            on_quarantine_change=self._quarantine.apply_change,
            ask=lambda message: self._peers.publish_notice(message),
            tasks=self._tasks,
        )

    def _make_inventory(self) -> CacheInventory:
        return CacheInventory(
            self._state,
            self._site.engines,
            self._pool,
            self._outbox,
            settles=lambda: self._peers.large,
            queried=self._queried,
            on_answer=self._record_notices,
        )

    # peers

    @property
    def _me(self) -> Member:
        settings = self._settings
        return Member(
            settings.router,
            self._boot,
            settings.failure_domain,
            self._callers,
            self._state.ready,
            self._clock.now_ms,
            self._state.fresh,
            overloaded=self._loop_monitor.avoid,
        )

    def _follow(self, peers: dict[str, Peer]) -> None:
        self._peers.put(peers)
        self._state.vouching.expect(peers.keys() - {self._settings.router})
        self._state.allowance.seen(len(peers))

    def _reads(self) -> bool:
        now_ms = self._clock.now_ms
        age_ms = now_ms - self._started_ms
        if self._peers.large and age_ms < READERS_SETTLE_MS:
            return False
        expected = self._feeds.listed_routers if age_ms < JOINED_MS else ()
        return self._members.reads(self._me, now_ms, expected=expected)

    def _answers_all(self) -> bool:
        return self._peers.relays or not self._peers.large

    def _queried(self, endpoints: list[str]) -> list[str]:
        now_ms = self._clock.now_ms
        return self._members.queried_by(self._me, endpoints, self._feeds.listed_routers, now_ms)

    def _stream_writes(self) -> StreamWrites:
        if self._peers.large:
            # Only relays hear of the streams of others.
            return self._stream_writer.update(self._peers.relay)
        table = self._site.tables.software_versions
        writer = self._members.domain_writer(table, self._me, self._clock.now_ms)
        return self._stream_writer.update(writer)

    def _other_routers(self) -> set[str]:
        heard = self._members.recent_routers(self._clock.now_ms)
        return {*heard, *self._feeds.listed_routers} - {self._settings.router}

    def _record_notices(self, endpoint: Endpoint, head: AnswerHead) -> None:
        self._state.notices.record(endpoint, self._site.requests.read_answer(head))

    def _deals_warm_ups(self) -> bool:
        listed = len(self._feeds.listed_routers)
        return self._members.leads("warm-up", self._me, listed, self._clock.now_ms)

    def _record_store_failure(self) -> None:
        router = self._settings.router
        if self._members.record_own_store_lost(router, self._clock.now_ms):
            self._peers.publish_notice(StoreLost(router))

    def _publish_changes(self, news: TableNews) -> None:
        if self._members.heard_within(5_000.0, self._clock.now_ms):
            if news.table == self._site.tables.configuration:
                news = news._replace(stamps=self._members.stamps())
            self._peers.publish_changes(news)

    # housekeeping

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            now_ms = self._clock.now_ms
            self._state.vouching.observe(now_ms)
            self._state.software_versions.observe(in_touch=self._state.fresh)
            for connection in list(self._connections):
                connection.close_if_idle(now_ms)
            self._pool.sweep(self._state.knows)
            self._warm_ups.observe()
            lost, regained = self._members.poll_changes(now_ms)
            self._peers.observe(lost, regained)
            if lost or regained:
                self._log.event("peers changed", lost=lost, regained=regained)
            if self._members.returned(lost, regained):
                self._suspects.catch_up()
            self._tell_newly_heard(regained)

    def _tell_newly_heard(self, regained: list[str]) -> None:
        # Told repeatedly: they may hear this router only some time after it hears them.
        now_ms = self._clock.now_ms
        if regained:
            self._tell_until_ms = now_ms + ACQUAINTED_MS
        if now_ms < self._tell_until_ms and self._answers_all():
            self._state.notices.tell()

    async def _flush(self) -> None:
        while True:
            await self._lines_queued.wait()
            self._lines_queued.clear()
            await asyncio.sleep(FLUSH_MS / 1000)
            self._log.flush()
            if self._log.waiting:
                self._lines_queued.set()
