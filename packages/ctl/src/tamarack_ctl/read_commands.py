"""Commands that show the fleet's status and its configuration."""

from __future__ import annotations

import argparse
import json
import time
from typing import Any

from tamarack_ctl.commands import Context, Outcome, command

KINDS = ("workspaces", "services", "presets", "endpoints", "evacuations")


@command("status", "show routers, versions and dispatchers")
def status(context: Context) -> Outcome:
    """Show the fleet as in one router's local view."""
    value = context.admin.status()
    lines = [
        f"preset {value['preset']}, version {value['version']}, "
        f"store {'answers' if value['store_up'] else 'DOES NOT ANSWER'}"
    ]
    lines += [f"  failure domain {domain} is evacuated" for domain in value.get("evacuated", [])]
    for member in value["members"]:
        lines.append(
            f"  {member['router']:<20} {member['state']:<8} version {member['version']:<6} "
            f"{member['failure_domain']:<16} {member['address']}"
        )
    for shard, holder in sorted(value["dispatchers"].items()):
        lines.append(f"  shard {shard} is dispatched by {holder}")
    return Outcome(lines, value)


def _get_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("kind", choices=KINDS)
    parser.add_argument("name", nargs="?")


@command("get", "show entries of the configuration", _get_arguments)
def get(context: Context) -> Outcome:
    """Show all entries of a kind, or one."""
    arguments = context.arguments
    path = arguments.kind if arguments.name is None else f"{arguments.kind}/{arguments.name}"
    value = context.admin.call("GET", path)
    shown = value["entry"] if arguments.name is not None else value["entries"]
    return Outcome(json.dumps(shown, indent=2, sort_keys=True).splitlines(), value)


@command("shares", "show shares and backlog of the shards that a router dispatches")
def shares(context: Context) -> Outcome:
    """Show counters of the shards that the answering router dispatches."""
    value = context.admin.call("GET", "shares")
    lines = []
    for shard, readings in sorted(value["shares"].items()):
        lines.append(f"shard {shard}")
        for reading in readings:
            lines.append(
                f"  {reading['workspace']:<24} counter {reading['counter']:>12.0f} "
                f"waiting {reading['waiting']:>5} running {reading['running']:>4}"
            )
    return Outcome(lines or ["This router dispatches no shard."], value)


def _history_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--after", type=int, help="show changes after this version")


@command("history", "show who changed what and when", _history_arguments)
def history(context: Context) -> Outcome:
    """List accepted changes."""
    after = context.arguments.after
    path = "history" if after is None else f"history?after={after}"
    value = context.admin.call("GET", path)
    return Outcome([_history_line(change) for change in value["changes"]], value)


def _history_line(change: dict[str, Any]) -> str:
    at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(change["at_ms"] / 1000))
    puts = [f"{put[0]}/{put[1]}" for put in change["puts"]]
    deletes = [f"-{entry[0]}/{entry[1]}" for entry in change["deletes"]]
    changed = ", ".join([*puts, *deletes][:6]) or "preset"
    return f"{change['version']:>6}  {at}Z  {change['author']:<16} {change['preset']:<12} {changed}"


def _watch_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--interval", type=float, default=2.0, metavar="SECONDS")
    parser.add_argument(
        "--times", type=int, default=0, help="stop after this many outputs (0: never)"
    )


@command("watch", "show the status repeatedly", _watch_arguments)
def watch(context: Context) -> Outcome:
    """Print the status until stopped."""
    outcome = status(context)
    shown = 1
    while shown != context.arguments.times:
        print("\n".join(outcome.lines), flush=True)
        time.sleep(context.arguments.interval)
        outcome = status(context)
        shown += 1
    return outcome
