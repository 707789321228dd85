"""Routers that write where streams began: few of a fleet, and no stream is left out."""

from __future__ import annotations

import msgspec
from fleet_views import views
from gateway_site import Fleet, play, until
from versioned_pool import begin_streams, engines, until_recorded

from tamarack_core.clock import ManualClock
from tamarack_core.stream_origins import Origin, by_origin
from tamarack_gateway.origin_records import MAX_NAME_BYTES, MAX_STREAMS, _newest
from tamarack_gateway.stream_writer import ACQUAINTED_MS, StreamWriter, StreamWrites

TABLE = "versions"
ROW_BYTES = 64_000
"""Bytes of a row that the store takes, less what else stands in it."""


def writers(count: int, lost: set[str]) -> set[str]:
    """Writers of all failure domains, by the views of all routers."""
    return {members.domain_writer(TABLE, me, 100.0) for me, members in views(count, lost)}


def test_each_failure_domain_has_one_writer() -> None:
    """Failure: writes of streams to the store grow with the fleet."""
    assert len(writers(66, set())) == 4


def test_a_writer_that_the_store_turns_away_is_replaced() -> None:
    """Failure: a domain's streams are written by nobody while the store rejects its writer."""
    first = writers(66, set())
    second = writers(66, first)
    assert len(second) == 4
    assert not first & second


def test_a_router_writes_its_own_streams_until_its_writer_hears_it() -> None:
    """Failure: streams begun just after a start, or before a new writer hears, are in no row."""
    clock = ManualClock()
    writer = StreamWriter("r1", clock)
    assert writer.update(None) is StreamWrites.OWN
    assert writer.update("r2") is StreamWrites.OWN
    clock.advance(ACQUAINTED_MS)
    assert writer.update("r2") is StreamWrites.NONE
    assert writer.update("r3") is StreamWrites.OWN
    assert writer.update("r1") is StreamWrites.ALL
    clock.advance(ACQUAINTED_MS)
    assert writer.update(None) is StreamWrites.OWN


def test_a_row_of_the_longest_names_fits_the_store() -> None:
    """Failure: callers choose long names, and the row is too large to be written."""
    origin = Origin("pool", "v1")
    for fill in ("0", '"', "é"):
        streams = [(f"{number:{fill}>200}", origin) for number in range(2 * MAX_STREAMS)]
        kept = _newest(streams)
        assert streams[-1][0] in kept
        assert MAX_NAME_BYTES / 2 < len(msgspec.json.encode(by_origin(kept))) <= ROW_BYTES
    assert len(_newest([(f"{number}", origin) for number in range(5_000)])) == MAX_STREAMS


def test_the_writer_of_a_domain_records_the_streams_of_other_routers() -> None:
    """Failure: streams of routers that do not write for themselves are lost with the routers."""

    async def scenario() -> None:
        async with Fleet({"pool": engines(v1=1)}) as fleet:
            await fleet.add_routers(2)
            await fleet.until_acquainted()
            routers = [fleet.gateway, *fleet.others]
            await until(lambda: [r._stream_writes() for r in routers].count(StreamWrites.NONE) == 2)
            silent = next(r for r in routers if r._stream_writes() is StreamWrites.NONE)
            name = silent.state.settings.router
            before = fleet.store.rows(TABLE)[name]
            streams = await begin_streams(fleet, at=silent)
            await until_recorded(fleet, streams)
            assert fleet.store.rows(TABLE)[name] == before

    play(scenario())
