"""Configuration entries: fields, changes and validation."""

# TypedDict detects NotRequired only in evaluated annotations, so they are not deferred here.
import hashlib
from typing import Any, NamedTuple, NotRequired, TypedDict, get_type_hints

import msgspec

MAX_NAME = 64
NAME_ALPHABET = frozenset("abcdefghijklmnopqrstuvwxyz0123456789-._")


class WorkspaceEntry(TypedDict):
    """A workspace: hashes of its keys, and the maximum number of waiting requests."""

    key_hashes: list[str]
    queue_limit: NotRequired[int]


class ServiceEntry(TypedDict):
    """A service: `kind` is `model` or `plain`.

    `repeatable` lists operations that may run more than once, as `METHOD /path`. Callers select a
    model service by `model`, which defaults to the service's name. Costs of model services are
    tokens, with prompt tokens multiplied by `prompt_weight`; costs of plain services are
    milliseconds.
    """

    kind: str
    model: NotRequired[str]
    repeatable: NotRequired[list[str]]
    prompt_weight: NotRequired[float]
    default_cost: NotRequired[float]
    deadline_ms: NotRequired[int]
    max_unavailable: NotRequired[int]


class PresetEntry(TypedDict):
    """A preset: weights per workspace, and the model that each engine loads, by endpoint."""

    weights: NotRequired[dict[str, float]]
    default_weight: NotRequired[float]
    loads: NotRequired[dict[str, str]]


class EndpointEntry(TypedDict):
    """An endpoint of a service, with its initial number of slots."""

    service: str
    address: str
    failure_domain: str
    slots: NotRequired[int]
    drained: NotRequired[bool]
    checks_fencing: NotRequired[bool]


class EvacuationEntry(TypedDict):
    """An evacuated failure domain, by its name: its endpoints get no new work."""

    reason: NotRequired[str]


ENTRY_TYPES: dict[str, type] = {
    "workspace": WorkspaceEntry,
    "service": ServiceEntry,
    "preset": PresetEntry,
    "endpoint": EndpointEntry,
    "evacuation": EvacuationEntry,
}


class EntryPut(NamedTuple):
    """An entry to write, replacing all its fields."""

    kind: str
    name: str
    body: dict[str, Any]


class EntryName(NamedTuple):
    """An entry to delete."""

    kind: str
    name: str


class Change(NamedTuple):
    """One accepted change; `preset` is the active preset after it."""

    version: int
    id: str
    author: str
    at_ms: int
    puts: list[EntryPut]
    deletes: list[EntryName]
    preset: str


class Fault(NamedTuple):
    """A validation error of a change, and the path of the faulty field."""

    path: str
    message: str


class Snapshot(NamedTuple):
    """The complete configuration at one version."""

    version: int
    preset: str
    entries: list[EntryPut]


def hash_key(key: str) -> str:
    """Digest (SHA-256, hexadecimal) under which a workspace's key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def check_entry(put: EntryPut) -> list[Fault]:
    """Faults of one entry, without references to other entries."""
    base = f"{put.kind}/{put.name}"
    entry_type = ENTRY_TYPES.get(put.kind)
    if entry_type is None:
        return [Fault(base, f"kind is one of {', '.join(ENTRY_TYPES)}")]
    faults = []
    if not put.name or len(put.name) > MAX_NAME or not NAME_ALPHABET.issuperset(put.name):
        faults.append(Fault(base, "a name has 1 to 64 of a-z 0-9 - . _"))
    if not isinstance(put.body, dict):
        return [*faults, Fault(base, "an entry is a table of fields")]
    hints = get_type_hints(entry_type, include_extras=False)
    for field in entry_type.__required_keys__ - put.body.keys():  # type: ignore[attr-defined]
        faults.append(Fault(f"{base}/{field}", "the field is missing"))
    for field, value in put.body.items():
        if field not in hints:
            faults.append(Fault(f"{base}/{field}", "the field is unknown"))
            continue
        try:
            msgspec.convert(value, hints[field])
        except msgspec.ValidationError as error:
            faults.append(Fault(f"{base}/{field}", str(error)))
    if not faults:
        faults.extend(_check_values(put, base))
    return sorted(faults)


def _check_values(put: EntryPut, base: str) -> list[Fault]:
    body = put.body
    faults = []
    if put.kind == "service" and body["kind"] not in ("model", "plain"):
        faults.append(Fault(f"{base}/kind", "kind is model or plain"))
    if put.kind == "endpoint" and not 1 <= body.get("slots", 1) <= 4096:
        faults.append(Fault(f"{base}/slots", "slots are 1 to 4096"))
    if put.kind == "preset":
        weights = {**body.get("weights", {}), "default_weight": body.get("default_weight", 1.0)}
        for name, weight in weights.items():
            if not 0 < weight <= 1e6:
                faults.append(Fault(f"{base}/weights/{name}", "a weight is over 0, up to 1e6"))
    if put.kind == "workspace":
        for digest in body["key_hashes"]:
            if len(digest) != 64:
                faults.append(Fault(f"{base}/key_hashes", "a hash has 64 hexadecimal digits"))
    for field in ("deadline_ms", "queue_limit", "default_cost", "max_unavailable"):
        if body.get(field, 1) <= 0:
            faults.append(Fault(f"{base}/{field}", "the value is over 0"))
    return faults
