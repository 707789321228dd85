"""Command that shows the local state of one router of the platform."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable
from typing import Any

import urllib3

from tamarack_client.http_pool import HttpPool
from tamarack_ctl.commands import EXIT_UNREACHABLE, Context, Outcome, command

TIMEOUT_S = 3.0
"""Seconds to wait for a router's answer, which takes milliseconds."""


def add_address(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names a router."""
    parser.add_argument("address", metavar="IP:PORT", help="the router's address for metrics")


@command("router", "show the local state of one router", add_address, needs_fleet=False)
def show_router(context: Context) -> Outcome:
    """Ask one router for its status."""
    return show_page(context.arguments.address, "/status", _lines)


def show_page(address: str, path: str, lines: Callable[[dict[str, Any]], list[str]]) -> Outcome:
    """Read a page of one router and format it as lines."""
    try:
        answer = HttpPool().request(
            "GET", f"http://{address}{path}", timeout=TIMEOUT_S, retries=False
        )
        page = json.loads(answer.data)
        return Outcome(lines(page), page)
    except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
        return unreachable(address, error)


def unreachable(address: str, error: Exception) -> Outcome:
    """Outcome of a command if the router does not answer."""
    reason = f"{address} does not answer as a router: {error}"
    return Outcome([reason], {"error": reason}, EXIT_UNREACHABLE)


def _lines(status: dict[str, Any]) -> list[str]:
    conditions = [name for name in ("ready", "leaving", "relays") if status[name]]
    lines = [f"{status['router']}: {', '.join(conditions) or 'not ready'}"]
    lines.append(
        f"configuration {status['version']}, confirmed {status['confirmed_ms_ago']} ms ago"
    )
    loop = status["loop"]
    state = "overloaded" if loop["overloaded"] else "not overloaded"
    lines.append(
        f"loop lag {loop['lag_ms']} ms lately, {loop['most_lag_ms']} ms at most; {state}, "
        f"{loop['overloads']} times so far, {loop['turned_away']} connections rejected; "
        f"{loop['connections']} connections, "
        f"{loop['requests']} requests in progress"
    )
    lines += _unreadable(status["unreadable"])
    lines += [
        f"failure domain {entry['failure_domain']} evacuated {entry['since_ms']} ms ago"
        for entry in status.get("evacuated", [])
    ]
    for title in ("members", "endpoints", "workspaces"):
        lines += table_lines(title, status[title])
    return lines


def _unreadable(unreadable: dict[str, Any]) -> list[str]:
    lines = []
    reason = unreadable.pop("newest_configuration")
    if reason is not None:
        lines.append(f"the newest configuration cannot be read, an older one is in force: {reason}")
    if any(unreadable.values()):
        counts = ", ".join(f"{kind} {count}" for kind, count in unreadable.items())
        lines.append(f"versions of rows that could not be used: {counts}")
    return lines


def table_lines(title: str, entries: list[dict[str, Any]]) -> list[str]:
    """Format entries in columns under a title."""
    lines = [f"{title} ({len(entries)})"]
    if not entries:
        return lines
    rows = [list(entries[0]), *([str(value) for value in entry.values()] for entry in entries)]
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  " + "  ".join(cells).rstrip())
    return lines
