"""Properties of a request that the core needs for routing."""

from __future__ import annotations

from typing import NamedTuple


class RequestSpec(NamedTuple):
    """A request to route, without its body.

    Attributes
    ----------
    key
        Idempotency key, empty if the caller sent none.
    first
        Whether the caller declares that it sends the key for the first time.
    digest
        Digest of method, path and body, to detect reuse of a key for another request.
    repeatable
        Whether it may run more than once.
    deadline_ms
        Monotonic time at which the caller stops waiting.
    """

    request: str
    workspace: str
    service: str
    key: str = ""
    first: bool = False
    digest: str = ""
    repeatable: bool = False
    deadline_ms: float = 60_000.0
    priority: int = 0
    hint: float = 0.0
    prefix: int = 0
