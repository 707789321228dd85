"""The administration API under `/admin/v1`."""

from __future__ import annotations

import hmac
import secrets
import time
from typing import Any, NamedTuple

import msgspec

from tamarack_core.clock import Clock
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import ENTRY_TYPES, Change, EntryName, EntryPut
from tamarack_core.errors import ErrorCode, Refusal
from tamarack_core.membership import STATE_NAMES
from tamarack_router.body_reader import read_body
from tamarack_router.config_store import ConfigStore
from tamarack_router.fleet_view import ViewHolder
from tamarack_router.http_listener import HttpCall
from tamarack_router.http_reply import Reply, json_reply, refusal_reply
from tamarack_router.openapi import document
from tamarack_router.platform import PlatformError
from tamarack_router.platform_task import PlatformTask

BASE = "/admin/v1/"
MAX_BODY_BYTES = 2_000_000
CATCH_UP_TIMEOUT_S = 3.0
HISTORY_LIMIT = 200
ROLES = ("read", "operate", "configure")


VERSIONED_KINDS = [kind for kind in ENTRY_TYPES if kind != "evacuation"]
"""Kinds of entries that a roll-forward brings back. An evacuation ends only by its own command: the
earlier version may be from before it."""


class AdminToken(NamedTuple):
    """An operator's token with its role; each role includes the permissions of the lower ones."""

    role: str
    secret: str


class AdminApp:
    """Handles the administration API; every router serves it."""

    def __init__(
        self,
        router: str,
        clock: Clock,
        views: ViewHolder,
        store: ConfigStore,
        platform: PlatformTask,
        tokens: list[AdminToken],
    ) -> None:
        self._router = router
        self._clock = clock
        self._views = views
        self._store = store
        self._platform = platform
        self._tokens = tokens

    def respond(self, call: HttpCall) -> Reply:
        """Answer an operator's call."""
        if not call.path.startswith(BASE):
            return refusal_reply(Refusal(ErrorCode.UNKNOWN_PATH, "There is nothing at this path."))
        role = self._role_of(call)
        if role is None:
            return refusal_reply(Refusal(ErrorCode.UNAUTHENTICATED, "An admin token is needed."))
        required_role = "read" if call.method == "GET" else self._required_role(call)
        if ROLES.index(role) < ROLES.index(required_role):
            message = f"The token's role is {role}; this needs {required_role}."
            return refusal_reply(Refusal(ErrorCode.FORBIDDEN, message))
        try:
            return self._route(call, call.path.removeprefix(BASE).strip("/").split("/"))
        except PlatformError as error:
            unknown = " Whether it took effect is not known." if error.effect_unknown else ""
            return refusal_reply(Refusal(ErrorCode.STORE_DOWN, f"{error}{unknown}"))

    def _role_of(self, call: HttpCall) -> str | None:
        header = call.headers.get("authorization", "").removeprefix("Bearer ")
        for token in self._tokens:
            if hmac.compare_digest(token.secret.encode(), header.encode()):
                return token.role
        return None

    def _required_role(self, call: HttpCall) -> str:
        operations = ("preset", "drain", "evacuations")
        parts = call.path.removeprefix(BASE).strip("/").split("/")
        return "operate" if parts[0] in operations else "configure"

    def _route(self, call: HttpCall, parts: list[str]) -> Reply:
        match (call.method, parts):
            case ("GET", ["status"]):
                return json_reply(self._status())
            case ("GET", ["openapi.json"]):
                return json_reply(document())
            case ("GET", ["shares"]):
                view = self._views.view
                return json_reply({"router": self._router, "shares": view.shares})
            case ("GET", ["history"]):
                return self._history(call)
            case ("GET", ["preset"]):
                config = self._config()
                return json_reply({"preset": config.preset, "version": config.version})
            case ("PUT", ["preset"]):
                return self._with_body(call, self._switch_preset)
            case ("POST", ["batches"]):
                return self._with_body(call, self._batch)
            case ("PUT", ["drain", endpoint]):
                return self._drain(call, endpoint, drained=True)
            case ("DELETE", ["drain", endpoint]):
                return self._drain(call, endpoint, drained=False)
            case ("POST", ["roll-forward", version]) if version.isdecimal():
                return self._roll_forward(call, int(version))
            case ("GET", [kind]) if kind.removesuffix("s") in ENTRY_TYPES:
                config = self._config()
                entries = config.entries(kind.removesuffix("s"))
                return json_reply({"version": config.version, "entries": entries})
            case (_, [kind, name]) if kind.removesuffix("s") in ENTRY_TYPES:
                return self._entry(call, kind.removesuffix("s"), name)
        return refusal_reply(Refusal(ErrorCode.UNKNOWN_PATH, "There is nothing at this path."))

    # Reading

    def _status(self) -> dict[str, Any]:
        view = self._views.view
        return {
            "router": self._router,
            "version": view.config.version,
            "preset": view.config.preset,
            "evacuated": sorted(view.config.entries("evacuation")),
            "ready": view.ready,
            "isolated": view.isolated,
            "leaving": view.leaving,
            "store_up": view.store_up,
            "dispatchers": view.terms,
            "members": [
                {
                    "router": member.router,
                    "state": STATE_NAMES[member.state],
                    "address": member.caller_address,
                    "failure_domain": member.failure_domain,
                    "version": member.config_version,
                }
                for member in view.members
            ],
        }

    def _history(self, call: HttpCall) -> Reply:
        after = call.query.get("after", "")
        head = self._store.head().version
        start = int(after) if after.isdecimal() else max(0, head - HISTORY_LIMIT)
        changes = [
            msgspec.to_builtins(msgspec.msgpack.decode(data, type=Change))
            for data in self._store.changes_after(start)
        ]
        fields = Change._fields
        return json_reply({"changes": [dict(zip(fields, c, strict=True)) for c in changes]})

    def _entry(self, call: HttpCall, kind: str, name: str) -> Reply:
        if call.method == "GET":
            config = self._config()
            body = config.entries(kind).get(name)
            if body is None:
                message = f"There is no {kind} {name}."
                return refusal_reply(Refusal(ErrorCode.UNKNOWN_PATH, message))
            return json_reply({"version": config.version, "entry": body})
        if call.method == "DELETE":
            return self._change(call, [], [EntryName(kind, name)])
        if call.method == "PUT":
            return self._with_body(
                call, lambda c, body: self._change(c, [EntryPut(kind, name, body)], [])
            )
        return refusal_reply(Refusal(ErrorCode.BAD_REQUEST, "Use GET, PUT or DELETE."))

    # Changing

    def _switch_preset(self, call: HttpCall, body: Any) -> Reply:
        name = body.get("preset") if isinstance(body, dict) else None
        if not isinstance(name, str):
            return _bad_request("The field preset names the preset.")
        return self._change(call, [], [], preset=name)

    def _batch(self, call: HttpCall, body: Any) -> Reply:
        try:
            puts = [EntryPut(p["kind"], p["name"], p["body"]) for p in body.get("puts", [])]
            deletes = [EntryName(d["kind"], d["name"]) for d in body.get("deletes", [])]
        except (KeyError, TypeError, AttributeError):
            return _bad_request("puts have kind, name and body; deletes have kind and name.")
        unknown = sorted(set(body) - {"puts", "deletes", "preset"})
        if unknown:
            return _bad_request(f"Unknown fields: {', '.join(unknown)}.")
        return self._change(call, puts, deletes, preset=body.get("preset"))

    def _drain(self, call: HttpCall, endpoint: str, *, drained: bool) -> Reply:
        body = self._config().entries("endpoint").get(endpoint)
        if body is None:
            message = f"There is no endpoint {endpoint}."
            return refusal_reply(Refusal(ErrorCode.UNKNOWN_PATH, message))
        return self._change(
            call, [EntryPut("endpoint", endpoint, {**body, "drained": drained})], []
        )

    def _roll_forward(self, call: HttpCall, version: int) -> Reply:
        """Commit the content of an earlier version as a new version."""
        old = Configuration()
        while old.version < version:
            changes = self._store.changes_after(old.version)
            if not changes:
                return _bad_request(f"There is no version {version}.")
            for data in changes:
                if old.version < version:
                    old = old.apply(msgspec.msgpack.decode(data, type=Change))
        current = self._config()
        puts = [
            EntryPut(kind, name, body)
            for kind in VERSIONED_KINDS
            for name, body in old.entries(kind).items()
            if current.entries(kind).get(name) != body
        ]
        deletes = [
            EntryName(kind, name)
            for kind in VERSIONED_KINDS
            for name in current.entries(kind)
            if name not in old.entries(kind)
        ]
        return self._change(call, puts, deletes, preset=old.preset)

    def _with_body(self, call: HttpCall, action: Any) -> Reply:
        body = read_body(call, MAX_BODY_BYTES)
        if isinstance(body, Refusal):
            return refusal_reply(body)._replace(close=True)
        try:
            parsed = msgspec.json.decode(body)
        except msgspec.DecodeError:
            return _bad_request("The body is not JSON.")
        reply: Reply = action(call, parsed)
        return reply

    def _config(self) -> Configuration:
        """Return the newest committed configuration; waits until this router has applied it."""
        head = self._store.head()
        deadline = time.monotonic() + CATCH_UP_TIMEOUT_S
        while self._views.view.config.version < head.version:
            self._platform.poll_now()
            if time.monotonic() > deadline:
                raise PlatformError("This router is behind the store.")
            time.sleep(0.01)
        return self._views.view.config

    def _change(
        self,
        call: HttpCall,
        puts: list[EntryPut],
        deletes: list[EntryName],
        *,
        preset: str | None = None,
    ) -> Reply:
        if_match = call.headers.get("if-match", "").strip('"')
        config = self._config()
        head = self._store.head()
        if if_match and if_match != str(head.version):
            return _stale_version(head.version)
        if head.version != config.version:
            return _stale_version(head.version)
        faults = config.check(puts, deletes, preset)
        if faults:
            listed = [fault._asdict() for fault in faults]
            error = {"code": ErrorCode.INVALID_CONFIGURATION, "faults": listed}
            return json_reply({"error": error}, 422)
        if call.query.get("dry_run") == "1":
            return json_reply({"version": head.version, "dry_run": True})
        change = Change(
            head.version + 1,
            secrets.token_hex(8),
            call.headers.get("tamarack-operator", "unnamed")[:64],
            self._clock.wall_ms,
            puts,
            deletes,
            config.preset if preset is None else preset,
        )
        if not self._store.commit(change, head):
            return _stale_version(self._store.head().version)
        self._platform.poll_now()
        self._platform.snapshot_after(config, change)
        return json_reply({"version": change.version, "change": change.id})


def _stale_version(version: int) -> Reply:
    message = f"Another change came first; the version is now {version}."
    refusal = Refusal(ErrorCode.STALE_VERSION, message)
    reply = refusal_reply(refusal)
    reply.headers.append(("ETag", f'"{version}"'))
    return reply


def _bad_request(message: str) -> Reply:
    return refusal_reply(Refusal(ErrorCode.BAD_REQUEST, message))
