"""What a router tells the keeper of an idempotency key, or the table service for other keys."""

from __future__ import annotations

from tamarack_core.actions import Action, ClaimRow, RowDone, Send
from tamarack_core.claim_messages import Claim, ClaimDone, ClaimRunning
from tamarack_core.key_token import parse_key
from tamarack_core.request_spec import RequestSpec


def keeper_of(spec: RequestSpec) -> str:
    """Router that keeps a request's key, empty if none does."""
    token = parse_key(spec.key) if spec.key else None
    return token.router if token is not None else ""


def claim_key(spec: RequestSpec) -> Action:
    """Ask whether a request's key may run."""
    keeper = keeper_of(spec)
    if not keeper:
        return ClaimRow(spec.key, spec.workspace, spec.digest, spec.request)
    return Send(keeper, Claim(spec.key, spec.workspace, spec.digest, spec.request))


def tell_running(spec: RequestSpec, endpoint: str) -> list[Action]:
    """Tell the keeper where a key runs."""
    keeper = keeper_of(spec)
    return [Send(keeper, ClaimRunning(spec.request, endpoint))] if keeper else []


def tell_done(spec: RequestSpec, state: str) -> list[Action]:
    """Tell how a request's key ended."""
    if not spec.key:
        return []
    keeper = keeper_of(spec)
    if not keeper:
        return [RowDone(spec.key, spec.workspace, state)]
    return [Send(keeper, ClaimDone(spec.request, state))]
