"""Commands that list the quarantined requests and release one."""

from __future__ import annotations

import argparse
from typing import Any
from urllib.parse import quote

import urllib3

from tamarack_client.http_pool import HttpPool
from tamarack_ctl.commands import (
    EXIT_REFUSED,
    Context,
    Outcome,
    command,
)
from tamarack_ctl.router_view import (
    TIMEOUT_S,
    add_address,
    show_page,
    table_lines,
    unreachable,
)


@command(
    "quarantine",
    "list requests quarantined because endpoints crashed while running them",
    add_address,
    needs_fleet=False,
)
def show_quarantine(context: Context) -> Outcome:
    """Ask one router for its quarantined and suspected requests."""
    return show_page(context.arguments.address, "/quarantine", _lines)


def _configure_release(parser: argparse.ArgumentParser) -> None:
    add_address(parser)
    parser.add_argument("fingerprint", help="fingerprint of the request, as `quarantine` lists it")


@command("release", "release a quarantined request", _configure_release, needs_fleet=False)
def release(context: Context) -> Outcome:
    """Release a request through one router; the others read this from the store."""
    address, fingerprint = context.arguments.address, context.arguments.fingerprint
    url = f"http://{address}/quarantine/release/{quote(fingerprint, safe='')}"
    try:
        answer = HttpPool().request("POST", url, timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as error:
        return unreachable(address, error)
    message = answer.data.decode(errors="replace").strip()
    released = answer.status == 200
    value = {"fingerprint": fingerprint, "released": released, "told": message}
    return Outcome([message or f"status {answer.status}"], value, 0 if released else EXIT_REFUSED)


def _lines(status: dict[str, Any]) -> list[str]:
    lines = [f"sends refused for quarantine by this router so far: {status['refused']}"]
    for title in ("quarantined", "suspects"):
        lines += table_lines(title, status[title])
    return lines
