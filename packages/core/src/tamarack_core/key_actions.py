"""Actions that claim an idempotency key and report its run to the owner or table service."""

from __future__ import annotations

from tamarack_core.actions import Action, ClaimRow, RowDone, Send
from tamarack_core.claim_messages import Claim, ClaimDone, ClaimRunning
from tamarack_core.key_token import parse_key
from tamarack_core.request_spec import RequestSpec


def key_owner_of(spec: RequestSpec) -> str:
    """Router that owns a request's key, empty if the key names none."""
    token = parse_key(spec.key) if spec.key else None
    return token.router if token is not None else ""


def claim_key(spec: RequestSpec) -> Action:
    """Claim a request's key."""
    owner = key_owner_of(spec)
    if not owner:
        return ClaimRow(spec.key, spec.workspace, spec.digest, spec.request)
    return Send(owner, Claim(spec.key, spec.workspace, spec.digest, spec.request))


def report_running(spec: RequestSpec, endpoint: str) -> list[Action]:
    """Report to the key owner which endpoint runs the request."""
    owner = key_owner_of(spec)
    return [Send(owner, ClaimRunning(spec.request, endpoint))] if owner else []


def report_done(spec: RequestSpec, state: str) -> list[Action]:
    """Report how the run of a request's key ended."""
    if not spec.key:
        return []
    owner = key_owner_of(spec)
    if not owner:
        return [RowDone(spec.key, spec.workspace, state)]
    return [Send(owner, ClaimDone(spec.request, state))]
