"""Refusals of requests before they run, with messages for callers."""

from __future__ import annotations

from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_core.key_owner import CONFLICT, FULL, UNKNOWN

RETRY_AFTER_MS = 1_000

MESSAGES: dict[ErrorCode, str] = {
    ErrorCode.QUEUE_FULL: "Too many requests of the workspace wait.",
    ErrorCode.DEADLINE: "The request cannot be served before its deadline.",
    ErrorCode.NO_ENDPOINT: "The service has no endpoint.",
}


def claim_refusal(state: str, *, first: bool) -> Refusal:
    """Refusal for the state of a key at its owner or at the table service.

    Parameters
    ----------
    first
        Whether the caller declares that it never sent the key before.
    """
    if state == CONFLICT:
        message = "The key was used for a request with other content."
        return Refusal(ErrorCode.KEY_CONFLICT, message)
    if state == FULL:
        message = "Too many keys of the workspace are kept."
        return Refusal(ErrorCode.OVER_SHARE, message, Outcome.NOT_RUN, RETRY_AFTER_MS)
    if state == "store-down":
        message = "The table service that keeps this key does not answer."
        outcome = Outcome.NOT_RUN if first else Outcome.UNKNOWN
        return Refusal(ErrorCode.STORE_DOWN, message, outcome, RETRY_AFTER_MS)
    if first and state in ("silent", UNKNOWN):
        # No request was sent with this key before, so a retry with a new key is safe.
        message = "The keeper of the key is gone; send the request with a fresh key."
        return Refusal(ErrorCode.KEEPER_GONE, message, Outcome.NOT_RUN, 1)
    message = "Whether the request with this key ran is not known; it will not run again."
    return Refusal(ErrorCode.KEY_UNKNOWN, message, Outcome.UNKNOWN)
