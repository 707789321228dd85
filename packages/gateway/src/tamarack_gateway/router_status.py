"""What one router believes, told to operators."""

from __future__ import annotations

from typing import TypedDict

from tamarack_gateway.fleet_members import FleetMembers
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.unreadable_rows import RowKind


class MemberStatus(TypedDict):
    """Another router as it was heard last."""

    router: str
    failure_domain: str
    ready: bool
    fresh: bool
    heard_ms_ago: int


class EndpointStatus(TypedDict):
    """An endpoint: the wait that is predicted there, and how it has done lately.

    `wait_ms` and `pace` speak of model engines; for plain services see `latency_ms`.
    """

    endpoint: str
    service: str
    failure_domain: str
    life: int | None
    draining: bool
    wait_ms: int
    pace: float
    latency_ms: int
    failures: float
    outstanding: int


class WorkspaceStatus(TypedDict):
    """A workspace that asked for work lately; `standing` is what it was served, in shares."""

    workspace: str
    standing: float


class UnreadableStatus(TypedDict):
    """Versions of rows that could not be used since the start.

    `newest_configuration` is the reason where the newest configuration is such a one, so that an
    older one is in force.
    """

    configuration: int
    endpoint: int
    router: int
    newest_configuration: str | None


class RouterStatus(TypedDict):
    """All that one router tells."""

    router: str
    ready: bool
    leaving: bool
    relays: bool
    version: int
    confirmed_ms_ago: int | None
    unreadable: UnreadableStatus
    members: list[MemberStatus]
    endpoints: list[EndpointStatus]
    workspaces: list[WorkspaceStatus]


def router_status(state: FleetState, members: FleetMembers, *, relays: bool) -> RouterStatus:
    """Status of a router from what it holds; takes some microseconds for each entry."""
    age_ms = state.freshness.age_ms(state.clock.now_ms)
    return {
        "router": state.settings.router,
        "ready": state.ready,
        "leaving": state.leaving,
        "relays": relays,
        "version": state.rules.version if state.rules else 0,
        "confirmed_ms_ago": None if age_ms == float("inf") else round(age_ms),
        "unreadable": _unreadable(state),
        "members": _members(state, members),
        "endpoints": _endpoints(state),
        "workspaces": _workspaces(state),
    }


def _unreadable(state: FleetState) -> UnreadableStatus:
    counts = state.unreadable.counts
    return {
        "configuration": counts[RowKind.CONFIGURATION],
        "endpoint": counts[RowKind.ENDPOINT],
        "router": counts[RowKind.ROUTER],
        "newest_configuration": state.unreadable_rules,
    }


def _members(state: FleetState, members: FleetMembers) -> list[MemberStatus]:
    now_ms = state.clock.now_ms
    return [
        {
            "router": member.router,
            "failure_domain": member.failure_domain,
            "ready": member.ready,
            "fresh": member.fresh,
            "heard_ms_ago": round(now_ms - member.heard_ms),
        }
        for member in members.known()
    ]


def _endpoints(state: FleetState) -> list[EndpointStatus]:
    now_ms = state.clock.now_ms
    found: list[EndpointStatus] = []
    for name in sorted(state.records):
        endpoint = state.book.find(name)
        if endpoint is None:
            continue
        record, model = state.records[name], state.models[name]
        found.append(
            {
                "endpoint": name,
                "service": endpoint.service,
                "failure_domain": endpoint.failure_domain,
                "life": endpoint.life,
                "draining": endpoint.draining,
                "wait_ms": round(model.wait_ms(now_ms)),
                "pace": round(model.pace(now_ms), 2),
                "latency_ms": round(record.latency_ms),
                "failures": round(record.failures(now_ms), 1),
                "outstanding": record.outstanding,
            }
        )
    return found


def _workspaces(state: FleetState) -> list[WorkspaceStatus]:
    rules, now_ms = state.rules, state.clock.now_ms
    if rules is None:
        return []
    standings = state.shares.standings(rules.tokens_per_s, now_ms)
    ranked = sorted(standings.items(), key=lambda entry: -entry[1])
    return [{"workspace": name, "standing": round(value, 2)} for name, value in ranked]
