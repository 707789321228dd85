"""Registry of commands, their context and their outcome."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import Any, NamedTuple

from tamarack_client import AdminClient

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_LAGGING = 4


class Context(NamedTuple):
    """Parsed arguments and the admin client that a command uses."""

    arguments: argparse.Namespace
    admin: AdminClient


class Outcome(NamedTuple):
    """Result of a command: lines for people, a value for programs, an exit code."""

    lines: list[str]
    value: Any
    code: int = EXIT_OK


Run = Callable[[Context], Outcome]
Configure = Callable[[argparse.ArgumentParser], None]


class Command(NamedTuple):
    """One command of the command line."""

    name: str
    help: str
    configure: Configure
    run: Run
    needs_fleet: bool = True


COMMANDS: dict[str, Command] = {}


def _no_arguments(parser: argparse.ArgumentParser) -> None:
    """Add no arguments."""


def command(
    name: str, help: str, configure: Configure = _no_arguments, *, needs_fleet: bool = True
) -> Callable[[Run], Run]:
    """Register a function as a command.

    Raises
    ------
    ValueError
        If the name is taken: the later command would silently replace the earlier one.
    """

    def register(run: Run) -> Run:
        if name in COMMANDS:
            raise ValueError(f"command {name!r} is already registered")
        COMMANDS[name] = Command(name, help, configure, run, needs_fleet)
        return run

    return register


def add_timeout(parser: argparse.ArgumentParser) -> None:
    """Add the option for how long to wait until a change is in force."""
    parser.add_argument(
        "--timeout",
        type=float,
        default=15.0,
        metavar="SECONDS",
        help="how long to wait until the change is in force everywhere (default 15)",
    )


def wait_in_force(context: Context, version: int, done: str) -> Outcome:
    """Wait until a version is in force everywhere; list the routers that lag."""
    lagging = context.admin.wait_in_force(version, context.arguments.timeout)
    value = {"version": version, "lagging": lagging.routers}
    if not lagging.routers:
        return Outcome([f"{done} Version {version} is in force everywhere."], value)
    lines = [f"{done} Version {version} is accepted, but these routers lag:"]
    lines += [f"  {name} has version {at}" for name, at in sorted(lagging.routers.items())]
    return Outcome(lines, value, EXIT_LAGGING)
