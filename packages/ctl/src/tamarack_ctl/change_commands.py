"""Commands that change the configuration, and wait until the change is in force."""

from __future__ import annotations

import argparse
import hashlib
from pathlib import Path

from tamarack_ctl.commands import Context, Outcome, add_timeout, command, wait_in_force
from tamarack_ctl.configuration_file import KINDS, difference, read_file
from tamarack_ctl.key_files import new_certificate, new_fleet_keys, new_workspace_key

PRIVATE_MODE = 0o600


def _apply_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("-f", "--file", required=True, help="TOML or JSON file")
    parser.add_argument(
        "--dry-run", action="store_true", help="only validate, and show the difference"
    )
    parser.add_argument("--if-version", type=int, help="commit only if this is still the version")
    add_timeout(parser)


@command("apply", "commit the entries of a file", _apply_arguments)
def apply(context: Context) -> Outcome:
    """Commit a file as one change."""
    arguments = context.arguments
    wanted = read_file(arguments.file)
    current = {kind: context.admin.call("GET", f"{kind}s")["entries"] for kind in KINDS}
    lines = difference(current, wanted)
    version = context.admin.change(
        wanted.puts,
        wanted.deletes,
        preset=wanted.preset,
        if_match=arguments.if_version,
        dry_run=arguments.dry_run,
    )
    if arguments.dry_run:
        value = {"version": version, "dry_run": True, "difference": lines}
        return Outcome([*lines, "The change is valid; nothing was changed."], value)
    return wait_in_force(context, version, "Accepted.")


def _preset_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("action", choices=("show", "switch"))
    parser.add_argument("name", nargs="?", help="preset to switch to")
    add_timeout(parser)


@command("preset", "show or switch the preset in force", _preset_arguments)
def preset(context: Context) -> Outcome:
    """Show or switch the preset."""
    name = context.arguments.name
    if context.arguments.action == "show" or name is None:
        value = context.admin.call("GET", "preset")
        return Outcome([f"preset {value['preset']}, version {value['version']}"], value)
    return wait_in_force(context, context.admin.switch_preset(name), f"Preset {name}.")


def _drain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("endpoint")
    parser.add_argument("--undo", action="store_true", help="send it work again")
    add_timeout(parser)


@command("drain", "stop sending new work to an endpoint", _drain_arguments)
def drain(context: Context) -> Outcome:
    """Drain an endpoint, or undo its drain."""
    arguments = context.arguments
    method = "DELETE" if arguments.undo else "PUT"
    version = int(context.admin.call(method, f"drain/{arguments.endpoint}")["version"])
    effect = "takes work again" if arguments.undo else "takes no new work"
    return wait_in_force(context, version, f"{arguments.endpoint} {effect}.")


def _domain_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("domain", metavar="DOMAIN", help="a failure domain")
    add_timeout(parser)


@command("evacuate", "stop sending new work to a failure domain's endpoints", _domain_arguments)
def evacuate(context: Context) -> Outcome:
    """Evacuate a failure domain until it is restored."""
    domain = context.arguments.domain
    version = int(context.admin.call("PUT", f"evacuations/{domain}", {})["version"])
    return wait_in_force(context, version, f"Failure domain {domain} is evacuated.")


@command("restore", "send work to an evacuated failure domain again", _domain_arguments)
def restore(context: Context) -> Outcome:
    """End the evacuation of a failure domain."""
    domain = context.arguments.domain
    version = int(context.admin.call("DELETE", f"evacuations/{domain}")["version"])
    return wait_in_force(context, version, f"Failure domain {domain} is restored.")


def _roll_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("version", type=int)
    add_timeout(parser)


@command(
    "roll-forward", "commit the content of an earlier version as a new version", _roll_arguments
)
def roll_forward(context: Context) -> Outcome:
    """Commit an earlier version's content as a new version."""
    path = f"roll-forward/{context.arguments.version}"
    version = int(context.admin.call("POST", path)["version"])
    return wait_in_force(
        context, version, f"Committed the content of version {context.arguments.version}."
    )


def _key_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("workspace")
    add_timeout(parser)


@command("key-create", "create a key for a workspace; it is shown once", _key_arguments)
def key_create(context: Context) -> Outcome:
    """Add a key to a workspace; only its hash is stored."""
    name = context.arguments.workspace
    current = context.admin.call("GET", f"workspaces/{name}")
    key = new_workspace_key()
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    body = {**current["entry"], "key_hashes": [*current["entry"]["key_hashes"], key_hash]}
    put = {"kind": "workspace", "name": name, "body": body}
    version = context.admin.change([put], if_match=current["version"])
    outcome = wait_in_force(context, version, f"Key of {name}, shown once: {key}")
    return outcome._replace(value={**outcome.value, "workspace": name, "key": key})


@command("key-fleet", "create the key pair that routers share", needs_fleet=False)
def key_fleet(context: Context) -> Outcome:
    """Make a CURVE key pair."""
    keys = new_fleet_keys()
    lines = [f"TAMARACK_CURVE_PUBLIC={keys.public}", f"TAMARACK_CURVE_SECRET={keys.secret}"]
    return Outcome(lines, keys._asdict())


def _tls_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", action="append", required=True, help="IP address, repeatable")
    parser.add_argument("--days", type=int, default=90)
    parser.add_argument("--certificate", default="tamarack.crt")
    parser.add_argument("--private-key", default="tamarack.key")


@command("key-tls", "create a self-signed certificate", _tls_arguments, needs_fleet=False)
def key_tls(context: Context) -> Outcome:
    """Write a certificate and its private key."""
    arguments = context.arguments
    created = new_certificate(arguments.address, arguments.days)
    Path(arguments.certificate).write_bytes(created.certificate)
    key_path = Path(arguments.private_key)
    key_path.touch(mode=PRIVATE_MODE)
    key_path.write_bytes(created.private_key)
    value = {"certificate": arguments.certificate, "private_key": arguments.private_key}
    return Outcome([f"Wrote {arguments.certificate} and {arguments.private_key}."], value)
