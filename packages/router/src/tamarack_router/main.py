"""tamarackd: starts the tasks of one router and stops them in order."""

from __future__ import annotations

import contextlib
import gc
import math
import signal
import sys
import threading
from typing import Any

from tamarack_core.clock import Clock
from tamarack_core.leaving import plan_leaving
from tamarack_core.membership import ALIVE
from tamarack_core.memory_budget import MemoryBudget
from tamarack_core.protocol import MemberUpdate
from tamarack_core.router_core import RouterCore
from tamarack_router.admin_app import AdminApp
from tamarack_router.caller_app import CallerApp, CallerLimits
from tamarack_router.config_store import ConfigStore
from tamarack_router.control import Control
from tamarack_router.fleet_view import ViewHolder
from tamarack_router.http_listener import App, HttpListener, ListenerLimits
from tamarack_router.load_task import LoadTask
from tamarack_router.logs import PartLog, start_logs
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import EndHeld, Leave, PlanExit
from tamarack_router.metrics_app import MetricsApp
from tamarack_router.open_connections import connection_limit
from tamarack_router.order_task import OrderTask
from tamarack_router.peer_links import CurveKeys, PeerLinks
from tamarack_router.platform import InstanceList, ObjectStore, TableService
from tamarack_router.platform_task import PlatformTask
from tamarack_router.relay import Relay
from tamarack_router.run import RunLimits
from tamarack_router.settings import Settings, printable, settings_from_process
from tamarack_router.share_limiter import ShareLimiter
from tamarack_router.stored_answer import AnswerStore
from tamarack_router.tracing import Tracing

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 2
DRAIN_POLL_S = 0.05
FINAL_GOSSIP_WAIT_S = 0.3
LOG_EVERY_POLLS = 100

CALLERS_FRACTION = 0.4
OPERATORS_FRACTION = 0.1
"""Fractions of the process's descriptors for connections of callers, and to the listener for
operators and the one for metrics each; requests that are held, and endpoints, take others."""


class _Signals:
    """Handles SIGTERM and SIGINT; a second signal skips the wait for address lifetimes."""

    def __init__(self) -> None:
        self._first = threading.Event()
        self._second = threading.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._on_signal)

    def _on_signal(self, number: int, frame: Any) -> None:
        if self._first.is_set():
            self._second.set()
        self._first.set()

    def wait_first(self, timeout_s: float) -> bool:
        """Wait for the first signal; return whether it was received."""
        return self._first.wait(timeout_s)

    def wait_second(self, timeout_s: float) -> bool:
        """Wait for the second signal; return whether it was received."""
        return self._second.wait(timeout_s)


class Router:
    """All tasks of one router, started in the order of their dependencies."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._stack = contextlib.ExitStack()
        self._log = PartLog("main")

    def __enter__(self) -> Router:
        settings, clock, stack = self._settings, self._clock, self._stack
        boot = clock.wall_ms
        links = stack.enter_context(self._peer_links(boot))
        tracing = stack.enter_context(
            Tracing(settings.router, settings.trace, settings.trace_address, settings.trace_sample)
        )
        views = ViewHolder()
        mailbox = stack.enter_context(Mailbox())
        held = ShareLimiter(settings.max_held, settings.share_alpha)
        answers = AnswerStore(settings.answer_memory_bytes, settings.answer_lifetime_ms)
        limits = RunLimits(settings.stream_silence_ms, settings.whole_silence_ms)
        memory = MemoryBudget(settings.held_memory_bytes)
        self.relay = stack.enter_context(
            Relay(clock, mailbox, answers, held, tracing, limits, memory)
        )
        self.caller_app = CallerApp(
            settings.router,
            boot,
            clock,
            views,
            self.relay.mailbox,
            held,
            tracing,
            CallerLimits(settings.max_body_bytes, settings.address_ttl_ms),
        )
        callers = self._listen(
            "callers", settings.listen, self.caller_app, settings.threads, CALLERS_FRACTION
        )
        core = self._core(boot, links.address, callers.address)
        self.control = Control(
            clock, core, links, mailbox, self.relay.mailbox, views, lambda: held.free, settings.peer
        )
        self._start_outer_tasks(views, mailbox)
        stack.enter_context(self.control)
        self._log.info(
            "The router has started.",
            router=settings.router,
            listen=callers.address,
            peer=links.address,
        )
        return self

    def __exit__(self, *exc: Any) -> None:
        self._stack.close()

    def _peer_links(self, boot: int) -> PeerLinks:
        settings = self._settings
        curve = None
        if settings.curve_secret:
            curve = CurveKeys(settings.curve_public, settings.curve_secret)
        return PeerLinks(settings.router, boot, settings.peer_listen, curve=curve)

    def _core(self, boot: int, peer_address: str, caller_address: str) -> RouterCore:
        settings = self._settings
        me = MemberUpdate(
            settings.router,
            boot,
            ALIVE,
            settings.peer_advertise or peer_address,
            caller_address,
            settings.failure_domain,
            0,
            settings.max_held,
        )
        return RouterCore(
            me,
            self._clock.now_ms,
            shard_size=settings.shard_size,
            exchange_ms=settings.exchange_ms,
            seed=boot,
            order=settings.policy,
        )

    def _start_outer_tasks(self, views: ViewHolder, mailbox: Mailbox) -> None:
        settings, stack = self._settings, self._stack
        table = TableService(settings.platform)
        store = ConfigStore(table, ObjectStore(settings.platform))
        instances = InstanceList(settings.platform)
        platform = PlatformTask(store, table, instances, mailbox, settings.config_poll_ms)
        stack.enter_context(platform)
        load = stack.enter_context(LoadTask(mailbox, settings.load_poll_ms))
        self.control.set_blocking_tasks(platform, load)
        orders = OrderTask(settings.router, self._clock, views, table, settings.order_interval_ms)
        stack.enter_context(orders)
        admin = AdminApp(
            settings.router, self._clock, views, store, platform, settings.admin_tokens
        )
        metrics = MetricsApp(
            settings.router,
            views,
            {
                "relay": lambda: self.relay.counts,
                "callers": lambda: self.caller_app.counts,
                "orders": lambda: orders.counts,
            },
            lambda: self.relay.gauges,
        )
        threads = settings.admin_threads
        self._listen("admin", settings.admin_listen, admin, threads, OPERATORS_FRACTION)
        self._listen("metrics", settings.metrics_listen, metrics, threads, OPERATORS_FRACTION)

    def _listen(
        self, part: str, address: str, app: App, threads: int, descriptor_fraction: float
    ) -> HttpListener:
        settings = self._settings
        connections = connection_limit(settings.max_connections, descriptor_fraction)
        listener = HttpListener(
            part,
            address,
            app,
            ListenerLimits(threads, settings.send_ms, connections, settings.share_alpha),
            certificate=settings.tls_certificate if part != "metrics" else "",
            private_key=settings.tls_key if part != "metrics" else "",
        )
        self._stack.enter_context(listener)
        return listener

    def drain(self, signals: _Signals) -> None:
        """Shut down gracefully: announce it, serve until addresses expire, finish all requests."""
        self.control.mailbox.put(Leave())
        settings, now_ms = self._settings, self._clock.now_ms
        linger_ms, last_exit_ms = float(settings.address_ttl_ms), math.inf
        if settings.grace_ms:
            plan = plan_leaving(
                now_ms, grace_ms=settings.grace_ms, address_ttl_ms=settings.address_ttl_ms
            )
            self.relay.mailbox.put(PlanExit(plan))
            last_exit_ms = plan.last_exit_ms
            linger_ms = min(linger_ms, plan.left_ms(now_ms))
        # Callers may use this router's address until its time to live has passed.
        signals.wait_second(linger_ms / 1000)
        self.caller_app.close()
        self._wait_for_requests(last_exit_ms)
        threading.Event().wait(FINAL_GOSSIP_WAIT_S)

    def _wait_for_requests(self, last_exit_ms: float) -> None:
        polls = 0
        while self.relay.busy:
            if self._clock.now_ms >= last_exit_ms:
                held, followers = self.relay.held, self.relay.followers
                self._log.warning("Requests outlast the router.", held=held, followers=followers)
                self.relay.mailbox.put(EndHeld())
                return
            threading.Event().wait(DRAIN_POLL_S)
            polls += 1
            if polls % LOG_EVERY_POLLS == 0:
                held, followers = self.relay.held, self.relay.followers
                self._log.info("Waiting for requests in progress.", held=held, followers=followers)
        self._log.info("All requests have finished.")


def main(arguments: list[str] | None = None) -> int:
    """Run a router until it receives a stop signal; return the exit code."""
    parsed, settings = settings_from_process(arguments)
    if isinstance(settings, list):
        for fault in settings:
            print(f"tamarackd: {fault.setting} {fault.message}.", file=sys.stderr)
        return EXIT_SETTINGS
    if parsed.print_settings:
        print("\n".join(printable(settings)))
        return EXIT_OK
    start_logs(settings.log_level)
    sys.setswitchinterval(settings.switch_interval_us / 1e6)
    signals = _Signals()
    try:
        with Router(settings, Clock()) as router:
            gc.freeze()
            while not signals.wait_first(0.2):
                if router.control.failed or router.relay.failed:
                    PartLog("main").error("A task has ended unexpectedly.")
                    return EXIT_FAILED
            router.drain(signals)
    except OSError as error:
        PartLog("main").error("The router cannot start.", error=str(error))
        return EXIT_FAILED
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
