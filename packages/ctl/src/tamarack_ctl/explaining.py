"""The command that tells the story of one request from collected logs."""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command

BELIEF_MS = 10_000
"""Milliseconds before a request's first line for which what its router believed is told."""

HIDDEN = frozenset(("at_ms", "wall_ms", "router", "message", "request"))


class LogLine(NamedTuple):
    """One line of a router's log."""

    at_ms: int
    router: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that it is about; empty for others."""
        return str(self.fields.get("request", ""))

    @property
    def wall_ms(self) -> int:
        """Time of day, by which lines of several routers are put in order."""
        return int(self.fields.get("wall_ms", self.at_ms))

    def told(self, since_ms: int) -> str:
        """The line for people, with its time after `since_ms`."""
        facts = ", ".join(f"{k} {v}" for k, v in self.fields.items() if k not in HIDDEN)
        return f"{self.at_ms - since_ms:+8} ms  {self.router}  {self.message}  {facts}".rstrip()


def add_logs(parser: argparse.ArgumentParser) -> None:
    """Add the argument that names collected logs."""
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG", help="collected logs")


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Lines of routers among others; what stands before the JSON object is passed over."""
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
    """Lines of routers in several collected logs."""
    lines: list[LogLine] = []
    for path in paths:
        with path.open(errors="replace") as texts:
            lines.extend(read_lines(texts))
    return lines


def story(lines: list[LogLine], request: str) -> list[str]:
    """What happened to a request, after what its router had learned shortly before."""
    own = [line for line in lines if line.request == request]
    if not own:
        return []
    first, last = own[0], own[-1]
    around = [
        line
        for line in lines
        if line.router == first.router
        and not line.request
        and first.at_ms - BELIEF_MS <= line.at_ms <= last.at_ms
    ]
    told = sorted([*around, *own], key=lambda line: line.at_ms)
    return [line.told(first.at_ms) for line in told]


def _configure(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("request", help="id of the request's attempt")
    add_logs(parser)


@command("explain", "tell the story of one request from logs", _configure, needs_fleet=False)
def explain(context: Context) -> Outcome:
    """Read logs and tell what happened to a request."""
    lines = read_logs(context.arguments.logs)
    told = story(lines, context.arguments.request)
    if not told:
        return Outcome(["No line tells of this request."], [], EXIT_REFUSED)
    return Outcome(told, told, EXIT_OK)
