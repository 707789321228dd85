"""Entry point for callers' requests: denies, refuses, or passes each one to an `Exchange`."""

from __future__ import annotations

import asyncio
from typing import Any

from tamarack_core.leaving import ELSEWHERE_MS
from tamarack_core.ruleset import Route
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.exchange import Exchange
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import Request
from tamarack_gateway.loop_monitor import LoopMonitor
from tamarack_gateway.origin_feed import OriginFeed
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.request_quarantine import RequestQuarantine
from tamarack_gateway.site import RequestDialect, RequestFacts, Sender
from tamarack_gateway.termination_detector import TerminationDetector

DENY_AGE_MS = 3_600.0
"""With an older configuration, or if the newest one cannot be read, an unknown route or key is
refused for now and not denied: it may have been added since, and callers do not retry after a
denial."""

OVERLOAD_RETRY_MS = 100.0
"""Minimum delay before a caller retries after an overloaded router refused it; a random spread adds
up to the same time again. Most retry at another router, and soon enough to meet their targets."""

ROUTER_ENDS = "the router ends"
"""Reason in logs and metrics for requests that are cancelled when the router exits."""


class CallerHandler:
    """Answers the requests of all callers' connections.

    Attributes
    ----------
    ending
        Whether the router exits and cancels the requests that still run.
    """

    def __init__(
        self,
        state: FleetState,
        dialect: RequestDialect,
        pool: ConnectionPool,
        outbox: Outbox,
        metrics: GatewayMetrics,
        loop_monitor: LoopMonitor,
        detector: TerminationDetector,
        quarantine: QuarantineFeed,
        origins: OriginFeed,
    ) -> None:
        self._state = state
        self._dialect = dialect
        self._pool = pool
        self._outbox = outbox
        self._metrics = metrics
        self._loop_monitor = loop_monitor
        self._detector = detector
        self._quarantine = quarantine
        self._origins = origins
        self._clock = state.clock
        self._log = state.log
        self.ending = False

    def refuse_early(self, request: Request, caller: CallerConnection) -> bool:
        """Refuse a request if this router is overloaded; returns whether it was refused.

        The caller gets an answer and keeps its connection: a caller whose connection is closed
        unread considers the address unreachable, and one pinned to this router has no other.
        """
        if not self._loop_monitor.may_refuse:
            return False
        sender = self._dialect.sender(request)
        return sender is not None and self._refuse_overload(caller, sender)

    async def answer(self, request: Request, caller: CallerConnection) -> None:
        """Answer one request."""
        state, dialect = self._state, self._dialect
        facts = dialect.read(request)
        if facts is None:
            caller.answer(400, [])
            return
        # Checked again: requests that were read together have begun since.
        if self._loop_monitor.may_refuse and self._refuse_overload(caller, facts):
            return
        rules = state.rules
        workspace = self._workspace_of(facts.key)
        lingers = state.leaving is None or state.leaving.lingers(self._clock.now_ms)
        if self.ending or not lingers:
            # The TTL of every answer with this address has expired; only running requests remain.
            self._refuse(caller, facts.attempt, "leaving", ELSEWHERE_MS)
            return
        if rules is None or not state.initialized:
            self._refuse(caller, facts.attempt, "no configuration is known yet", 300.0)
            return
        route = rules.route_for(facts.host, facts.path)
        if route is None:
            self._deny(caller, facts.attempt, 404)
            return
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
        exchange = self._exchange(request, caller, facts, route, workspace)
        try:
            tokens = facts.prompt.charge if facts.prompt else 0.0
            with self._loop_monitor.in_progress(workspace, route.name, tokens):
                await exchange.run()
            await caller.delivered()
            exchange.delivered()
        except ConnectionError as error:
            self._log.request("caller gone", facts.attempt, reason=str(error))
            caller.cut()
        except asyncio.CancelledError:
            self._log_cancelled(exchange, request, facts.attempt, caller)
            raise
        finally:
            self._metrics.ended(route, self._clock.now_ms - request.arrived_ms)

    def _workspace_of(self, key: str | None) -> str | None:
        rules = self._state.rules
        return rules.workspace_of(key) if rules is not None and key is not None else None

    def _refuse_overload(self, caller: CallerConnection, sender: Sender | RequestFacts) -> bool:
        rules = self._state.rules
        workspace = self._workspace_of(sender.key)
        route = rules.route_for(sender.host, sender.path) if rules is not None else None
        name = route.name if route is not None else ""
        if not self._loop_monitor.should_refuse(workspace, name, sender.wait_ms):
            return False
        self._refuse(caller, sender.attempt, "overloaded", OVERLOAD_RETRY_MS, workspace=workspace)
        return True

    def _exchange(
        self,
        request: Request,
        caller: CallerConnection,
        facts: RequestFacts,
        route: Route,
        workspace: str | None,
    ) -> Exchange:
        state = self._state
        request_quarantine = RequestQuarantine(
            state, self._detector, self._quarantine, request, facts, workspace
        )
        return Exchange(
            state,
            self._dialect,
            self._pool,
            self._outbox,
            caller,
            request,
            facts,
            route,
            workspace,
            request_quarantine,
            self._origins,
            self._loop_monitor.load(route.name),
        )

    def _log_cancelled(
        self, exchange: Exchange, request: Request, attempt: str, caller: CallerConnection
    ) -> None:
        # The log must distinguish a request that the exiting router cancels from one whose caller
        # left or whose endpoint failed: the time since the router was asked to stop shows which.
        ran_ms = round(self._clock.now_ms - request.arrived_ms)
        if not self.ending:
            sent = "after it was sent" if exchange.sends else "before it was sent"
            self._log.request("abandoned", attempt, reason=sent, waited_ms=ran_ms)
            return
        unsent_bytes = caller.unsent_bytes
        self._log.request(
            exchange.end(),
            attempt,
            reason=ROUTER_ENDS,
            stopping_ms=self._state.stopping_ms,
            ran_ms=ran_ms,
            unsent_bytes=unsent_bytes,
        )

    def _deny(self, caller: CallerConnection, attempt: str, status: int) -> None:
        age_ms = self._state.freshness.age_ms(self._clock.now_ms)
        if age_ms > DENY_AGE_MS or self._state.unreadable_rules is not None:
            self._refuse(caller, attempt, "the configuration is not confirmed", 400.0)
            return
        rules = self._state.rules
        version = rules.version if rules else 0
        self._log.request("denied", attempt, status=status, version=version, age_ms=round(age_ms))
        caller.answer(status, self._dialect.refusal(attempt, None))

    def _refuse(
        self,
        caller: CallerConnection,
        attempt: str,
        reason: str,
        retry_after_ms: float,
        **facts: Any,
    ) -> None:
        self._log.request("refused", attempt, reason=reason, **facts)
        spread_ms = retry_after_ms * (1.0 + self._state.random.random())
        caller.answer(503, self._dialect.refusal(attempt, spread_ms))
