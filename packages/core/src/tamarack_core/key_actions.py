"""Actions that claim an idempotency key and report its run to the owner or table service."""

from __future__ import annotations

from tamarack_core.actions import Action, ClaimRow, RowDone, Send
from tamarack_core.claim_messages import Claim, ClaimDone, ClaimRunning
from tamarack_core.key_token import parse_key
from tamarack_core.request_spec import RequestSpec


def keeper_of(spec: RequestSpec) -> str:
    """Router that owns a request's key, empty if the key names none."""
    token = parse_key(spec.key) if spec.key else None
    return token.router if token is not None else ""


def claim_key(spec: RequestSpec) -> Action:
    """Claim a request's key."""
    owner = keeper_of(spec)
    if not owner:
        return ClaimRow(spec.key, spec.workspace, spec.digest, spec.request)
    return Send(owner, Claim(spec.key, spec.workspace, spec.digest, spec.request))


def tell_running(spec: RequestSpec, endpoint: str) -> list[Action]:
    """Report to the key owner which endpoint runs the request."""
    owner = keeper_of(spec)
    return [Send(owner, ClaimRunning(spec.request, endpoint))] if owner else []


def tell_done(spec: RequestSpec, state: str) -> list[Action]:
    """Report how the run of a request's key ended."""
    if not spec.key:
        return []
    owner = keeper_of(spec)
    if not owner:
        return [RowDone(spec.key, spec.workspace, state)]
    return [Send(owner, ClaimDone(spec.request, state))]
