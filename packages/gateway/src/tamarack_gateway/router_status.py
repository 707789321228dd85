"""Status of one router's local state for operators."""

from __future__ import annotations

from typing import TypedDict

from tamarack_gateway.fleet_members import FleetMembers
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.loop_monitor import LoopStatus
from tamarack_gateway.unreadable_rows import RowKind

LARGEST_WORKSPACES = 20
"""Maximum number of workspaces in the status of each service, by requested tokens. A site may have
thousands; those with little load are neither refused nor affect others."""


class MemberStatus(TypedDict):
    """Another router according to its last summary."""

    router: str
    failure_domain: str
    ready: bool
    fresh: bool
    overloaded: bool
    heard_ms_ago: int


class EndpointStatus(TypedDict):
    """An endpoint: its predicted waiting time and its recent performance.

    `wait_ms` and `pace` (the speed factor) apply to model engines; for plain services, see
    `latency_ms`. `life` is the incarnation. `warm_up_ms` is what is left of its warm-up, in which
    this router may send it `warm_up_part` requests a second.
    """

    endpoint: str
    service: str
    failure_domain: str
    life: int | None
    draining: bool
    software_version: str
    wait_ms: int
    pace: float
    latency_ms: int
    failures: float
    outstanding: int
    warm_up_ms: int
    warm_up_part: int


class WorkspaceStatus(TypedDict):
    """One of the workspaces with the highest recent demand on a service, over all routers.

    `asked` and `served` are tokens in the window. `standing` is the service received relative to
    the fair share, `lead` the service relative to the least-served backlogged workspace, and
    `filled` the service relative to an even part of what is actually served.
    """

    service: str
    workspace: str
    asked: int
    served: int
    standing: float
    lead: float
    filled: float


class EvacuationStatus(TypedDict):
    """An evacuated failure domain, and the time since this router learned of it."""

    failure_domain: str
    since_ms: int


class UnreadableStatus(TypedDict):
    """Numbers of row versions that could not be read since the start.

    `newest_configuration` is the reason if the newest configuration cannot be read, so that an
    older one is in force.
    """

    configuration: int
    endpoint: int
    router: int
    quarantine: int
    newest_configuration: str | None


class RouterStatus(TypedDict):
    """The complete status of one router."""

    router: str
    ready: bool
    leaving: bool
    relays: bool
    version: int
    confirmed_ms_ago: int | None
    loop: LoopStatus
    unreadable: UnreadableStatus
    evacuated: list[EvacuationStatus]
    members: list[MemberStatus]
    endpoints: list[EndpointStatus]
    workspaces: list[WorkspaceStatus]


def router_status(
    state: FleetState, members: FleetMembers, loop: LoopStatus, *, relays: bool
) -> RouterStatus:
    """Status of a router from its local state; takes some microseconds for each entry."""
    age_ms = state.freshness.age_ms(state.clock.now_ms)
    return {
        "router": state.settings.router,
        "ready": state.ready,
        "leaving": state.leaving is not None,
        "relays": relays,
        "version": state.rules.version if state.rules else 0,
        "confirmed_ms_ago": None if age_ms == float("inf") else round(age_ms),
        "loop": loop,
        "unreadable": _unreadable(state),
        "evacuated": _evacuated(state),
        "members": _members(state, members),
        "endpoints": _endpoints(state),
        "workspaces": workspace_statuses(state),
    }


def _unreadable(state: FleetState) -> UnreadableStatus:
    counts = state.unreadable.counts
    return {
        "configuration": counts[RowKind.CONFIGURATION],
        "endpoint": counts[RowKind.ENDPOINT],
        "router": counts[RowKind.ROUTER],
        "quarantine": counts[RowKind.QUARANTINE],
        "newest_configuration": state.unreadable_rules,
    }


def _evacuated(state: FleetState) -> list[EvacuationStatus]:
    now_ms, domains = state.clock.now_ms, state.evacuations.domains
    return [
        {"failure_domain": domain, "since_ms": round(now_ms - since_ms)}
        for domain, since_ms in sorted(domains.items())
    ]


def _members(state: FleetState, members: FleetMembers) -> list[MemberStatus]:
    now_ms = state.clock.now_ms
    return [
        {
            "router": member.router,
            "failure_domain": member.failure_domain,
            "ready": member.ready,
            "fresh": member.fresh,
            "overloaded": member.overloaded,
            "heard_ms_ago": round(now_ms - member.heard_ms),
        }
        for member in members.known()
    ]


def _endpoints(state: FleetState) -> list[EndpointStatus]:
    now_ms = state.clock.now_ms
    found: list[EndpointStatus] = []
    warming = {warming.key: warming for warming in state.warm_ups.warming_endpoints(now_ms)}
    for name in sorted(state.records):
        endpoint = state.registry.find(name)
        if endpoint is None:
            continue
        record, model = state.records[name], state.models[name]
        warm_up = warming.get(endpoint.key)
        found.append(
            {
                "endpoint": name,
                "service": endpoint.service,
                "failure_domain": endpoint.failure_domain,
                "life": endpoint.life,
                "draining": endpoint.draining,
                "software_version": endpoint.software_version,
                "wait_ms": round(model.wait_ms(now_ms)),
                "pace": round(model.pace(now_ms), 2),
                "latency_ms": round(record.latency_ms),
                "failures": round(record.failures(now_ms), 1),
                "outstanding": record.outstanding,
                "warm_up_ms": round(warm_up.until_ms - now_ms) if warm_up else 0,
                "warm_up_part": warm_up.part if warm_up else 0,
            }
        )
    return found


def workspace_statuses(state: FleetState) -> list[WorkspaceStatus]:
    """Status of the workspaces with the highest demand on each service in the window."""
    names = state.rules.engine_services if state.rules is not None else ()
    return [row for name in names for row in _workspaces(state, name)]


def _workspaces(state: FleetState, service: str) -> list[WorkspaceStatus]:
    shares, rate = state.shares.of(service), state.throughput(service)
    readings = shares.largest(LARGEST_WORKSPACES, rate, state.clock.now_ms)
    return [
        {
            "service": service,
            "workspace": reading.workspace,
            "asked": round(reading.asked),
            "served": round(reading.served),
            "standing": round(reading.position.standing, 2),
            "lead": round(reading.position.lead, 2),
            "filled": round(reading.position.filled, 2),
        }
        for reading in readings
    ]
