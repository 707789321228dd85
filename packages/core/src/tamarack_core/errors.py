"""Error codes, and refusals with the outcome of the refused request."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Outcome(StrEnum):
    """Whether a refused request ran at an endpoint."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class ErrorCode(StrEnum):
    """Codes of all refusals and failures, one per cause."""

    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_REQUEST = "unknown_request"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    NOT_READY = "not_ready"
    ISOLATED = "isolated"
    LEAVING = "leaving"
    OVER_SHARE = "over_share"
    QUEUE_FULL = "queue_full"
    DEADLINE = "deadline"
    NO_ENDPOINT = "no_endpoint"
    ENDPOINT_FAILED = "endpoint_failed"
    CALLER_GONE = "caller_gone"
    KEY_CONFLICT = "key_conflict"
    KEEPER_GONE = "keeper_gone"
    KEY_UNKNOWN = "key_unknown"
    STORE_DOWN = "store_down"
    ANSWER_GONE = "answer_gone"
    STALE_VERSION = "stale_version"
    INVALID_CONFIGURATION = "invalid_configuration"
    INTERNAL = "internal"


HTTP_STATUS: dict[ErrorCode, int] = {
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.UNKNOWN_SERVICE: 404,
    ErrorCode.UNKNOWN_PATH: 404,
    ErrorCode.UNKNOWN_REQUEST: 404,
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.BODY_TOO_LARGE: 413,
    ErrorCode.BODY_TOO_SLOW: 408,
    ErrorCode.OVER_SHARE: 429,
    ErrorCode.QUEUE_FULL: 429,
    ErrorCode.DEADLINE: 504,
    ErrorCode.ENDPOINT_FAILED: 502,
    ErrorCode.KEY_CONFLICT: 422,
    ErrorCode.KEY_UNKNOWN: 409,
    ErrorCode.ANSWER_GONE: 410,
    ErrorCode.STALE_VERSION: 412,
    ErrorCode.INVALID_CONFIGURATION: 422,
    ErrorCode.INTERNAL: 500,
}
"""HTTP status by code; the default is 503."""


class Refusal(NamedTuple):
    """Why a request was refused, and whether it ran.

    Attributes
    ----------
    code
        The cause.
    message
        One sentence for the caller.
    outcome
        `not-run` only if no byte of the request can have reached an endpoint.
    retry_after_ms
        Delay before a retry in milliseconds; zero if a retry does not help.
    """

    code: ErrorCode
    message: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_ms: int = 0

    @property
    def status(self) -> int:
        """HTTP status of the code."""
        return HTTP_STATUS.get(self.code, 503)
