"""Command that shows what happened to one request, from collected logs."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command

STATE_LINES_MS = 10_000
"""Milliseconds before a request's first line from which its router's local state is shown."""

HIDDEN = frozenset(("at_ms", "wall_ms", "router", "message", "request"))


class LogLine(NamedTuple):
    """One line of a router's log."""

    at_ms: int
    router: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that the line is about; empty if it is about none."""
        return str(self.fields.get("request", ""))

    @property
    def wall_ms(self) -> int:
        """Wall-clock time, by which lines of several routers are ordered."""
        return int(self.fields.get("wall_ms", self.at_ms))

    def formatted(self, since_ms: int) -> str:
        """Format the line for people, with its time relative to `since_ms`."""
        values = ", ".join(f"{k} {v}" for k, v in self.fields.items() if k not in HIDDEN)
        return f"{self.at_ms - since_ms:+8} ms  {self.router}  {self.message}  {values}".rstrip()


def add_logs(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names collected logs."""
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG", help="collected logs")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Parse the lines of routers; skips other lines, and text before a JSON object."""
    for text in texts:
        start = text.find('{"at_ms"')
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(fields["at_ms"], fields["router"], fields["message"], fields)
        except (json.JSONDecodeError, KeyError, TypeError):
            continue


def read_logs(paths: Iterable[Path]) -> list[LogLine]:
    """Parse the lines of routers in several collected logs."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(errors="replace") as texts:
            lines.extend(read_lines(texts))
    return lines


def request_lines(lines: list[LogLine], request: str) -> list[str]:
    """Format a request's lines, and those on its router's local state around that time."""
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    first, last = own[0], own[-1]
    state_lines = [
        line
        for line in lines
        if line.router == first.router
        and not line.request
        and first.at_ms - STATE_LINES_MS <= line.at_ms <= last.at_ms
    ]
    shown = sorted([*state_lines, *own], key=lambda line: line.at_ms)
    return [line.formatted(first.at_ms) for line in shown]


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", help="id of the request's attempt")
    add_logs(parser)


@command("explain", "show what happened to one request, from logs", _configure, needs_fleet=False)
def explain(context: Context) -> Outcome:
    """Read logs and show what happened to a request."""
    lines = read_logs(context.arguments.logs)
    shown = request_lines(lines, context.arguments.request)
    if not shown:
        return Outcome(["No log line mentions this request."], [], EXIT_REFUSED)
    return Outcome(shown, shown, EXIT_OK)
