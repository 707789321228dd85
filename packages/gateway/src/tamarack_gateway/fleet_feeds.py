"""What a router follows in the platform's store: configuration, endpoints and other routers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, TypedDict

import msgspec

from tamarack_core.endpoint_book import Endpoint
from tamarack_core.json_input import decode_json, is_ip_port
from tamarack_core.relay_plan import Peer
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row, Site
from tamarack_gateway.store_client import StoreClient, StoreError
from tamarack_gateway.table_follower import CopyWanted, TableChange, TableFollower, TableNews
from tamarack_gateway.unreadable_rows import RowKind

RULES_WAIT_PART = 0.2
"""Part of the revocation bound for which the store holds a call for the configuration: 1 s of 5.
Each answer confirms the keys as of when its call was sent, so the confirmation is up to twice this
old, and three times where another router tells of it; keys lapse half a second before the bound.
A fixed second would let keys lapse between two calls where the bound is 3 s."""

RULES_PAUSE_MS = 250.0
"""Least time between two calls for the configuration; a change may take 2 s to be in force."""

ENDPOINTS_WAIT_MS = 4_000.0
ENDPOINTS_PAUSE_MS = 250.0
"""The same for the list of endpoints; one that leaves gets new work for up to 2 s."""

ROUTERS_WAIT_MS = 8_000.0
ROUTERS_PAUSE_MS = 500.0
"""The same for other routers; the history that the store keeps covers it."""

QUARANTINE_WAIT_MS = 25_000.0
QUARANTINE_PAUSE_MS = 500.0
"""The same for requests in quarantine. Routers tell each other of these; the store is for
those that start later, and each call of it is paid for."""

WRITE_TRIES = 20
"""Tries to write the own row; the last ones are some ten seconds after the start."""

LEAVE_WRITE_MS = 1_000.0
"""Time that a leaving router waits for its row to be removed; the others hear of it anyway."""


class RouterFields(TypedDict, total=False):
    """A router's row as it is read; rows of earlier versions name no failure domain."""

    peers: str
    failure_domain: str


_router_decoder = msgspec.json.Decoder(RouterFields)


class RouterRow(NamedTuple):
    """A router's row: where peers subscribe, which life it is, and where it runs."""

    peers: str
    boot: int
    failure_domain: str = ""


class FleetFeeds:
    """The tasks that follow the store.

    Parameters
    ----------
    follow
        Called with all routers that the store lists when these change.
    reads
        Tells whether this router asks the store for a table itself.
    told
        Called with what this router learned from the store, for the others.
    wanted
        Called when the others should tell a whole table.
    took_quarantine
        Called with what is learned of requests in quarantine.
    """

    def __init__(
        self,
        site: Site,
        state: FleetState,
        *,
        follow: Callable[[dict[str, Peer]], None],
        reads: Callable[[str], bool],
        told: Callable[[TableNews], None],
        wanted: Callable[[CopyWanted], None],
        took_quarantine: Callable[[TableChange], None],
    ) -> None:
        self._site = site
        self._took_quarantine = took_quarantine
        self._state = state
        self._follow = follow
        self._reads = reads
        self._told = told
        self._wanted = wanted
        self._routers: dict[str, Peer] = {}
        self._own_row = b""
        self._own_version: int | None = None
        self._rules_version = 0
        self._expiry: asyncio.TimerHandle | None = None
        self._entering = False
        self._leaving = False
        self._tasks: list[asyncio.Task[Any]] = []
        self._clients: list[StoreClient] = []
        self._former_calls = 0
        self._followers: dict[str, TableFollower] = {}

    def start(self, peers_address: str, boot: int) -> None:
        """Start to follow all tables, and enter this router into the list of routers."""
        tables = self._site.tables
        rules_wait_ms = self._state.settings.bounds.revoke_ms * RULES_WAIT_PART
        for table, wait_ms, pause_ms, took in (
            (tables.configuration, rules_wait_ms, RULES_PAUSE_MS, self._took_rules),
            (tables.endpoints, ENDPOINTS_WAIT_MS, ENDPOINTS_PAUSE_MS, self._took_endpoints),
            (tables.routers, ROUTERS_WAIT_MS, ROUTERS_PAUSE_MS, self._took_routers),
            (
                tables.quarantine,
                QUARANTINE_WAIT_MS,
                QUARANTINE_PAUSE_MS,
                self._took_quarantine,
            ),
        ):
            follower = TableFollower(
                self._client(),
                self._state.clock,
                table,
                wait_ms=wait_ms,
                pause_ms=pause_ms,
                took=took,
                changed=self._reporter(table),
                reads=partial(self._reads, table),
                told=self._told,
                wanted=self._wanted,
            )
            self._followers[table] = follower
            self._tasks.append(asyncio.ensure_future(follower.run()))
        domain = self._state.settings.failure_domain
        self._own_row = msgspec.json.encode(RouterRow(peers_address, boot, domain)._asdict())
        self._begin_entering()

    @property
    def calls(self) -> int:
        """Calls of the store that were made."""
        return self._former_calls + sum(client.calls for client in self._clients)

    def hear(self, news: TableNews, stamp_ms: float) -> None:
        """Take in what another router learned from the store."""
        follower = self._followers.get(news.table)
        if follower is not None:
            follower.hear(news, stamp_ms)

    def copy(self, wanted: CopyWanted) -> TableNews | None:
        """The table that another router wants, if this one can tell it."""
        follower = self._followers.get(wanted.table)
        return None if follower is None else follower.copy(wanted.after)

    async def write_quarantine(self, key: str, value: bytes | None) -> bool:
        """Write the row of a quarantined request, or remove it; returns whether that was done."""
        client, tables = self._client(), self._site.tables
        try:
            await client.call(self._site.store.write(tables.quarantine, key, value))
        except StoreError as error:
            self._state.log.event(
                "a quarantined request was not written", reason=str(error), row=key
            )
            return False
        finally:
            client.close()
            self._clients.remove(client)
            self._former_calls += client.calls
        return True

    async def leave(self) -> None:
        """Take this router out of the list of routers.

        Only the row of this life: a write whose answer is lost may be done seconds later, and would
        otherwise take out the row of the next life, which nobody would hear from then on.
        """
        self._leaving = True
        if self._own_version is None:
            return
        tables, name = self._site.tables, self._state.settings.router
        call = self._site.store.write(tables.routers, name, None, self._own_version)
        with contextlib.suppress(StoreError, TimeoutError):
            async with asyncio.timeout(LEAVE_WRITE_MS / 1000):
                await self._client().call(call)

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for client in self._clients:
            client.close()

    def _client(self) -> StoreClient:
        state = self._state
        client = StoreClient(lambda: state.settings.store, self._site.store, state.clock)
        self._clients.append(client)
        return client

    def _reporter(self, table: str) -> Callable[[str, str], None]:
        def report(what: str, reason: str) -> None:
            self._state.log.event(f"store {what}", table=table, reason=reason)
            if what == "regained":
                for name, follower in self._followers.items():
                    if name != table:
                        follower.renew()

        return report

    def _begin_entering(self) -> None:
        self._entering = True
        self._tasks.append(asyncio.ensure_future(self._enter()))

    async def _enter(self) -> None:
        client = self._client()
        tables, name = self._site.tables, self._state.settings.router
        call = self._site.store.write(tables.routers, name, self._own_row)
        for _ in range(WRITE_TRIES):
            try:
                await client.call(call)
                break
            except StoreError as error:
                self._state.log.event("the own row was not written", reason=str(error))
                await asyncio.sleep(0.3 + 0.3 * self._state.random.random())
        client.close()
        self._entering = False

    def _watch_own_row(self, rows: list[Row], *, whole: bool) -> None:
        # Without its row a router is not heard by those that start later. It can be taken out by a
        # late write of an earlier life, or of an operator.
        own = [row for row in rows if row.key == self._state.settings.router]
        if own:
            self._own_version = own[-1].version if own[-1].value is not None else None
        elif whole:
            self._own_version = None
        if (own or whole) and self._own_version is None and not (self._entering or self._leaving):
            self._state.log.event("the own row is missing")
            self._begin_entering()

    def _took_rules(self, change: TableChange) -> None:
        state = self._state
        for row in change.rows:
            if row.key == self._site.tables.configuration_key and row.value is not None:
                self._put_rules(row, row.value)
        if state.rules is not None and state.keys_known:
            # Never beyond now: the clock of a former life may stand higher, and keys would be
            # trusted for as long.
            state.freshness.confirm(min(change.asked_ms, state.clock.now_ms))

    def _put_rules(self, row: Row, value: bytes) -> None:
        # A whole reading may be seconds behind: beside a version that cannot be read, an older row
        # would bring back keys that the newer one takes away.
        state, behind = self._state, row.version < self._rules_version
        try:
            rules = self._site.read_rules(value)
        except ValueError as error:
            if behind:
                return
            self._rules_version = row.version
            state.unreadable.note(RowKind.CONFIGURATION, row.key, row.version, str(error))
            state.put_unreadable_rules(str(error), self._keys(value))
            return
        if behind and state.unreadable_rules is not None:
            return
        self._rules_version = max(self._rules_version, row.version)
        state.put_rules(rules)

    def _keys(self, value: bytes) -> dict[str, str] | None:
        try:
            return self._site.read_keys(value)
        except ValueError as error:
            self._state.log.event("keys cannot be read and lapse", reason=str(error))
            return None

    def _took_endpoints(self, change: TableChange) -> None:
        state, now_ms = self._state, self._state.clock.now_ms
        rows = {row.key: row for row in change.rows}
        if change.whole:
            read = {row.key: self._endpoint(row) for row in rows.values() if row.value is not None}
            found = [endpoint for endpoint in read.values() if endpoint is not None]
            state.book.replace(found, now_ms, keep_until_ms=change.lapsed_until_ms)
            for name in [name for name, endpoint in read.items() if endpoint is None]:
                state.book.drop(name)
        else:
            for row in rows.values():
                self._take_row(row, now_ms, change.lapsed_until_ms)
        if change.rows or change.whole:
            state.settle_endpoints()
            for name in state.book.lifeless:
                state.unreadable.note(RowKind.ENDPOINT, name, 0, "tells no life, as the others do")
        state.endpoints_known = True
        self._watch_expiry()

    def _watch_expiry(self) -> None:
        # To the moment: a look each half second would let work go for so long to an endpoint that
        # has left.
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        next_ms = self._state.book.next_expiry_ms
        if next_ms is not None:
            wait_ms = max(0.0, next_ms - self._state.clock.now_ms)
            loop = asyncio.get_running_loop()
            self._expiry = loop.call_later(wait_ms / 1000, self._expire)

    def _expire(self) -> None:
        gone = self._state.book.expire(self._state.clock.now_ms)
        self._state.settle_endpoints()
        if gone:
            self._state.log.change("endpoints did not come back", endpoints=gone)
        self._watch_expiry()

    def _take_row(self, row: Row, now_ms: float, keep_until_ms: float) -> None:
        book = self._state.book
        if row.value is None:
            kept_ms = max(0.0, keep_until_ms - now_ms)
            self._state.log.change("endpoint gone", endpoint=row.key, kept_ms=round(kept_ms))
            self._state.unreadable.forget(RowKind.ENDPOINT, row.key)
            book.remove(row.key, now_ms, keep_until_ms=keep_until_ms)
            return
        endpoint = self._endpoint(row)
        if endpoint is None:
            book.drop(row.key)
            return
        known = book.find(endpoint.name)
        book.put(endpoint, now_ms)
        believed = book.find(endpoint.name) or endpoint
        if known is None or known.draining != believed.draining:
            word = "endpoint draining" if believed.draining else "endpoint there"
            self._state.log.change(word, endpoint=believed.name, address=believed.address)

    def _endpoint(self, row: Row) -> Endpoint | None:
        unreadable = self._state.unreadable
        try:
            endpoint = self._site.read_endpoint(row.key, row.value or b"")
        except ValueError as error:
            unreadable.note(RowKind.ENDPOINT, row.key, row.version, str(error))
            return None
        if endpoint.life is not None:
            unreadable.forget(RowKind.ENDPOINT, row.key)
        return endpoint

    def _took_routers(self, change: TableChange) -> None:
        if change.whole:
            self._routers = {}
        for row in change.rows:
            self._routers.pop(row.key, None)
            peer = self._peer(row, row.value) if row.value is not None else None
            if peer is not None:
                self._routers[row.key] = peer
        self._watch_own_row(change.rows, whole=change.whole)
        self._follow(self._routers)

    def _peer(self, row: Row, value: bytes) -> Peer | None:
        try:
            listed = decode_json(_router_decoder, value)
            address = listed.get("peers", "")
            if not is_ip_port(address):
                # A socket that is told to subscribe there raises an error, which would end the
                # task that follows the table.
                raise ValueError(f"{address!r} is not an address")
        except ValueError as error:
            self._state.unreadable.note(RowKind.ROUTER, row.key, row.version, str(error))
            return None
        return Peer(row.key, address, listed.get("failure_domain", ""))
