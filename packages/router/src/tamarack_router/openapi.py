"""The OpenAPI document of the administration API, built from its operations and entry types."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from tamarack_core.configuration_entries import ENTRY_TYPES

VERSION = "1"


class Operation(NamedTuple):
    """One operation of the API.

    Attributes
    ----------
    role
        Lowest role that a token must have.
    body
        Name of the body's schema, empty if there is no body.
    """

    method: str
    path: str
    summary: str
    role: str
    body: str = ""


OPERATIONS = [
    Operation("get", "/status", "This router, and the members that it sees", "read"),
    Operation("get", "/shares", "Shares and backlog of the shards dispatched here", "read"),
    Operation("get", "/history", "Accepted changes, who made them and when", "read"),
    Operation("get", "/preset", "The preset in force and the version", "read"),
    Operation("put", "/preset", "Put a preset in force", "operate", "PresetSwitch"),
    Operation("put", "/drain/{endpoint}", "Give an endpoint no new work", "operate"),
    Operation("delete", "/drain/{endpoint}", "Let an endpoint take work again", "operate"),
    Operation("post", "/batches", "Commit puts and deletes as one change", "configure", "Batch"),
    Operation(
        "post", "/roll-forward/{version}", "Accept an earlier content as a new version", "configure"
    ),
]


def document() -> dict[str, Any]:
    """Build the OpenAPI document."""
    paths: dict[str, Any] = {}
    for operation in [*OPERATIONS, *_entry_operations()]:
        path = paths.setdefault(f"/admin/v1{operation.path}", {})
        path[operation.method] = _describe(operation)
    return {
        "openapi": "3.1.0",
        "info": {"title": "tamarackturn administration API", "version": VERSION},
        "security": [{"token": []}],
        "paths": paths,
        "components": {
            "schemas": _schemas(),
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


def _entry_operations() -> list[Operation]:
    operations = []
    for kind in ENTRY_TYPES:
        schema = kind.capitalize()
        one = f"/{kind}s/{{name}}"
        role = "operate" if kind == "evacuation" else "configure"
        operations.append(Operation("get", f"/{kind}s", f"All entries of kind {kind}", "read"))
        operations.append(Operation("get", one, f"One {kind}", "read"))
        operations.append(Operation("put", one, f"Write a {kind} whole", role, schema))
        operations.append(Operation("delete", one, f"Delete a {kind}", role))
    return operations


def _describe(operation: Operation) -> dict[str, Any]:
    described: dict[str, Any] = {
        "summary": operation.summary,
        "description": f"Needs the role {operation.role} or one above it.",
        "responses": {
            "200": {"description": "Done"},
            "401": {"description": "No token that is known"},
            "403": {"description": "The token's role does not allow it"},
            "412": {"description": "Another change came first; ETag has the version"},
            "422": {"description": "The change has faults; all are listed with their paths"},
            "503": {"description": "The store does not answer"},
        },
    }
    names = [part[1:-1] for part in operation.path.split("/") if part.startswith("{")]
    parameters = [
        {"name": name, "in": "path", "required": True, "schema": {"type": "string"}}
        for name in names
    ]
    if operation.method != "get":
        parameters.append(
            {"name": "If-Match", "in": "header", "required": False, "schema": {"type": "string"}}
        )
    if parameters:
        described["parameters"] = parameters
    if operation.body:
        schema = {"$ref": f"#/components/schemas/{operation.body}"}
        content = {"application/json": {"schema": schema}}
        described["requestBody"] = {"required": True, "content": content}
    return described


def _schemas() -> dict[str, Any]:
    schemas: dict[str, Any] = {}
    for kind, entry_type in ENTRY_TYPES.items():
        schema = msgspec.json.schema(entry_type)
        schemas[kind.capitalize()] = {
            **schema["$defs"][entry_type.__name__],
            "additionalProperties": False,
        }
    name = {"kind": {"enum": list(ENTRY_TYPES)}, "name": {"type": "string"}}
    put = {
        "type": "object",
        "properties": {**name, "body": {"type": "object"}},
        "required": ["kind", "name", "body"],
    }
    delete = {"type": "object", "properties": name, "required": ["kind", "name"]}
    schemas["Batch"] = {
        "type": "object",
        "properties": {
            "puts": {"type": "array", "items": put},
            "deletes": {"type": "array", "items": delete},
            "preset": {"type": "string"},
        },
        "additionalProperties": False,
    }
    schemas["PresetSwitch"] = {
        "type": "object",
        "properties": {"preset": {"type": "string"}},
        "required": ["preset"],
    }
    return schemas
