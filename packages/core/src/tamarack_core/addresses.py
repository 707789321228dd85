"""Selection of the routers that a caller should use."""

from __future__ import annotations

from tamarack_core.membership import ALIVE
from tamarack_core.protocol import MemberUpdate
from tamarack_core.rendezvous import ranked

ADDRESS_COUNT = 3
MIN_PREFERRED_ROOM = 8  # requests; routers with less room are listed last


def choose_addresses(
    workspace: str, members: list[MemberUpdate], count: int = ADDRESS_COUNT
) -> list[str]:
    """Choose routers for a workspace, spread over failure domains.

    Workspaces get different routers, so that a flood of one workspace affects few callers of the
    others. Routers with little room are listed last.
    """
    alive = {m.router: m for m in members if m.state == ALIVE and m.caller_address}
    order = ranked(workspace, alive)
    order.sort(key=lambda name: alive[name].room < MIN_PREFERRED_ROOM)
    chosen: list[str] = []
    domains: set[str] = set()
    for name in order:
        if alive[name].failure_domain not in domains:
            chosen.append(name)
            domains.add(alive[name].failure_domain)
    chosen += [name for name in order if name not in chosen]
    return [alive[name].caller_address for name in chosen[:count]]
