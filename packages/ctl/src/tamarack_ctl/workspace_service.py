"""Command that shows from collected logs what service workspaces received, by decision."""

from __future__ import annotations

import argparse
from collections import defaultdict
from collections.abc import Iterable
from typing import TypedDict

from tamarack_core.admission import FREE_ENGINE
from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command
from tamarack_ctl.request_log import LogLine, add_logs, read_logs


class WorkspaceService(TypedDict):
    """Outcomes of a workspace's generations; `tokens` are prompt and answer, as charged.

    Attributes
    ----------
    free_tokens
        The part of `placed_tokens` that was admitted only because an engine was free.
    free_lead
        Mean lead of these, weighted by tokens. Lead is the workspace's service relative to that of
        the least-served backlogged workspace.
    overloaded
        Requests refused by routers whose event loop lagged, whatever their kind.
    """

    workspace: str
    placed_tokens: int
    free_tokens: int
    free_lead: float
    refused_tokens: int
    overloaded: int


def workspace_services(lines: Iterable[LogLine]) -> list[WorkspaceService]:
    """Add up placements and refusals by workspace; the one with the most placed tokens is first.

    A request that is sent more than once counts once.
    """
    services: dict[str, WorkspaceService] = {}
    leads: dict[str, float] = defaultdict(float)
    for line in lines:
        workspace = line.fields.get("workspace")
        if workspace is None:
            continue
        counts = services.setdefault(workspace, _no_service(workspace))
        tokens = int(line.fields.get("tokens", 0))
        if line.message == "request: placed" and line.fields.get("send") == 1:
            counts["placed_tokens"] += tokens
            if line.fields.get("reason") == FREE_ENGINE:
                counts["free_tokens"] += tokens
                leads[workspace] += tokens * float(line.fields.get("lead", 1.0))
        elif line.message == "request: refused":
            counts["refused_tokens"] += tokens
            counts["overloaded"] += line.fields.get("reason") == "overloaded"
    for workspace, counts in services.items():
        if counts["free_tokens"]:
            counts["free_lead"] = round(leads[workspace] / counts["free_tokens"], 2)
    return sorted(services.values(), key=lambda counts: -counts["placed_tokens"])


def _no_service(workspace: str) -> WorkspaceService:
    return {
        "workspace": workspace,
        "placed_tokens": 0,
        "free_tokens": 0,
        "free_lead": 1.0,
        "refused_tokens": 0,
        "overloaded": 0,
    }


def _configure(parser: argparse.ArgumentParser) -> None:
    add_logs(parser)
    parser.add_argument(
        "--from-ms", type=int, default=0, help="skip lines before this Unix time in ms"
    )
    parser.add_argument("--until-ms", type=int, help="skip lines from this Unix time in ms on")


@command(
    "service", "show what service workspaces received, from logs", _configure, needs_fleet=False
)
def service(context: Context) -> Outcome:
    """Read logs and add up placed and refused tokens by workspace."""
    arguments = context.arguments
    lines = [
        line
        for line in read_logs(arguments.logs)
        if line.wall_ms >= arguments.from_ms
        and (arguments.until_ms is None or line.wall_ms < arguments.until_ms)
    ]
    services = workspace_services(lines)
    if not services:
        return Outcome(["No log line mentions a workspace."], [], EXIT_REFUSED)
    table = [f"{'placed':>12} {'free engine':>12} {'lead':>6} {'refused':>12} {'overloaded':>10}"]
    table += [
        f"{row['placed_tokens']:>12,} {row['free_tokens']:>12,} {row['free_lead']:>6.2f} "
        f"{row['refused_tokens']:>12,} {row['overloaded']:>10,}  {row['workspace']}"
        for row in services
    ]
    return Outcome(table, services, EXIT_OK)
