"""Versioned configuration: entries, and changes applied to them."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from tamarack_core.configuration_entries import (
    ENTRY_TYPES,
    Change,
    EndpointEntry,
    EntryName,
    EntryPut,
    Fault,
    ServiceEntry,
    Snapshot,
    check_entry,
    hash_key,
)
from tamarack_core.defaults import DEADLINE_MS, DEFAULT_COST, QUEUE_LIMIT, SHARD_SIZE
from tamarack_core.dispatch_messages import ShardKey
from tamarack_core.dispatch_policy import DispatchPolicy
from tamarack_core.endpoint_pool import EndpointSpec
from tamarack_core.rendezvous import ranked

MAX_BATCH = 500


class _DerivedData(NamedTuple):
    """Data derived from entries; the next version reuses what a change does not affect.

    Without reuse, changing one entry of 19,000 would take 100 ms on every router.
    """

    keys: dict[str, str]
    models: dict[str, str]
    by_service: dict[str, list[EndpointSpec]]
    queue_limit: int


Entries = dict[str, dict[str, Any]]


class Configuration:
    """An immutable configuration at one version."""

    def __init__(
        self,
        version: int = 0,
        preset: str = "",
        entries: Entries | None = None,
        *,
        parts: _DerivedData | None = None,
    ) -> None:
        self._version = version
        self._preset = preset
        self._entries = entries or {kind: {} for kind in ENTRY_TYPES}
        self._parts = parts or _build_derived(self._entries, preset)
        self._shards: dict[tuple[str, int], list[list[EndpointSpec]]] = {}

    @property
    def version(self) -> int:
        """The version; increases by one with each accepted change."""
        return self._version

    @property
    def preset(self) -> str:
        """Name of the active preset."""
        return self._preset

    @property
    def models(self) -> dict[str, str]:
        """Service name by model."""
        return self._parts.models

    def entries(self, kind: str) -> dict[str, Any]:
        """All entries of a kind by name."""
        return self._entries[kind]

    def workspace_of(self, key: str) -> str | None:
        """Workspace of a bearer key, None if unknown."""
        return self._parts.keys.get(hash_key(key))

    def service(self, name: str) -> ServiceEntry | None:
        """Entry of a service, None if there is none."""
        entry: ServiceEntry | None = self._entries["service"].get(name)
        return entry

    def endpoint(self, name: str) -> EndpointEntry | None:
        """Entry of an endpoint, None if there is none."""
        entry: EndpointEntry | None = self._entries["endpoint"].get(name)
        return entry

    def endpoints_of(self, service: str) -> list[EndpointSpec]:
        """Endpoints of a service."""
        return self._parts.by_service.get(service, [])

    def deadline_ms(self, service: str) -> int:
        """Maximum duration of a request of the service in milliseconds."""
        entry = self.service(service)
        return entry.get("deadline_ms", DEADLINE_MS) if entry else DEADLINE_MS

    def policy(self, service: str) -> DispatchPolicy:
        """Weights and limits for dispatchers of the service."""
        preset = self._entries["preset"].get(self._preset, {})
        entry = self.service(service)
        return DispatchPolicy(
            preset.get("weights", {}),
            preset.get("default_weight", 1.0),
            self._parts.queue_limit,
            entry.get("default_cost", DEFAULT_COST) if entry else DEFAULT_COST,
        )

    def shard_count(self, service: str, shard_size: int = SHARD_SIZE) -> int:
        """Number of shards of a service."""
        return max(1, math.ceil(len(self.endpoints_of(service)) / shard_size))

    def shard_endpoints(self, shard: ShardKey, shard_size: int = SHARD_SIZE) -> list[EndpointSpec]:
        """Endpoints of one shard; few are reassigned when the number of shards changes."""
        index = (shard.service, shard_size)
        if index not in self._shards:
            self._shards[index] = self._assign_shards(shard.service, shard_size)
        shards = self._shards[index]
        return shards[shard.number] if shard.number < len(shards) else []

    def _assign_shards(self, service: str, shard_size: int) -> list[list[EndpointSpec]]:
        specs = self.endpoints_of(service)
        count = self.shard_count(service, shard_size)
        if count == 1:
            return [specs]
        names = [str(number) for number in range(count)]
        shards: list[list[EndpointSpec]] = [[] for _ in names]
        # Equal shard sizes: all shards get equally many tickets, so a small one would overload.
        capacity = math.ceil(len(specs) / count)
        for spec in specs:
            order = ranked(spec.name, names)
            number = next(int(name) for name in order if len(shards[int(name)]) < capacity)
            shards[number].append(spec)
        return shards

    def apply(self, change: Change) -> Configuration:
        """Return the configuration after a change; ValueError unless it is the next version."""
        if change.version != self._version + 1:
            raise ValueError(f"change {change.version} does not follow version {self._version}")
        touched = {entry.kind for entry in _changed_entries(change)}
        entries = {
            kind: dict(named) if kind in touched else named for kind, named in self._entries.items()
        }
        for name in change.deletes:
            entries[name.kind].pop(name.name, None)
        for put in change.puts:
            entries[put.kind][put.name] = put.body
        parts = self._next_derived(change, entries, touched)
        after = Configuration(change.version, change.preset, entries, parts=parts)
        for index, shards in self._shards.items():
            service = index[0]
            if after.endpoints_of(service) is self._parts.by_service.get(service):
                after._shards[index] = shards
        return after

    def _next_derived(self, change: Change, entries: Entries, touched: set[str]) -> _DerivedData:
        old = self._parts
        loads = self._entries["preset"].get(self._preset, {}).get("loads", {})
        new_loads = entries["preset"].get(change.preset, {}).get("loads", {})
        if touched & {"service", "evacuation"} or loads != new_loads:
            return _build_derived(entries, change.preset)
        keys, queue_limit = old.keys, old.queue_limit
        if "workspace" in touched:
            keys = _changed_keys(keys, self._entries, entries, change)
            queue_limit = _queue_limit(entries)
        by_service = old.by_service
        if "endpoint" in touched:
            by_service = _changed_services(by_service, entries, change, old.models, new_loads)
        return _DerivedData(keys, old.models, by_service, queue_limit)

    def snapshot(self) -> Snapshot:
        """The complete configuration as one value."""
        entries = [
            EntryPut(kind, name, body)
            for kind, named in self._entries.items()
            for name, body in named.items()
        ]
        return Snapshot(self._version, self._preset, entries)

    @classmethod
    def restore(cls, snapshot: Snapshot) -> Configuration:
        """Build a configuration from a snapshot."""
        entries: dict[str, dict[str, Any]] = {kind: {} for kind in ENTRY_TYPES}
        for put in snapshot.entries:
            entries[put.kind][put.name] = put.body
        return cls(snapshot.version, snapshot.preset, entries)

    def check(
        self, puts: list[EntryPut], deletes: list[EntryName], preset: str | None = None
    ) -> list[Fault]:
        """Return all faults of a change to this version without applying it."""
        faults = []
        if len(puts) + len(deletes) > MAX_BATCH:
            faults.append(Fault("", f"a change holds at most {MAX_BATCH} entries"))
        for put in puts:
            faults.extend(check_entry(put))
        for name in deletes:
            if name.name not in self._entries.get(name.kind, {}):
                faults.append(Fault(f"{name.kind}/{name.name}", "there is no such entry"))
        if faults:
            return faults
        new_preset = self._preset if preset is None else preset
        after = self.apply(
            Change(self._version + 1, "", "", 0, list(puts), list(deletes), new_preset)
        )
        return after._check_references()

    def _check_references(self) -> list[Fault]:
        faults = []
        for name, body in self._entries["endpoint"].items():
            if body["service"] not in self._entries["service"]:
                faults.append(Fault(f"endpoint/{name}/service", "there is no such service"))
        for name, body in self._entries["preset"].items():
            for workspace in body.get("weights", {}):
                if workspace not in self._entries["workspace"]:
                    path = f"preset/{name}/weights/{workspace}"
                    faults.append(Fault(path, "there is no such workspace"))
            for endpoint in body.get("loads", {}):
                if endpoint not in self._entries["endpoint"]:
                    path = f"preset/{name}/loads/{endpoint}"
                    faults.append(Fault(path, "there is no such endpoint"))
            for endpoint, model in body.get("loads", {}).items():
                if model not in self._parts.models:
                    path = f"preset/{name}/loads/{endpoint}"
                    faults.append(Fault(path, f"no service has the model {model}"))
        if self._preset and self._preset not in self._entries["preset"]:
            faults.append(Fault("preset", f"there is no preset {self._preset}"))
        return faults


def _changed_entries(change: Change) -> list[EntryName]:
    return [*change.deletes, *(EntryName(put.kind, put.name) for put in change.puts)]


def _build_derived(entries: Entries, preset: str) -> _DerivedData:
    keys = {
        digest: name for name, body in entries["workspace"].items() for digest in body["key_hashes"]
    }
    models = {
        body.get("model", name): name
        for name, body in entries["service"].items()
        if body["kind"] == "model"
    }
    loads = entries["preset"].get(preset, {}).get("loads", {})
    by_service: dict[str, list[EndpointSpec]] = {}
    for name in sorted(entries["endpoint"]):
        service, spec = _spec_of(name, entries, models, loads)
        by_service.setdefault(service, []).append(spec)
    return _DerivedData(keys, models, by_service, _queue_limit(entries))


def _spec_of(
    name: str, entries: Entries, models: dict[str, str], loads: dict[str, str]
) -> tuple[str, EndpointSpec]:
    body = entries["endpoint"][name]
    # An engine belongs to the service of the model that the active preset assigns to it.
    service = models.get(loads.get(name, ""), body["service"])
    spec = EndpointSpec(
        name,
        body["address"],
        body["failure_domain"],
        body.get("slots", 4),
        body.get("drained", False) or body["failure_domain"] in entries["evacuation"],
        entries["service"].get(service, {}).get("model", service),
    )
    return service, spec


def _queue_limit(entries: Entries) -> int:
    limits = (body.get("queue_limit", QUEUE_LIMIT) for body in entries["workspace"].values())
    return max(limits, default=QUEUE_LIMIT)


def _changed_keys(
    keys: dict[str, str], before: Entries, after: Entries, change: Change
) -> dict[str, str]:
    changed = dict(keys)
    names = [entry.name for entry in _changed_entries(change) if entry.kind == "workspace"]
    for name in names:
        for digest in before["workspace"].get(name, {}).get("key_hashes", []):
            changed.pop(digest, None)
    for name in names:
        for digest in after["workspace"].get(name, {}).get("key_hashes", []):
            changed[digest] = name
    return changed


def _changed_services(
    by_service: dict[str, list[EndpointSpec]],
    entries: Entries,
    change: Change,
    models: dict[str, str],
    loads: dict[str, str],
) -> dict[str, list[EndpointSpec]]:
    names = {entry.name for entry in _changed_entries(change) if entry.kind == "endpoint"}
    changed = {}
    for service, specs in by_service.items():
        remaining = [spec for spec in specs if spec.name not in names]
        changed[service] = specs if len(remaining) == len(specs) else remaining
    extended = set()
    for name in sorted(names & entries["endpoint"].keys()):
        service, spec = _spec_of(name, entries, models, loads)
        changed[service] = [*changed.get(service, []), spec]
        extended.add(service)
    for service in extended:
        changed[service].sort(key=lambda spec: spec.name)
    return changed
