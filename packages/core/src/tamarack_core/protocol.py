"""Messages by which routers tell who is there and which configuration is in force."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.wire import message

# Membership


class MemberUpdate(NamedTuple):
    """What is known of one router; spread on the back of probes.

    Attributes
    ----------
    state
        0 alive, 1 leaving, 2 suspect, 3 dead.
    room
        Requests that the router can still take.
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
    """Probe of a member; `target` names whom the sender means to reach."""

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
    """Request to probe `target` on the sender's behalf."""

    sequence: int
    target: str
    peer_address: str


@message(4)
class PingRelayed(NamedTuple):
    """Report that a probe made on another's behalf was answered."""

    sequence: int
    target: str


# Configuration


@message(40)
class ChangesQuery(NamedTuple):
    """Ask a peer for configuration changes after a version."""

    after: int


@message(41)
class ChangesAnswer(NamedTuple):
    """Encoded changes in order of version, without gaps, as far as the peer has them."""

    head: int
    changes: list[bytes]
