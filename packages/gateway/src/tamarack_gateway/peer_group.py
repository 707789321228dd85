"""Exchange of messages between routers: direct, or through relays in a large fleet."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any

from tamarack_core.clock import Clock
from tamarack_core.relay_plan import Links, Peer, RelayPlan
from tamarack_core.stream_origins import BegunStreams
from tamarack_core.termination_evidence import Evidence
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.outbox import Outbox, Placements
from tamarack_gateway.peer_messages import (
    Alive,
    Digest,
    Gathered,
    Notice,
    Report,
    Summary,
    TableVersions,
)
from tamarack_gateway.peer_sockets import PeerSockets
from tamarack_gateway.relay_collector import RelayCollector
from tamarack_gateway.table_messages import CopyWanted, TableNews
from tamarack_gateway.task_owner import OwnedTask, TaskOwner

SUMMARY_MS = 250.0
SUMMARY_PER_ROUTER_MS = 4.0
"""Time between two summaries, and the increment for each router of the fleet: two summaries may be
lost before a router counts as silent, also in a fleet of dozens."""

REPORT_GAP_MS = 20.0
"""Minimum time between two reports. Each placement is reported as soon as this allows: routers
unaware of each other's work send it to the same engines, and prefill the same blocks at many."""

RELAY_MS = 40.0
"""Time between two messages of a relay."""

RELAY_IDLE_MS = 100.0
"""Interval between a relay's messages when it has nothing or only summaries to pass on: with 195
routers there is always a summary, and each message wakes all of them."""

RECONNECT_MS = 5_000.0
"""Time in milliseconds without a message of a router after which the connection to it is opened
anew, which drops what it has queued: a router that wakes from a freeze first reads what it has."""

DEPARTED_MS = 10_000.0
"""Time for which a router stays subscribed to after it has left the list: it finishes its requests
within its grace period, 8 s here. Without it, its observations of endpoint terminations would be
lost, and the others would decide on incomplete evidence."""

MALFORMED_LINE_MS = 1_000.0
"""Minimum time between two log lines about frames that cannot be read."""

VERSIONS_MS = 200.0
"""Minimum time between two messages with the versions of the followed tables."""

UNCHANGED_VERSIONS_MS = 1_000.0
"""The same in a small fleet while they do not change."""

PLAN_CHECK_MS = 100.0
"""Time between two checks of the relay plan."""


def _reports_topic(domain: str) -> bytes:
    return b"r/" + domain.encode() + b"/"


def _across_topic(domain: str) -> bytes:
    return b"x/" + domain.encode() + b"/"


def _begun_topic(domain: str) -> bytes:
    return b"s/" + domain.encode() + b"/"


def _within_topic(domain: str) -> bytes:
    return b"l/" + domain.encode() + b"/"


class PeerGroup:
    """One router's side of the exchange with all others.

    Parameters
    ----------
    listen
        Address at which others subscribe.
    summary
        Returns this router's current summary.
    others
        Returns the number of other routers with a recent summary.
    on_report
        Called with each report of another router.
    on_placements
        Called with the summed placements of routers of other failure domains.
    on_alive
        Called with the timestamps of routers whose summaries are unchanged, by their own clocks.
    versions
        Returns the version of the newest change of each followed table that this router knows.
    on_versions
        Called with the versions that another router has.
    on_notice
        Called with each notice of another router.
    on_begun
        Called with begun streams of other routers.
    tasks
        Owns the tasks of the exchange; an owner of its own by default.

    Attributes
    ----------
    malformed
        Number of received frames that could not be read.
    """

    def __init__(
        self,
        router: str,
        failure_domain: str,
        listen: str,
        *,
        clock: Clock,
        log: DecisionLog,
        outbox: Outbox,
        summary: Callable[[], Summary],
        others: Callable[[], int],
        on_report: Callable[[Report], None],
        on_placements: Callable[[Placements], None],
        on_alive: Callable[[dict[str, float]], None],
        versions: Callable[[], dict[str, int]] = dict,
        on_versions: Callable[[dict[str, int]], None] = lambda versions: None,
        on_notice: Callable[[Notice], None] = lambda notice: None,
        on_begun: Callable[[BegunStreams], None] = lambda begun: None,
        tasks: TaskOwner | None = None,
    ) -> None:
        self._router = router
        self._domain = failure_domain
        self._listen = listen
        self._clock = clock
        self._log = log
        self._outbox = outbox
        self._summary = summary
        self._peer_count = others
        self._on_report = on_report
        self._on_placements = on_placements
        self._on_alive = on_alive
        self._versions = versions
        self._on_versions = on_versions
        self._on_notice = on_notice
        self._on_begun = on_begun
        self._plan = RelayPlan(router, failure_domain)
        self._links = Links(frozenset(), None, False)
        self._listed: Mapping[str, Peer] = {}
        self._departed: dict[Peer, float] = {}
        self._collector = RelayCollector(router)
        self._heard_versions: dict[str, int] = {}
        self._last_versions_ms = float("-inf")
        self._told_versions: dict[str, int] = {}
        self._relay: str | None = None
        self._relay_task: OwnedTask | None = None
        self._last_relay_ms = float("-inf")
        self._last_summary_ms = float("-inf")
        self._malformed_logged_ms = float("-inf")
        self.malformed = 0
        self._stack = contextlib.ExitStack()
        self._owner = tasks or TaskOwner(clock, log)
        self._tasks: list[OwnedTask] = []
        self._sockets: PeerSockets
        self._unheard_ms: dict[str, float] = {}

    async def __aenter__(self) -> PeerGroup:
        sockets = PeerSockets(
            self._listen,
            self._receive,
            self._record_malformed,
            lambda error: self._owner.record_failure("messages of peers", error),
        )
        self._sockets = self._stack.enter_context(sockets)
        self._stack.callback(self._publish_rest)
        self._update_subscriptions()
        self._tasks = [
            self._owner.start("reports to peers", self._report_loop),
            self._owner.start("relay plan", self._check_plan),
        ]
        return self

    async def __aexit__(self, *exc: object) -> None:
        tasks = self._tasks + ([self._relay_task] if self._relay_task is not None else [])
        await self._owner.cancel(tasks)
        self._stack.close()

    @property
    def address(self) -> str:
        """Address at which others subscribe."""
        return self._sockets.address

    @property
    def relays(self) -> bool:
        """Whether this router relays the reports of its failure domain."""
        return self._links.relays

    @property
    def relay(self) -> str | None:
        """The relay of this router's failure domain that was heard last; None if none was."""
        return self._router if self._links.relays else self._relay

    @property
    def large(self) -> bool:
        """Whether the fleet is large, so that some routers do shared tasks for all."""
        return self._plan.large

    def observe(self, lost: Iterable[str], regained: Iterable[str]) -> None:
        """Open the connections anew to routers that have not been heard for `RECONNECT_MS`.

        Parameters
        ----------
        lost, regained
            Routers that are not heard any more, and those that are heard again, since the last
            call.
        """
        now_ms = self._clock.now_ms
        self._unheard_ms.update((router, now_ms) for router in lost)
        for router in regained:
            self._unheard_ms.pop(router, None)
        for router, since_ms in list(self._unheard_ms.items()):
            if now_ms - since_ms < RECONNECT_MS:
                continue
            del self._unheard_ms[router]
            if (peer := self._listed.get(router)) is not None:
                self._sockets.reconnect(peer.address)

    def put(self, peers: Mapping[str, Peer]) -> None:
        """Apply a new list of routers.

        In a large fleet, subscriptions change only with the next check of the plan: while 195
        routers start, the list changes with each of them, and connections would be opened only to
        be closed at once.
        """
        now_ms = self._clock.now_ms
        for peer in self._listed.values():
            self._departed[peer] = now_ms + DEPARTED_MS
        self._listed = dict(peers)
        for peer in peers.values():
            self._departed.pop(peer, None)
        self._plan.put(peers, now_ms)
        if not self._plan.large:
            self._update_subscriptions()

    def publish_summary(self) -> None:
        """Publish this router's summary at once."""
        self._publish(summary=self._summary())

    def publish_changes(self, news: TableNews) -> None:
        """Publish changes that this router read from the store at once."""
        self._publish(news=news)

    def publish_copy_request(self, wanted: CopyWanted) -> None:
        """Request a whole table from the other routers."""
        self._publish(wanted=wanted)

    def publish_evidence(self, evidence: Evidence) -> None:
        """Publish new evidence about requests that crash endpoints at once."""
        self._publish(evidence=evidence)

    def publish_notice(self, notice: Notice) -> None:
        """Publish a notice at once."""
        if self._links.relays:
            self._collector.add_notice(notice, remote=False)
        else:
            self._sockets.publish(_reports_topic(self._domain), notice)

    def _publish(
        self,
        *,
        summary: Summary | None = None,
        placements: Placements | None = None,
        news: TableNews | None = None,
        wanted: CopyWanted | None = None,
        evidence: Evidence | None = None,
        begun: Sequence[BegunStreams] = (),
    ) -> None:
        now_ms = self._clock.now_ms
        report = Report(self._router, now_ms, summary, placements, news, wanted, evidence)
        if self._links.relays:
            self._collector.add_report(report)
            for streams in begun:
                self._collector.add_begun(streams)
            return
        messages = (report, *self._due_versions(now_ms, summary is not None), *begun)
        self._sockets.publish(_reports_topic(self._domain), *messages)

    def _due_versions(self, now_ms: float, with_summary: bool) -> list[TableVersions]:
        # In a small fleet each router reads the tables itself, unless the store has lost a change.
        if not (self._plan.large or with_summary):
            return []
        versions, elapsed_ms = self._versions(), now_ms - self._last_versions_ms
        gap_ms = VERSIONS_MS if self._plan.large else UNCHANGED_VERSIONS_MS
        if elapsed_ms < gap_ms and (self._plan.large or versions == self._told_versions):
            return []
        self._last_versions_ms, self._told_versions = now_ms, versions
        return [TableVersions(versions)]

    def _receive(self, topic: bytes, message: Any) -> None:
        if isinstance(message, Report):
            self._plan.record_report(self._clock.now_ms)
            if self._links.relays:
                self._collector.add_report(message)
            self._on_report(message)
        elif isinstance(message, TableVersions):
            self._note_versions(message.versions)
        elif isinstance(message, Notice):
            self._receive_notice(topic, message)
        elif isinstance(message, BegunStreams):
            self._receive_begun(topic, message)
        elif topic == _within_topic(self._domain):
            if isinstance(message, Digest):
                self._relay = message.relay
                self._plan.record_relay(message.relay, self._clock.now_ms)
            if not self._links.relays:
                self._deliver(message)
        elif self._links.relays and topic != _across_topic(self._domain):
            self._collector.add_remote(message)
            self._deliver(message)

    def _record_malformed(self, topic: bytes, size: int) -> None:
        # A router of another version may send many.
        self.malformed += 1
        now_ms = self._clock.now_ms
        if now_ms - self._malformed_logged_ms >= MALFORMED_LINE_MS:
            self._malformed_logged_ms = now_ms
            facts = {"topic": topic.decode("latin-1"), "bytes": size, "so_far": self.malformed}
            self._log.event("a message of a router cannot be read", **facts)

    def _deliver(self, message: Any) -> None:
        if isinstance(message, Gathered):
            self._on_placements(message.placements)
        elif isinstance(message, Alive):
            message.stamps.pop(self._router, None)
            self._on_alive(message.stamps)
        elif isinstance(message, Digest):
            for report in message.reports:
                if report.router != self._router:
                    self._on_report(report)

    def _receive_notice(self, topic: bytes, notice: Notice) -> None:
        relays = self._links.relays
        if relays and topic in (_within_topic(self._domain), _across_topic(self._domain)):
            return
        if relays:
            remote = topic != _reports_topic(self._domain)
            self._collector.add_notice(notice, remote=remote)
        self._on_notice(notice)

    def _receive_begun(self, topic: bytes, begun: BegunStreams) -> None:
        if self._links.relays and topic == _reports_topic(self._domain):
            self._collector.add_begun(begun)
        self._on_begun(begun)

    def _note_versions(self, versions: dict[str, int]) -> None:
        for table, version in versions.items():
            self._heard_versions[table] = max(version, self._heard_versions.get(table, 0))
        self._on_versions(versions)

    # sending

    async def _report_loop(self) -> None:
        while True:
            await asyncio.sleep(REPORT_GAP_MS / 1000)
            interval_ms = SUMMARY_MS + self._peer_count() * SUMMARY_PER_ROUTER_MS
            left_ms = self._last_summary_ms + interval_ms - self._clock.now_ms
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, left_ms) / 1000):
                    await self._outbox.wait()
            summary = None
            if self._clock.now_ms - self._last_summary_ms >= interval_ms:
                self._last_summary_ms = self._clock.now_ms
                summary = self._summary()
            self._publish_collected(summary)

    def _publish_rest(self) -> None:
        self._publish_collected()
        if self._links.relays:
            self._relay_collected(self._clock.now_ms)

    def _publish_collected(self, summary: Summary | None = None) -> None:
        placements, begun = self._outbox.take(), self._outbox.take_begun()
        if summary is not None or placements is not None or begun:
            self._publish(summary=summary, placements=placements, begun=begun)

    async def _relay_loop(self) -> None:
        while True:
            await asyncio.sleep(RELAY_MS / 1000)
            now_ms = self._clock.now_ms
            due = self._collector.urgent or now_ms - self._last_relay_ms >= RELAY_IDLE_MS
            if due and self._plan.should_publish(now_ms):
                self._relay_collected(now_ms)

    def _relay_collected(self, now_ms: float) -> None:
        self._last_relay_ms = now_ms
        versions = TableVersions(self._newest_versions())
        collected = self._collector.take(versions, now_ms, self._plan.other_domains)
        if collected.across:
            self._sockets.publish(_across_topic(self._domain), *collected.across)
        for domain, begun in collected.begun.items():
            self._sockets.publish(_begun_topic(domain), *begun)
        self._sockets.publish(_within_topic(self._domain), *collected.within)

    def _newest_versions(self) -> dict[str, int]:
        own = self._versions()
        tables = own.keys() | self._heard_versions.keys()
        return {t: max(own.get(t, 0), self._heard_versions.get(t, 0)) for t in sorted(tables)}

    # subscriptions

    async def _check_plan(self) -> None:
        while True:
            await asyncio.sleep(PLAN_CHECK_MS / 1000)
            if self._plan.large or self._departed:
                self._update_subscriptions()

    def _departed_addresses(self, links: Links) -> frozenset[str]:
        now_ms = self._clock.now_ms
        self._departed = {peer: until for peer, until in self._departed.items() if until > now_ms}
        return frozenset(
            peer.address
            for peer in self._departed
            if not self._plan.large or (links.relays and peer.failure_domain == self._domain)
        )

    def _update_subscriptions(self) -> None:
        links = self._plan.links(self._clock.now_ms)
        if links.relays != self._links.relays:
            self._log.event("relays" if links.relays else "relays no longer", domain=self._domain)
            self._switch_role(links.relays)
        self._links = links
        addresses = links.addresses | self._departed_addresses(links)
        self._sockets.subscribe(addresses, self._topics(links))

    def _switch_role(self, relays: bool) -> None:
        if self._relay_task is not None:
            self._relay_task.cancel()
            self._relay_task = None
        self._collector = RelayCollector(self._router)
        if relays:
            self._relay_task = self._owner.start("relay", self._relay_loop)

    def _topics(self, links: Links) -> frozenset[bytes]:
        if links.domains is None:
            return frozenset((b"r/",))
        topics = {_within_topic(self._domain)}
        if links.relays:
            topics |= {_reports_topic(self._domain), _begun_topic(self._domain), b"x/"}
        return frozenset(topics)
