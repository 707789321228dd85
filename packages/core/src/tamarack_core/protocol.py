"""Peer messages about membership and configuration versions."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import message

# Membership


class MemberUpdate(NamedTuple):
    """State of one router; piggybacked on probes.

    Attributes
    ----------
    state
        0 alive, 1 leaving, 2 suspect, 3 dead.
    room
        Number of requests that the router can still accept.
    """

    router: str
    incarnation: int
    state: int
    peer_address: str
    caller_address: str
    failure_domain: str
    config_version: int = 0
    room: int = 0


@message(1)
class Ping(NamedTuple):
    """Probe of a member; `target` names the intended receiver, empty if unknown."""

    sequence: int
    target: str
    updates: list[MemberUpdate]


@message(2)
class PingAck(NamedTuple):
    """Answer to a probe."""

    sequence: int
    updates: list[MemberUpdate]


@message(3)
class PingRequest(NamedTuple):
    """Request to probe `target` on behalf of the sender."""

    sequence: int
    target: str
    peer_address: str


@message(4)
class PingRelayed(NamedTuple):
    """Report that a probe on behalf of the receiver was answered."""

    sequence: int
    target: str


# Configuration


@message(40)
class ChangesQuery(NamedTuple):
    """Ask a peer for configuration changes after a version."""

    after: int


@message(41)
class ChangesAnswer(NamedTuple):
    """Consecutive encoded changes, as far as the peer has them, and its highest known version."""

    head: int
    changes: list[bytes]
