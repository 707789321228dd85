"""Rows of the store that were not written by an endpoint, a router or the operator."""

from __future__ import annotations

import asyncio
import base64
import json
from typing import Any

import pytest
from gateway_site import Fleet, configuration, connect, play, read_answer, until

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import Endpoint, EndpointRegistry
from tamarack_ctl.main import main
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.site import Row
from tamarack_gateway.table_messages import TableChange
from tamarack_gateway.unreadable_rows import LINES_PER_S, RowKind, UnreadableRows
from tamarack_platform.configuration import read_endpoint, read_rules
from tamarack_platform.engines import PlatformEngines
from tamarack_platform.store import PlatformStore as StoreDialect
from tamarack_standins.platform_worker import BORN_MS, PlatformWorker, Script

STREAM = Script(events=5)
NESTED = b'{"x":' * 30_000

GOOD: dict[str, Any] = {
    "service": "web",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": BORN_MS,
}

INVALID: list[tuple[str, Any]] = [
    *[(field, None) for field in GOOD],
    ("service", ""),
    ("address", "10.0.0.1"),
    ("address", "10.0.0.1:0"),
    ("address", "10.0.0.1:65536"),
    ("address", "10.0.0.1:8_0"),
    ("address", "10.0.0.1:²"),
    ("address", "0.0.0.0:80"),
    ("address", "224.0.0.1:80"),
    ("address", "somewhere:80"),
    ("address", ["10.0.0.1:80"]),
    ("zone", 7),
    ("version", 1),
    ("slots", 0),
    ("slots", -4),
    ("slots", 4.0),
    ("slots", "4"),
    ("slots", True),
    ("state", "asleep"),
    ("state", "Ready"),
    ("coldRemainingMs", "0"),
    ("sequence", "1"),
    ("born", str(BORN_MS)),
    ("born", float(BORN_MS)),
    ("born", True),
    ("born", 0),
    ("born", -BORN_MS),
    ("born", 2**70),
    ("models", {}),
]


def encoded(value: Any) -> bytes:
    return json.dumps(value).encode()


def usable(fleet: Fleet, service: str) -> list[str]:
    return [endpoint.name for endpoint in fleet.gateway.state.usable(service)]


@pytest.mark.parametrize(("field", "value"), INVALID)
def test_a_field_with_an_invalid_value_makes_an_entry_unreadable(field: str, value: Any) -> None:
    read_endpoint("w1", encoded(GOOD))
    with pytest.raises(ValueError):
        read_endpoint("w1", encoded({**GOOD, field: value}))


@pytest.mark.parametrize("field", [field for field in GOOD if field != "born"])
def test_a_missing_field_makes_an_entry_unreadable(field: str) -> None:
    with pytest.raises(ValueError):
        read_endpoint("w1", encoded({name: v for name, v in GOOD.items() if name != field}))


@pytest.mark.parametrize("name", ["", "w 1", "w1\r\nX-Tenant: other", "wł"])
def test_an_id_that_is_no_valid_header_value_is_rejected(name: str) -> None:
    """Failure: an endpoint gets an injected header, or a request to it fails in the router.

    The entry's key has a line break or a character that headers cannot encode, and must not be
    written into the header unchecked.
    """
    with pytest.raises(ValueError):
        read_endpoint(name, encoded(GOOD))


@pytest.mark.parametrize("data", [b"", b"\xff\xfe", b"[]", b"null", NESTED, encoded(GOOD)[:-1]])
def test_undecodable_bytes_raise_a_value_error(data: bytes) -> None:
    """Failure: a router stops following a table after a row that nests too deeply.

    If the decoder raises an error of another class than the one that is caught, the task that
    follows the table ends.
    """
    for read in (
        lambda: read_endpoint("w1", data),
        lambda: read_rules(data),
        lambda: StoreDialect().page(data),
        lambda: PlatformEngines().read_inventory(data),
    ):
        with pytest.raises(ValueError):
            read()


def test_an_entry_that_becomes_unreadable_removes_its_endpoint_and_no_other() -> None:
    """Failure: requests are sent to an endpoint whose entry another writer has overwritten.

    An unreadable change must not be skipped: the previous entry would stay in use until the next
    read of the whole table.
    """

    async def scenario() -> None:
        workers = [PlatformWorker("w1"), PlatformWorker("w2")]
        async with Fleet({"web": workers}) as fleet:
            state = fleet.gateway.state
            for entry in (b"\x00", {**workers[0].entry("web"), "state": "asleep"}):
                await fleet.store.put("servers", "w1", workers[0].entry("web"))
                await until(lambda: len(usable(fleet, "web")) == 2)
                await fleet.store.put("servers", "w1", entry)
                await until(lambda: usable(fleet, "web") == ["w2"])
            assert state.unreadable.counts[RowKind.ENDPOINT] == 2
            await fleet.store.forget_history()
            calls = fleet.store.calls.count("/api/rows-get")
            await until(lambda: fleet.store.calls.count("/api/rows-get") > calls)
            assert (await fleet.ask("/page/1")).status == 200
            assert usable(fleet, "web") == ["w2"]
            assert state.unreadable.counts[RowKind.ENDPOINT] == 2
            await fleet.store.put("servers", "w1", workers[0].entry("web"))
            await until(lambda: len(usable(fleet, "web")) == 2)

    play(scenario())


def test_an_entry_that_cannot_be_read_after_an_outage_is_not_retained() -> None:
    registry = EndpointRegistry(kept_ms=1_700.0)
    endpoint = read_endpoint("w1", encoded(GOOD))
    registry.replace([endpoint], 0.0, keep_until_ms=-1.0)
    registry.replace([], 100.0, keep_until_ms=2_000.0)
    assert registry.usable("web") == [endpoint]
    registry.drop("w1")
    assert registry.usable("web") == []
    assert registry.next_expiry_ms is None


def test_an_entry_without_an_incarnation_among_entries_with_one_is_not_used() -> None:
    """Failure: requests are sent to an address that another writer has entered.

    The entry has all fields except the incarnation, which all others have. The field is optional
    only on a site where no endpoint has an incarnation.
    """
    listed = [Endpoint(f"w{n}", "web", f"10.0.0.{n}:80", "a", 4, False, BORN_MS) for n in range(3)]
    foreign = Endpoint("w9", "web", "10.0.0.9:80", "a", 4, False, None)
    registry = EndpointRegistry(kept_ms=1_700.0)
    registry.replace([*listed, foreign], 0.0, keep_until_ms=-1.0)
    assert registry.usable("web") == listed
    assert registry.without_incarnation == ["w9"]
    without = [endpoint._replace(life=None) for endpoint in listed]
    registry.replace([*without, foreign._replace(life=BORN_MS)], 0.0, keep_until_ms=-1.0)
    assert len(registry.usable("web")) == 4
    assert registry.without_incarnation == []


def test_a_row_that_is_not_base64_does_not_affect_others_of_its_page() -> None:
    """Failure: a router that starts never becomes ready.

    The value of one row cannot be decoded. The whole page must not count as unreadable, or it is
    requested again and again.
    """
    value = base64.b64encode(encoded(GOOD)).decode()
    good = {"table": "servers", "key": "w2", "ver": 5, "value": value}
    rows = [
        {"table": "servers", "key": "w1", "ver": 4, "value": "%%%"},
        {"table": "servers", "key": "w3", "ver": 4, "value": 7},
        {"table": "servers", "key": "w4", "ver": 4, "value": "ł"},
        {"table": "servers", "ver": 4},
        7,
        good,
        {"table": "servers", "key": "w5", "ver": 6, "removed": True},
    ]
    page = StoreDialect().page(encoded({"rows": rows, "ver": 9}))
    assert [(row.key, row.value) for row in page.rows] == [
        ("w1", b""),
        ("w3", b""),
        ("w4", b""),
        ("w2", encoded(GOOD)),
        ("w5", None),
    ]
    assert (page.version, page.nameless) == (9, 2)


def test_a_page_without_a_version_is_rejected() -> None:
    """Failure: a router reads all changes of a table since the first one.

    The store's answer has no version, which must not count as version 0.
    """
    with pytest.raises(ValueError):
        StoreDialect().page(b'{"rows":[]}')


@pytest.mark.parametrize(
    "bad",
    [
        b"{",
        NESTED,
        {**configuration(2), "version": "two"},
        {**configuration(2), "limits": {"tokensPerS": "nan"}},
        {**configuration(2), "limits": {"idleTimeoutMs": -1}},
        {**configuration(2), "tenants": [{"name": "shop\r\nX: y", "apiKeys": []}]},
        {**configuration(2), "routes": [{"host": "h", "prefix": "/", "kind": 3}]},
    ],
)
def test_the_last_good_configuration_stays_in_force(
    bad: Any, capsys: pytest.CaptureFixture[str]
) -> None:
    """Failure: an invalid configuration goes unnoticed, or stops all service.

    It must be reported in more than a single log line.
    """

    async def scenario() -> None:
        workers = {"web": [PlatformWorker("w1")], "pool": [PlatformWorker("e1", STREAM)]}
        async with Fleet(workers) as fleet:
            state, address = fleet.gateway.state, fleet.gateway.metrics_address
            await fleet.store.put("op", "config", bad)
            await until(lambda: state.unreadable_rules is not None)
            assert (await fleet.ask("/page/1")).status == 200
            assert (await fleet.ask("/draft/1")).status == 200
            reader, writer = await connect(address)
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n")
            metrics = (await read_answer(reader)).body.decode()
            writer.close()
            assert 'state{name="newest_configuration_unreadable"} 1' in metrics
            assert 'state{name="unreadable_configuration_rows"} 1' in metrics
            assert await asyncio.to_thread(main, ["router", address]) == 0
            await fleet.store.put("op", "config", configuration(3))
            await until(lambda: state.rules is not None and state.rules.version == 3)
            assert state.unreadable_rules is None
            assert await asyncio.to_thread(main, ["router", address]) == 0

    play(scenario())
    warning = "the newest configuration cannot be read, an older one is in force"
    lines = capsys.readouterr().out.splitlines()
    assert [line.startswith(warning) for line in lines].count(True) == 1
    counts = "configuration 1, endpoint 0, router 0, quarantine 0"
    assert f"versions of rows that could not be used: {counts}" in lines


def test_a_key_that_an_unreadable_configuration_revokes_is_rejected() -> None:
    """Failure: a key is accepted long after it was revoked.

    A new configuration revokes the key, but another part of it cannot be read. The last valid
    version stays in force, but its keys must not: each answer of the store would confirm them.
    """

    async def scenario() -> None:
        workers = {"web": [PlatformWorker("w1")], "pool": [PlatformWorker("e1", STREAM)]}
        async with Fleet(workers, revoke_ms=900.0) as fleet:
            state = fleet.gateway.state
            good = configuration(2)
            gone = [{"name": "shop", "apiKeys": ["key-two"]}]
            await fleet.store.put("op", "config", {**good, "limits": 0, "tenants": gone})
            await until(lambda: state.unreadable_rules is not None)
            assert (await fleet.ask("/draft/1")).status == 503
            assert (await fleet.ask("/draft/1", Authorization="Token key-two")).status == 200
            assert (await fleet.ask("/nowhere/1")).status == 503
            await fleet.store.put("op", "config", {**good, "limits": 0, "tenants": 0})
            await until(lambda: not state.keys_known)
            await until(lambda: not state.freshness.trusted(state.clock.now_ms))
            assert (await fleet.ask("/draft/1", Authorization="Token key-two")).status == 503
            assert (await fleet.ask("/page/1")).status == 200
            await fleet.store.put("op", "config", configuration(3))
            await until(lambda: state.freshness.trusted(state.clock.now_ms))
            assert (await fleet.ask("/draft/1")).status == 200

    play(scenario())


def test_an_outdated_read_does_not_restore_keys_that_an_unreadable_version_revokes() -> None:
    """Failure: a revoked key is accepted again.

    Only the keys of the newest configuration can be read. The store's history is unavailable, and
    the read of the whole table that follows is seconds old. Its row has the version that is in
    force, and must not be put in force again with its keys.
    """

    async def scenario() -> None:
        async with Fleet({"pool": [PlatformWorker("e1", STREAM)]}) as fleet:
            state = fleet.gateway.state
            gone = {**configuration(2), "limits": 0, "tenants": [{"name": "shop"}]}
            version = await fleet.store.put("op", "config", gone)
            await until(lambda: state.unreadable_rules is not None)
            outdated = [Row("op", "config", encoded(configuration()), version - 1)]
            fleet.gateway._feeds._configuration.apply(
                TableChange(outdated, True, state.clock.now_ms, 0.0)
            )
            assert (await fleet.ask("/draft/1")).status == 503
            assert state.unreadable_rules is not None

    play(scenario())


@pytest.mark.parametrize(
    "row",
    [
        b"\xff",
        NESTED,
        {},
        {"peers": 7},
        {"peers": "nowhere"},
        {"peers": "127.0.0.1:99999"},
        {"peers": "*:*"},
        [],
    ],
)
def test_an_invalid_router_row_does_not_affect_other_routers(row: Any) -> None:
    """Failure: routers do not subscribe to routers that start later.

    A row has an address to which no socket can connect. The socket's error must not end the task
    that follows the table.
    """

    async def scenario() -> None:
        async with Fleet({"web": [PlatformWorker("w1")]}) as fleet:
            unreadable = fleet.gateway.state.unreadable
            await fleet.store.put("routers", "r-bad", row)
            await until(lambda: unreadable.counts[RowKind.ROUTER] == 1)
            async with fleet.router("router-2"):
                await until(lambda: len(fleet.gateway._members.known()) == 1)

    play(scenario())


def test_a_bad_row_is_logged_once_for_each_version_and_at_a_limited_rate() -> None:
    """Failure: log lines about a start or a lost store are dropped.

    Another writer changes a bad row many times a second, or it is read repeatedly; not every read
    may be logged.
    """
    clock = ManualClock(10_000.0)
    log = DecisionLog("r", clock, output=2)
    unreadable = UnreadableRows(log, clock)
    for _ in range(5):
        unreadable.note(RowKind.ENDPOINT, "w1", 7, "x" * 10_000)
    assert log.written == 1
    for version in range(100, 400):
        unreadable.note(RowKind.ENDPOINT, "w1", version, "no JSON")
    assert log.written == LINES_PER_S
    assert unreadable.counts[RowKind.ENDPOINT] == 301
