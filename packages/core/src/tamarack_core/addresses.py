"""Which routers a caller should use."""

from __future__ import annotations

from tamarack_core.membership import ALIVE
from tamarack_core.protocol import MemberUpdate
from tamarack_core.rendezvous import ranked

ADDRESS_COUNT = 3
ROOM_FLOOR = 8


def choose_addresses(
    workspace: str, members: list[MemberUpdate], count: int = ADDRESS_COUNT
) -> list[str]:
    """Pick routers for a workspace, spread over failure domains.

    Each workspace gets other routers, so that one that floods meets few of the others' callers.
    Routers with little room go to the end of the order.
    """
    alive = {m.router: m for m in members if m.state == ALIVE and m.caller_address}
    order = ranked(workspace, alive)
    order.sort(key=lambda name: alive[name].room < ROOM_FLOOR)
    chosen: list[str] = []
    domains: set[str] = set()
    for name in order:
        if alive[name].failure_domain not in domains:
            chosen.append(name)
            domains.add(alive[name].failure_domain)
    chosen += [name for name in order if name not in chosen]
    return [alive[name].caller_address for name in chosen[:count]]
