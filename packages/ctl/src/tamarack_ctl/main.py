"""tamarackctl: parses the command line, runs a command, prints its outcome."""

from __future__ import annotations

import argparse
import json
import os
import sys

from tamarack_client import AdminClient, AdminError
from tamarack_ctl import (
    change_commands,
    prefill_causes,
    quarantine_view,
    read_commands,
    request_log,
    router_view,
    workspace_service,
)
from tamarack_ctl.commands import (
    COMMANDS,
    EXIT_REFUSED,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    Context,
    Outcome,
)
from tamarack_ctl.configuration_file import FileError

ADDRESSES = "TAMARACK_ADMIN"
TOKEN = "TAMARACK_ADMIN_TOKEN"
OPERATOR = "TAMARACK_OPERATOR"
CA_CERTIFICATES = "TAMARACK_CA"
MODULES = (
    read_commands,
    change_commands,
    request_log,
    prefill_causes,
    router_view,
    quarantine_view,
    workspace_service,
)


def make_parser() -> argparse.ArgumentParser:
    """Make the argument parser of tamarackctl."""
    parser = argparse.ArgumentParser(
        prog="tamarackctl",
        description="Command line for operators of a tamarackturn fleet.",
        epilog=f"The token comes from {TOKEN}. Exit codes: 0 success, 1 refused, 2 usage error, "
        "3 no router reachable, 4 accepted but not in force everywhere before the timeout.",
    )
    parser.add_argument(
        "--admin",
        default=os.environ.get(ADDRESSES, "127.0.0.1:8081"),
        metavar="IP:PORT,...",
        help=f"administration addresses of some routers [{ADDRESSES}]",
    )
    parser.add_argument(
        "--operator",
        default=os.environ.get(OPERATOR, ""),
        metavar="NAME",
        help=f"operator name recorded with each change [{OPERATOR}]",
    )
    parser.add_argument(
        "--ca",
        default=os.environ.get(CA_CERTIFICATES, ""),
        metavar="FILE",
        help=f"certificate to trust; calls then use TLS [{CA_CERTIFICATES}]",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS.values():
        child = commands.add_parser(command.name, help=command.help, description=command.help)
        child.add_argument("--json", action="store_true", default=argparse.SUPPRESS)
        command.configure(child)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parsed = make_parser().parse_args(arguments)
    command = COMMANDS[parsed.command]
    token = os.environ.get(TOKEN, "")
    if command.needs_fleet and not token:
        print(f"tamarackctl: set {TOKEN} to an admin token.", file=sys.stderr)
        return EXIT_USAGE
    admin = AdminClient(
        [address.strip() for address in parsed.admin.split(",")],
        token,
        operator=parsed.operator,
        scheme="https" if parsed.ca else "http",
        ca_certs=parsed.ca or None,
    )
    try:
        outcome = command.run(Context(parsed, admin))
    except AdminError as error:
        return _report(error)
    except FileError as error:
        for fault in error.faults:
            print(f"tamarackctl: {fault}", file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        return 0
    _show(outcome, parsed.json)
    return outcome.code


def _show(outcome: Outcome, as_json: bool) -> None:
    if as_json:
        print(json.dumps(outcome.value))
    else:
        print("\n".join(outcome.lines))


def _report(error: AdminError) -> int:
    print(f"tamarackctl: {error}", file=sys.stderr)
    for fault in error.faults:
        print(f"  {fault['path']}: {fault['message']}", file=sys.stderr)
    return EXIT_UNREACHABLE if error.code == "unreachable" else EXIT_REFUSED


if __name__ == "__main__":
    sys.exit(main())
