"""Ports of soaks and of tests with real routers that run at the same time."""

from __future__ import annotations

from tamarack_standins.claimed_ports import HOSTS, ClaimedPorts


def test_two_fleets_never_share_a_router_s_address() -> None:
    """Guards against a router that cannot start since another fleet's serves metrics there."""
    with ClaimedPorts(1) as first, ClaimedPorts(1 + HOSTS // 2) as second:
        assert first.host(2) != second.host(2)
