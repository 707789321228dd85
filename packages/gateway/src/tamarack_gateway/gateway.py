"""One router: its listeners, what it follows, and how it leaves."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

from tamarack_core.clock import Clock
from tamarack_core.relay_plan import Peer
from tamarack_gateway.cache_inventory import CacheInventory
from tamarack_gateway.caller_connection import CallerConnection, TurnedAway
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.exchange import Exchange
from tamarack_gateway.fleet_feeds import FleetFeeds
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import Request
from tamarack_gateway.outbox import Outbox, Placements
from tamarack_gateway.own_pages import OwnPages
from tamarack_gateway.peer_group import PeerGroup
from tamarack_gateway.peer_messages import Report, Summary
from tamarack_gateway.site import Site
from tamarack_gateway.table_follower import TableNews

BACKLOG = 1_024
"""Connections that wait to be accepted; a full queue costs a caller seconds."""

READERS_SETTLE_MS = 1_000.0
"""Time after its start in which a router of a large fleet, having read the store once, leaves it to
the others to go on: it has not heard who they are, and would take itself for a reader. Of 66
routers that start together each made three calls more, a quarter of a short day's calls."""

CALLERS_PART = 0.6
"""Part of the descriptors that callers' connections may take; the rest is for endpoints, the store
and other routers. A router without one left can neither accept nor connect, and requests that it
has read are lost; callers that are turned away at once go to another router."""

SWEEP_MS = 500.0
"""Time between two looks at idle connections and silent peers."""

FLUSH_MS = 100.0
"""Time between two writes of the log."""

LINGER_MS = 3_300.0
"""Time after the request to stop for which all new requests are served: three times the time to
live of addresses, and some for the way."""

LAST_EXIT_PART = 0.93
"""Part of the grace time after which the router ends whatever still runs; at its end it would be
killed in the middle of a write."""


class Gateway:
    """All of one router; use it as an asynchronous context manager."""

    def __init__(self, site: Site, clock: Clock, log: DecisionLog, *, seed: int) -> None:
        self._site = site
        self._clock = clock
        self._log = log
        self._boot = seed
        self._settings = site.load_settings()
        self._state = FleetState(self._settings, clock, log, seed=seed)
        self._pool = ConnectionPool(clock)
        self._outbox = Outbox()
        self._members = FleetMembers()
        self._metrics = GatewayMetrics(
            self._state, self._pool, store_calls=lambda: self._feeds.calls
        )
        self._pages = OwnPages(
            self._state,
            self._members,
            self._metrics,
            site.directory,
            me=lambda: self._me,
            relays=lambda: self._peers.relays,
        )
        self._connections: set[CallerConnection] = set()
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[Any]] = []
        self._stack = contextlib.AsyncExitStack()
        self._peers = PeerGroup(
            self._settings.router,
            self._settings.failure_domain,
            self._settings.peers,
            clock=clock,
            log=log,
            outbox=self._outbox,
            summary=self._summary,
            others=lambda: self._members.heard_within(5_000.0, clock.now_ms),
            took=self._took,
        )
        self._feeds = FleetFeeds(
            site,
            self._state,
            follow=self._follow,
            reads=self._reads,
            told=self._tell_news,
        )
        self._inventory = CacheInventory(
            self._state,
            site.engines,
            self._pool,
            self._outbox,
            settles=lambda: self._peers.large,
            asks=lambda name: self._members.asks(name, self._me, clock.now_ms),
        )
        self._started_ms = clock.now_ms
        self._left_ms = float("inf")
        self._callers = ""
        self._site_addresses: list[str] = []
        self._metrics_address = ""

    async def __aenter__(self) -> Gateway:
        settings = self._settings
        await self._stack.enter_async_context(self._peers)
        self._feeds.start(self._peers.address, self._boot)
        self._callers = await self._listen(settings.callers, self._answer_caller)
        for address in dict.fromkeys((settings.readiness, settings.directory)):
            if address:
                self._site_addresses.append(await self._listen(address, self._pages.answer_site))
        self._metrics_address = await self._listen(settings.metrics, self._pages.answer_operator)
        self._tasks.append(asyncio.ensure_future(self._inventory.run()))
        self._tasks.append(asyncio.ensure_future(self._sweep()))
        self._tasks.append(asyncio.ensure_future(self._flush()))
        self._log.event("started", callers=self._callers, peers=self._peers.address)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._log.event("stopped")
        for task in self._tasks:
            task.cancel()
        await self._feeds.close()
        for server in self._servers:
            server.close()
        for connection in list(self._connections):
            connection.cut()
        self._pool.close()
        await asyncio.sleep(0)
        await self._stack.aclose()
        self._log.flush()

    @property
    def state(self) -> FleetState:
        """What this router believes."""
        return self._state

    @property
    def callers(self) -> str:
        """Address at which callers are served."""
        return self._callers

    @property
    def site_addresses(self) -> list[str]:
        """Addresses at which readiness and addresses for callers are served."""
        return self._site_addresses

    @property
    def metrics_address(self) -> str:
        """Address at which metrics and the status are served, for operators only."""
        return self._metrics_address

    def reload(self) -> None:
        """Read the settings anew; addresses of listeners stay as they were at the start.

        A file that cannot be used changes nothing: it may be looked at while it is being written,
        and an error here would end the task that looks, so that no later change took hold.
        """
        try:
            self._settings = self._site.load_settings()
        except (OSError, ValueError) as error:
            self._log.event("new settings cannot be used", reason=str(error))
            return
        self._state.settings = self._settings
        self._log.event("settings were read anew", store=self._settings.store)

    async def leave(self) -> None:
        """Stop in order: callers go elsewhere first, and what runs is finished."""
        clock, bounds = self._clock, self._settings.bounds
        self._left_ms = clock.now_ms
        self._state.leaving = True
        self._log.event("leaving", connections=len(self._connections))
        self._peers.tell_summary()
        for connection in list(self._connections):
            connection.closing = True
        await self._feeds.leave()
        last_ms = self._left_ms + bounds.grace_ms * LAST_EXIT_PART
        while clock.now_ms < last_ms:
            past_ms = clock.now_ms - self._left_ms
            busy = any(connection.busy for connection in self._connections)
            if past_ms >= LINGER_MS:
                for connection in list(self._connections):
                    connection.close_when_idle()
                if not busy:
                    break
            await asyncio.sleep(0.05)
        self._log.event("left", connections=len(self._connections))

    # callers

    async def _listen(self, address: str, handler: Any) -> str:
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        state = self._state

        def accept() -> asyncio.Protocol:
            if len(self._connections) >= CALLERS_PART * self._settings.descriptors:
                self._log.event("a caller was turned away", connections=len(self._connections))
                return TurnedAway()
            connection = CallerConnection(
                handler, self._clock, lambda: state.bounds, self._connections
            )
            connection.closing = state.leaving
            return connection

        server = await loop.create_server(
            accept, host, int(port), backlog=BACKLOG, reuse_address=True
        )
        self._servers.append(server)
        bound = server.sockets[0].getsockname()
        return f"{bound[0]}:{bound[1]}"

    async def _answer_caller(self, request: Request, caller: CallerConnection) -> None:
        state, dialect = self._state, self._site.requests
        facts = dialect.read(request)
        if facts is None:
            caller.answer(400, [])
            return
        rules = state.rules
        if self._past_linger:
            # What begins now might not end before the process is killed; elsewhere it can.
            self._refuse(caller, facts.attempt, "leaving", 20.0)
            return
        if rules is None or not state.endpoints_known:
            self._refuse(caller, facts.attempt, "no configuration is known yet", 300.0)
            return
        route = rules.route_for(facts.host, facts.path)
        if route is None:
            self._deny(caller, facts.attempt, 404)
            return
        workspace = None
        if facts.key is not None:
            workspace = rules.workspace_of(facts.key)
        if rules.needs_keys and not route.public:
            if not state.freshness.trusted(self._clock.now_ms):
                self._refuse(caller, facts.attempt, "keys are not confirmed", 400.0)
                return
            if workspace is None:
                self._deny(caller, facts.attempt, 401)
                return
        elif not state.freshness.trusted(self._clock.now_ms):
            workspace = None
        self._metrics.began(route)
        exchange = Exchange(
            state, dialect, self._pool, self._outbox, caller, request, facts, route, workspace
        )
        try:
            await exchange.run()
        except ConnectionError as error:
            self._log.request("caller gone", facts.attempt, reason=str(error))
            caller.cut()
        except asyncio.CancelledError:
            waited_ms = self._clock.now_ms - request.arrived_ms
            self._log.request("abandoned", facts.attempt, waited_ms=round(waited_ms))
            raise
        finally:
            self._metrics.ended(route, self._clock.now_ms - request.arrived_ms)

    @property
    def _past_linger(self) -> bool:
        return self._clock.now_ms - self._left_ms >= LINGER_MS

    DENY_AGE_MS = 3_600.0
    """Age of the configuration beyond which an unknown route or key is not denied, as where the
    newest one cannot be read: it may have been added since, and a caller does not come back after
    a denial."""

    def _deny(self, caller: CallerConnection, attempt: str, status: int) -> None:
        age_ms = self._state.freshness.age_ms(self._clock.now_ms)
        if age_ms > self.DENY_AGE_MS or self._state.unreadable_rules is not None:
            self._refuse(caller, attempt, "the configuration is not confirmed", 400.0)
            return
        rules = self._state.rules
        version = rules.version if rules else 0
        self._log.request("denied", attempt, status=status, version=version, age_ms=round(age_ms))
        caller.answer(status, self._site.requests.refusal(attempt, None))

    def _refuse(
        self, caller: CallerConnection, attempt: str, reason: str, retry_after_ms: float
    ) -> None:
        self._log.request("refused", attempt, reason=reason)
        spread_ms = retry_after_ms * (1.0 + self._state.random.random())
        caller.answer(503, self._site.requests.refusal(attempt, spread_ms))

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
        )

    def _follow(self, peers: dict[str, Peer]) -> None:
        self._peers.put(peers)
        self._state.allowance.seen(len(peers))

    def _reads(self, table: str) -> bool:
        now_ms = self._clock.now_ms
        if self._peers.large and now_ms - self._started_ms < READERS_SETTLE_MS:
            return False
        return self._members.reads(table, self._me, now_ms)

    def _tell_news(self, news: TableNews) -> None:
        if self._members.heard_within(5_000.0, self._clock.now_ms):
            if news.table == self._site.tables.configuration:
                news = news._replace(stamps=self._members.stamps())
            self._peers.tell_news(news)

    def _took(self, report: Report) -> None:
        if report.summary is not None:
            self._heard(report.summary, report.stamp_ms)
        self._members.stamped(report.router, report.stamp_ms)
        if report.placements is not None:
            self._took_placements(report.placements)
        if report.news is not None:
            stamp_ms = report.news.stamps.get(self._settings.router, float("-inf"))
            self._feeds.hear(report.news, stamp_ms)

    def _heard(self, summary: Summary, stamp_ms: float) -> None:
        now_ms = self._clock.now_ms
        member = Member(
            summary.router,
            summary.boot,
            summary.failure_domain,
            summary.callers,
            summary.ready,
            now_ms,
            summary.fresh,
            stamp_ms,
        )
        self._members.heard(member)

    def _took_placements(self, told: Placements) -> None:
        state, now_ms = self._state, self._clock.now_ms
        for placed in told.placed:
            model = state.model(placed.key)
            if model is not None:
                model.sent_elsewhere(placed.reading_ms, now_ms)
                model.keep_named(placed.parts, now_ms)
        for seen in told.seen:
            model = state.model(seen.key)
            if model is not None:
                model.seen_elsewhere(seen.wait_ms, seen.pace, now_ms)
        for tokens in told.tokens:
            state.shares.ask(tokens.workspace, tokens.asked, now_ms)
            state.shares.serve(tokens.workspace, tokens.served, now_ms)

    def _summary(self) -> Summary:
        me = self._me
        return Summary(
            me.router,
            me.boot,
            me.failure_domain,
            me.callers,
            me.ready,
            me.fresh,
        )

    # housekeeping

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_MS / 1000)
            now_ms = self._clock.now_ms
            for connection in list(self._connections):
                connection.close_if_idle(now_ms)
            self._pool.sweep(self._state.knows)
            lost, regained = self._members.turned(now_ms)
            if lost or regained:
                self._log.event("peers changed", lost=lost, regained=regained)

    async def _flush(self) -> None:
        while True:
            await asyncio.sleep(FLUSH_MS / 1000)
            self._log.flush()
