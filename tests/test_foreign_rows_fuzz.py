"""Arbitrary bytes in rows of the store: no task ends, no other row or endpoint is affected."""

from __future__ import annotations

import asyncio
import base64
import json
from collections.abc import Iterator
from contextlib import suppress
from typing import Any

from gateway_site import HOST, KEY, configuration
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tamarack_core.clock import ManualClock
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.json_input import is_ip_port
from tamarack_core.quarantine import QuarantinedReading
from tamarack_core.relay_plan import Peer
from tamarack_core.ruleset import Ruleset
from tamarack_core.termination_evidence import Evidence, QuarantinedRequest
from tamarack_core.wire import encode
from tamarack_gateway.connection_pool import ConnectionPool
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.fleet_feeds import FleetFeeds
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.gateway_metrics import GatewayMetrics
from tamarack_gateway.http_messages import Request
from tamarack_gateway.loop_monitor import LoopMonitor
from tamarack_gateway.peer_messages import Report
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.site import FleetBounds, GatewaySettings, Row
from tamarack_gateway.table_messages import TableChange
from tamarack_platform.configuration import read_endpoint, read_keys, read_rules
from tamarack_platform.engines import PlatformEngines
from tamarack_platform.platform_site import platform_site
from tamarack_platform.requests import PlatformRequests
from tamarack_platform.store import PlatformStore
from tamarack_standins.platform_worker import BORN_MS

# The same examples in each run, so that the result is reproducible.
reproducible = settings(max_examples=300, derandomize=True, deadline=None)

NESTED = b'{"x":' * 30_000

NEAR_VALID: list[Any] = [
    *["", "5", "nan", "1e999", "a\r\nb", "wł", "10.0.0.1", "10.0.0.1:0", "nowhere:1", "*:*"],
    *[0, -1, 5, 5.5, 2**53, 2**64, True, None, [], {}, [None], {"x": 1}],
]
"""Invalid values that a careless decoder would accept."""

ENTRY: dict[str, Any] = {
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

texts = st.text(max_size=12) | st.sampled_from(["ready", "draining", "web", "10.0.0.1:80", "1e999"])
numbers = st.integers() | st.floats() | st.sampled_from([0, -1, 2**53, 2**64, BORN_MS])
scalars = st.none() | st.booleans() | numbers | texts
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=8,
)


def written(value: Any) -> bytes:
    return json.dumps(value).encode()


def paths(value: Any) -> list[tuple[Any, ...]]:
    """Paths of all values inside a value, from the outermost on."""
    if isinstance(value, dict):
        return [(key, *rest) for key, inner in value.items() for rest in [(), *paths(inner)]]
    if isinstance(value, list):
        return [(n, *rest) for n, inner in enumerate(value) for rest in [(), *paths(inner)]]
    return []


def replaced(value: Any, path: tuple[Any, ...], other: Any) -> Any:
    """A copy with another value at a path."""
    if not path:
        return other
    copy = value.copy()
    copy[path[0]] = replaced(value[path[0]], path[1:], other)
    return copy


def each_changed(good: Any) -> Iterator[bytes]:
    """Encoded copies of a valid value with each near-valid one at each path."""
    for path in paths(good):
        for other in NEAR_VALID:
            yield written(replaced(good, path, other))


def without(good: dict[str, Any], missing: set[str]) -> dict[str, Any]:
    return {name: value for name, value in good.items() if name not in missing}


def changed(good: dict[str, Any]) -> st.SearchStrategy[Any]:
    """A valid value with another one at one path, or without some fields."""
    one = st.builds(
        lambda path, other: replaced(good, path, other),
        st.sampled_from(paths(good)),
        st.sampled_from(NEAR_VALID) | values,
    )
    lacking = st.sets(st.sampled_from(sorted(good)), max_size=2)
    return one | st.builds(lambda missing: without(good, missing), lacking)


def corrupted(good: dict[str, Any]) -> st.SearchStrategy[bytes]:
    """Bytes that another writer may leave in place of a valid value."""
    torn = st.builds(lambda end: written(good)[:end], st.integers(0, len(written(good))))
    other = st.one_of(st.binary(max_size=60), values.map(written), torn, st.just(NESTED))
    return changed(good).map(written) | changed(good).map(written) | other


def check_endpoint(endpoint: Endpoint) -> None:
    """Check that a request can be written for an endpoint and a connection attempted."""
    assert is_ip_port(endpoint.address)
    assert endpoint.slots > 0
    assert endpoint.life is None or 0 < endpoint.life < 2**53
    request = Request(b"POST", b"/x", [(b"host", b"h")], b"", 0.0)
    data = PlatformRequests().for_endpoint(
        request, endpoint=endpoint, workspace=None, left_ms=1.0, last_event=None
    )
    lines = data.partition(b"\r\n\r\n")[0].split(b"\r\n")
    assert [line.partition(b":")[0].lower() for line in lines[1:]] == [
        b"host",
        b"x-deadline-ms",
        b"x-target-instance",
        b"content-length",
    ]


def check_rules(rules: Ruleset) -> None:
    """Check that requests can be routed by a configuration and written for an endpoint."""
    for prefix in ("/page/", "/search/", "/draft/", "/rewrite/"):
        route = rules.route_for(HOST, prefix)
        if route is not None:
            assert 0 < route.time_limit_ms < float("inf")
            assert 0 < route.aim_ms < float("inf")
            assert isinstance(route.service_for(0.999), str)
            assert rules.shortest_aim_ms(route.shares[0].service) > 0
    workspace = rules.workspace_of(KEY)
    if workspace is not None:
        assert not set(workspace) & set("\r\n")
        workspace.encode("latin-1")
    assert 0 <= rules.tokens_per_s < float("inf")
    assert all(bound > 0 for bound in (rules.bounds.header_ms, rules.bounds.idle_ms))
    assert float(rules.version) >= 0


def test_an_entry_with_one_wrong_value_is_a_callable_endpoint_or_unreadable() -> None:
    for data in each_changed(ENTRY):
        with suppress(ValueError):
            check_endpoint(read_endpoint("w1", data))


def test_a_configuration_with_one_wrong_value_is_usable_or_unreadable() -> None:
    for data in each_changed(configuration()):
        with suppress(ValueError):
            check_rules(read_rules(data))


@reproducible
@given(st.text(max_size=8) | st.just("w1"), corrupted(ENTRY))
@example("w1", written(ENTRY))
def test_an_entry_is_a_callable_endpoint_or_unreadable(name: str, data: bytes) -> None:
    try:
        endpoint = read_endpoint(name, data)
    except ValueError:
        return
    check_endpoint(endpoint)


@reproducible
@given(corrupted(configuration()))
@example(written(configuration()))
def test_a_configuration_is_usable_or_unreadable(data: bytes) -> None:
    with suppress(ValueError):
        assert all("\n" not in workspace for workspace in read_keys(data).values())
    try:
        rules = read_rules(data)
    except ValueError:
        return
    check_rules(rules)


@reproducible
@given(corrupted({"held": [["", "aa", 200, "m"]], "born": BORN_MS, "epoch": 1, "next": 1}))
def test_an_inventory_is_valid_or_unreadable(data: bytes) -> None:
    try:
        inventory = PlatformEngines().read_inventory(data)
    except ValueError:
        return
    assert all(part.tokens >= 0 for part in inventory.parts)


GOOD_ROW = {
    "table": "servers",
    "part": "",
    "key": "good",
    "ver": 7,
    "value": base64.b64encode(written(ENTRY)).decode(),
}


@reproducible
@given(
    st.lists(values | changed(GOOD_ROW), max_size=4),
    st.lists(values | changed(GOOD_ROW), max_size=4),
)
def test_bad_rows_of_a_page_do_not_affect_the_valid_one(
    before: list[Any], after: list[Any]
) -> None:
    body = written({"rows": [*before, GOOD_ROW, *after], "ver": 9, "hasMore": False})
    try:
        page = PlatformStore().page(body)
    except ValueError:
        # JSON has no such numbers, and the store writes none outside the rows.
        assert b"NaN" in body or b"Infinity" in body
        return
    assert Row("servers", "good", written(ENTRY), 7) in page.rows
    assert len(page.rows) + page.nameless == len(before) + len(after) + 1


@reproducible
@given(corrupted({"rows": [GOOD_ROW], "ver": 9, "hasMore": False}))
def test_a_page_is_valid_or_unreadable(data: bytes) -> None:
    try:
        page = PlatformStore().page(data)
    except ValueError:
        return
    assert 0 <= page.version < 2**63


class Feeds:
    """The feeds of a router without a store; changes are injected."""

    def __init__(self) -> None:
        self.clock = ManualClock(100_000.0)
        self.log = DecisionLog("r1", self.clock, output=2)
        here = "127.0.0.1:1"
        one = GatewaySettings("r1", "a", here, here, here, here, here, here, bounds=FleetBounds())
        self.state = FleetState(one, self.clock, self.log, seed=1)
        self.peers: dict[str, Peer] = {}
        self.feeds = FleetFeeds(
            platform_site(),
            self.state,
            follow=self._follow,
            reads=lambda: True,
            publish=lambda news: None,
            wanted=lambda wanted: None,
            on_failure=lambda: None,
            on_quarantine_change=lambda change: self.quarantine.apply_change(change),
            ask=lambda message: None,
        )
        self.evidence: list[Evidence] = []
        self.quarantine = QuarantineFeed(
            self.state,
            on_evidence=self.evidence.append,
            owns_row=lambda fingerprint: False,
            write=self._write,
        )
        # Without a store, this router cannot be added to the list of routers.
        self.feeds._leaving = True
        self.version = 0

    async def _write(self, key: str, value: bytes | None) -> bool:
        return False

    def _follow(self, peers: dict[str, Peer]) -> None:
        self.peers = dict(peers)

    def change(self, table: str, rows: list[tuple[str, bytes | None]], *, whole: bool) -> None:
        """Inject a change of a table."""
        found = []
        for key, value in rows:
            self.version += 1
            if value is not None or not whole:
                found.append(Row(table, key, value, self.version))
        change = TableChange(found, whole, self.clock.now_ms, self.clock.now_ms + 1_000.0)
        take = {
            "servers": self.feeds._endpoints.apply,
            "op": self.feeds._configuration.apply,
            "routers": self.feeds._apply_routers,
            "quarantine": self.quarantine.apply_change,
        }
        take[table](change)


names = st.sampled_from(["w1", "w2", "w3", "r2", "config"])
steps = st.lists(
    st.one_of(
        st.tuples(
            st.just("servers"),
            st.lists(st.tuples(names, st.none() | corrupted(ENTRY)), max_size=3),
            st.booleans(),
        ),
        st.tuples(
            st.just("routers"),
            st.lists(
                st.tuples(
                    names,
                    st.none()
                    | corrupted({"peers": "10.0.0.2:7", "boot": 1, "failure_domain": "a"}),
                ),
                max_size=3,
            ),
            st.booleans(),
        ),
        st.tuples(
            st.just("quarantine"),
            st.lists(
                st.tuples(names, st.none() | corrupted({"workspace": "shop", "trials": 1})),
                max_size=3,
            ),
            st.booleans(),
        ),
        st.tuples(
            st.just("op"),
            st.lists(st.tuples(names, st.none() | corrupted(configuration())), max_size=2),
            st.booleans(),
        ),
    ),
    max_size=8,
)


def check_encodable(readings: list[QuarantinedReading]) -> None:
    """Check that decoded quarantined requests can be encoded for other routers."""
    held = [QuarantinedRequest(one.fingerprint, one.workspace, one.trials + 1) for one in readings]
    encode([Report("r1", 1.0, evidence=Evidence([], [], held))])


@settings(reproducible, max_examples=150)
@given(steps)
def test_invalid_rows_end_no_task_and_affect_no_other_row(
    generated_steps: list[tuple[str, list[tuple[str, bytes | None]], bool]],
) -> None:
    """A router stopped following a table, or lost endpoints that work.

    Rows with arbitrary content arrive in any order, as changes and as whole tables, beside valid
    ones. An error was not caught, or one bad row invalidated the whole table.
    """

    async def scenario() -> None:
        feeds = Feeds()
        state = feeds.state
        good = {
            "servers": ("good", written(ENTRY)),
            "routers": ("r9", written({"peers": "10.0.0.9:7", "boot": 1})),
            "op": ("config", written(configuration())),
            "quarantine": ("f1", written({"workspace": "shop", "trials": 0})),
        }
        for table, row in good.items():
            feeds.change(table, [row], whole=True)
        for table, rows, whole in generated_steps:
            feeds.clock.advance(300.0)
            beside = [good[table]] if whole and table != "op" else []
            feeds.change(table, [*rows, *beside], whole=whole)
            assert "good" in [endpoint.name for endpoint in state.usable("web")]
            assert "r9" in feeds.peers
            assert state.quarantine.contains("f1")
            check_encodable(state.quarantine.entries(feeds.clock.now_ms))
            assert all(is_ip_port(peer.address) for peer in feeds.peers.values())
            assert state.rules is not None
            check_rules(state.rules)
            for name in state.registry.names:
                endpoint = state.registry.find(name)
                assert endpoint is not None
                check_endpoint(endpoint)
                assert name in state.models
        monitor = LoopMonitor(feeds.clock, state.log, [], changed=lambda: None)
        pool = ConnectionPool(feeds.clock)
        GatewayMetrics(state, pool, store_calls=lambda: 0, loop=monitor.status).render()

    asyncio.run(scenario())
