"""Tables that a router follows in the platform's store: configuration, endpoints and routers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection
from functools import partial
from typing import NamedTuple, TypedDict

import msgspec

from tamarack_core.json_input import decode_json, is_ip_port
from tamarack_core.relay_plan import Peer
from tamarack_core.vouching import LOST_WRITES_MS
from tamarack_gateway.briefing import Briefing, BriefingAnswer, BriefingQuery
from tamarack_gateway.configuration_rows import ConfigurationRows
from tamarack_gateway.endpoint_rows import EndpointRows
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row, Site
from tamarack_gateway.store_client import StoreClient, StoreError
from tamarack_gateway.store_clients import StoreClients
from tamarack_gateway.store_epoch import LOST_CHANGES_MS, StoreEpoch, epoch_of, without_epoch
from tamarack_gateway.table_check import TableCheck
from tamarack_gateway.table_follower import TableFollower
from tamarack_gateway.table_messages import CopyWanted, TableChange, TableNews
from tamarack_gateway.task_owner import OwnedTask, TaskOwner
from tamarack_gateway.unreadable_rows import RowKind

RULES_WAIT_FRACTION = 0.2
"""Time for which the store holds a call for the configuration, as a fraction of the bounds for
revocations and evacuations: 1 s of 5. An answer confirms the keys as of the time at which its call
was sent, so a confirmation is up to twice this old, or three times if another router passes it on.
Keys expire half a second before the bound: with a fixed second, they would expire between two calls
where the bound is 3 s."""

RULES_PAUSE_MS = 250.0
"""Minimum time between two calls for the configuration; a change may take 2 s to take effect."""

ENDPOINTS_WAIT_MS = 4_000.0
ENDPOINTS_PAUSE_MS = 250.0
"""The same for the list of endpoints; a leaving endpoint may get new work for up to 2 s."""

ROUTERS_WAIT_MS = 8_000.0
ROUTERS_PAUSE_MS = 500.0
"""The same for other routers; the store's change history covers this wait."""

QUARANTINE_WAIT_MS = 25_000.0
QUARANTINE_PAUSE_MS = 500.0
"""The same for quarantined requests. Routers send these to each other directly; the store serves
routers that start later, and each call to it has a cost."""

MAX_WRITE_ATTEMPTS = 20
"""Attempts to write this router's row; the last ones are some ten seconds after the start."""

LEAVE_WRITE_MS = 1_000.0
"""Time that a leaving router waits for its row to be removed; its summary also announces it."""

REMOVAL_STEP_MS = 400.0
"""Time between two attempts of a leaving router to remove its row."""


class RouterFields(TypedDict, total=False):
    """A router's row as decoded; rows of earlier versions have no failure domain."""

    peers: str
    failure_domain: str


_router_decoder = msgspec.json.Decoder(RouterFields)


class RouterRow(NamedTuple):
    """A router's row: the address for peers, its incarnation and its failure domain."""

    peers: str
    boot: int
    failure_domain: str = ""


class FleetFeeds:
    """The tasks that follow the store.

    Parameters
    ----------
    follow
        Called with all listed routers when the list changes.
    reads
        Returns whether this router reads tables from the store itself.
    publish
        Called with changes read from the store, to be published to the other routers.
    wanted
        Called when another router should send a whole table.
    on_failure
        Called with each failed call for changes of a table.
    on_quarantine_change
        Called with changes of the table of quarantined requests.
    ask
        Called with questions for other routers, and with answers to theirs.
    tasks
        Owns the tasks that follow the store; an owner of its own by default.

    Attributes
    ----------
    on_restore
        Called when the store has been restored from a copy.
    """

    def __init__(
        self,
        site: Site,
        state: FleetState,
        *,
        follow: Callable[[dict[str, Peer]], None],
        reads: Callable[[], bool],
        publish: Callable[[TableNews], None],
        wanted: Callable[[CopyWanted], None],
        on_failure: Callable[[], None],
        on_quarantine_change: Callable[[TableChange], None],
        ask: Callable[[BriefingQuery | BriefingAnswer], None],
        tasks: TaskOwner | None = None,
    ) -> None:
        self._site = site
        self._on_quarantine_change = on_quarantine_change
        self._state = state
        self._follow = follow
        self._reads = reads
        self._publish = publish
        self._request_copy = wanted
        self._on_failure = on_failure
        self._routers: dict[str, Peer] = {}
        self._own_row = b""
        self._own_version: int | None = None
        self._configuration = ConfigurationRows(state, site)
        self._endpoints = EndpointRows(state, site.read_endpoint)
        self._registering = False
        self._leaving = False
        self._owner = tasks or TaskOwner(state.clock, state.log)
        self._tasks: list[OwnedTask] = []
        self._followers: dict[str, TableFollower] = {}
        self._check: TableCheck
        self._epoch = StoreEpoch(state.clock, state.vouching)
        self._epoch.on_begin = self._watch_epoch
        self._epoch.on_restore = self._on_restore
        self._clients = StoreClients(state, site.store, self._epoch)
        self._briefing = Briefing(state, self._epoch, self._configuration, publish=ask)
        self._briefing.on_settle = self._on_settle
        self._timers: list[asyncio.TimerHandle] = []
        self.on_restore: Callable[[], None] = lambda: None

    def start(self, peers_address: str, boot: int) -> None:
        """Start to follow all tables, and add this router to the list of routers."""
        tables = self._site.tables
        bounds = self._state.settings.bounds
        rules_wait_ms = min(bounds.revoke_ms, bounds.evacuate_ms) * RULES_WAIT_FRACTION
        for table, wait_ms, pause_ms, on_change in (
            (tables.configuration, rules_wait_ms, RULES_PAUSE_MS, self._configuration.apply),
            (tables.endpoints, ENDPOINTS_WAIT_MS, ENDPOINTS_PAUSE_MS, self._endpoints.apply),
            (tables.routers, ROUTERS_WAIT_MS, ROUTERS_PAUSE_MS, self._apply_routers),
            (
                tables.quarantine,
                QUARANTINE_WAIT_MS,
                QUARANTINE_PAUSE_MS,
                self._on_quarantine_change,
            ),
        ):
            follower = TableFollower(
                self._clients.create(),
                self._state.clock,
                table,
                wait_ms=wait_ms,
                pause_ms=pause_ms,
                on_change=partial(self._on_change, table, on_change),
                on_status=self._status_reporter(table),
                reads=self._reads,
                publish=self._publish,
                wanted=self._request_copy,
                on_failure=self._on_failure,
                epoch=self._epoch,
            )
            self._followers[table] = follower
            self._tasks.append(self._owner.start(f"table {table}", follower.run))
        endpoints = self._followers[tables.endpoints]
        self._check = TableCheck(self._state, self._clients, endpoints, tables.endpoints)
        self._tasks.append(self._owner.start("briefing", self._briefing.run))
        domain = self._state.settings.failure_domain
        self._own_row = msgspec.json.encode(RouterRow(peers_address, boot, domain)._asdict())
        self._start_registration()

    @property
    def store_epoch(self) -> int:
        """How often the store has been restored from a copy, as far as this router knows."""
        return self._epoch.current

    @property
    def briefing(self) -> Briefing:
        """What other routers know that the store may have lost."""
        return self._briefing

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return self._clients.calls

    @property
    def clients(self) -> StoreClients:
        """Connections to the store."""
        return self._clients

    def receive(self, news: TableNews, stamp_ms: float) -> None:
        """Apply changes that another router read from the store."""
        follower = self._followers.get(news.table)
        if follower is not None:
            if epoch := epoch_of(news.version):
                self._epoch.observe(epoch)
            follower.receive(news, stamp_ms)

    def readers_changed(self) -> None:
        """Check at once which tables this router reads now."""
        for follower in self._followers.values():
            follower.readers_changed()

    @property
    def listed_routers(self) -> Collection[str]:
        """Names of the routers in the store's list."""
        return self._routers.keys()

    @property
    def versions(self) -> dict[str, int]:
        """Version of the newest change of each table that this router knows.

        Beside the tables' names stand `CONFIGURATION` and `SETTLED_EPOCH`.
        """
        tables = {table: follower.changed_version for table, follower in self._followers.items()}
        return {**tables, **self._briefing.versions}

    def record_versions(self, versions: dict[str, int]) -> None:
        """Record the versions of the newest changes that another router knows."""
        self._briefing.record_versions(versions)
        for table, follower in self._followers.items():
            follower.record_version(versions.get(table, 0))

    def copy(self, wanted: CopyWanted) -> TableNews | None:
        """The table that another router requests, if this one can send it."""
        follower = self._followers.get(wanted.table)
        return None if follower is None else follower.copy(wanted.after)

    async def endpoints_vouched(self, matter_ms: float, until_ms: float) -> bool:
        """Whether the store vouches for the list of endpoints as of a time, asked until another."""
        return await self._check.vouched(matter_ms, until_ms)

    async def deregister(self) -> None:
        """Remove this router from the list of routers, and keep it removed until `close`.

        The store may not answer, and a router that has just started learns of its row only later.
        The removal is conditional on the row's version: a write whose answer is lost may take
        effect seconds later, and would otherwise remove the row of this router's next incarnation,
        which no other router would then subscribe to.
        """
        self._leaving = True
        client = self._clients.create()
        await self._remove_row(client)

        async def keep_removed() -> None:
            while True:
                await asyncio.sleep(REMOVAL_STEP_MS / 1000)
                await self._remove_row(client)

        self._tasks.append(self._owner.start("removal of the row", keep_removed))

    async def _remove_row(self, client: StoreClient) -> None:
        version = self._own_version
        if version is None or epoch_of(version) < self._epoch.current:
            return
        tables, name = self._site.tables, self._state.settings.router
        call = self._site.store.write(tables.routers, name, None, without_epoch(version))
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(LEAVE_WRITE_MS / 1000):
                await client.call(call)
                if self._own_version == version:
                    self._own_version = None

    async def close(self) -> None:
        """Stop following."""
        for timer in self._timers:
            timer.cancel()
        await self._owner.cancel(self._tasks)
        await self._check.close()
        self._clients.close()

    def _on_change(
        self, table: str, apply: Callable[[TableChange], None], change: TableChange
    ) -> None:
        apply(change)
        now_ms = self._state.clock.now_ms
        self._state.vouching.store_answered(table, min(change.asked_ms, now_ms))

    def _on_restore(self) -> None:
        versions = {
            name: without_epoch(follower.version or 0) for name, follower in self._followers.items()
        }
        self._state.log.event(
            "store restored from a copy", epoch=self._epoch.current, versions=versions
        )
        self._state.registry.record_restore(self._state.clock.now_ms)
        self.on_restore()
        loop = asyncio.get_running_loop()
        # The answer that told of the restore is being read by one of these calls.
        loop.call_soon(self._restart_calls)
        self._watch_epoch()

    def _watch_epoch(self) -> None:
        """Do what is due some time after an epoch of the store has begun."""
        loop = asyncio.get_running_loop()
        for timer in self._timers:
            timer.cancel()
        # Keys are confirmed by a call sent after that time, which should not wait for a change.
        confirm = self._followers[self._site.tables.configuration].refresh
        self._timers = [
            loop.call_later(LOST_WRITES_MS / 1000, confirm),
            loop.call_later(LOST_CHANGES_MS / 1000, self._reapply),
        ]

    def _restart_calls(self) -> None:
        for follower in self._followers.values():
            follower.record_restore()

    def _on_settle(self) -> None:
        for timer in self._timers:
            timer.cancel()
        self._reapply()

    def _reapply(self) -> None:
        """Apply all tables as they are: what is still missing has not been written again."""
        self._state.registry.end_restore()
        for follower in self._followers.values():
            follower.reapply()

    def _status_reporter(self, table: str) -> Callable[[str, str], None]:
        def report(what: str, reason: str) -> None:
            self._state.log.event(f"store {what}", table=table, reason=reason)
            if what == "regained":
                for name, follower in self._followers.items():
                    if name != table:
                        follower.restart_call()

        return report

    def _start_registration(self) -> None:
        self._registering = True
        self._tasks.append(self._owner.start("registration", self._register, once=True))

    async def _register(self) -> None:
        client = self._clients.create()
        tables, name = self._site.tables, self._state.settings.router
        call = self._site.store.write(tables.routers, name, self._own_row)
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await client.call(call)
                break
            except StoreError as error:
                self._state.log.event("writing this router's row failed", reason=str(error))
                await asyncio.sleep(0.3 + 0.3 * self._state.random.random())
        client.close()
        self._registering = False

    def _check_own_row(self, change: TableChange) -> None:
        # Routers that start later do not subscribe to a router without a row. The row can be
        # removed by a delayed write of an earlier incarnation, or by an operator, and a restored
        # store may list that of an earlier incarnation.
        own = [row for row in change.rows if row.key == self._state.settings.router]
        if own:
            # A leaving router keeps off the row of its next incarnation.
            value, foreign = own[-1].value, own[-1].value != self._own_row
            outdated = foreign and (change.catching_up or self._leaving)
            self._own_version = None if value is None or outdated else own[-1].version
        elif change.whole:
            self._own_version = None
        if (
            (own or change.whole)
            and self._own_version is None
            and not (self._registering or self._leaving)
        ):
            self._state.log.event("this router's row is missing")
            self._start_registration()

    def _apply_routers(self, change: TableChange) -> None:
        if change.whole and not change.catching_up:
            self._routers = {}
        for row in change.rows:
            self._routers.pop(row.key, None)
            peer = self._read_peer(row, row.value) if row.value is not None else None
            if peer is not None:
                self._routers[row.key] = peer
        self._check_own_row(change)
        self._follow(self._routers)

    def _read_peer(self, row: Row, value: bytes) -> Peer | None:
        try:
            listed = decode_json(_router_decoder, value)
            address = listed.get("peers", "")
            if not is_ip_port(address):
                # Connecting a socket to such an address raises an error, which would end the task
                # that follows the table.
                raise ValueError(f"{address!r} is not a peer address of the form IP:PORT")
        except ValueError as error:
            self._state.unreadable.note(RowKind.ROUTER, row.key, row.version, str(error))
            return None
        return Peer(row.key, address, listed.get("failure_domain", ""))
