"""Views that the routers of a simulated fleet have of each other."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from tamarack_gateway.fleet_members import FleetMembers, Member


def members_of(count: int) -> list[Member]:
    """Routers in four failure domains."""
    return [
        Member(f"r{number}", 1, f"domain-{number % 4}", f"c{number}", True, 0.0)
        for number in range(count)
    ]


def views(count: int, lost: Collection[str] = ()) -> Iterator[tuple[Member, FleetMembers]]:
    """Each router and what it knows of the others; the `lost` have told a failure at 0 ms."""
    everyone = members_of(count)
    for me in everyone:
        members = FleetMembers()
        for other in everyone:
            if other is not me:
                members.record_summary(other)
        for name in lost:
            if name == me.router:
                members.record_own_store_lost(name, 0.0)
            else:
                members.record_store_lost(name, 0.0)
        yield me, members
