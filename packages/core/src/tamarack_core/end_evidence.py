"""What routers tell each other of endpoints that ended, and of the requests that ran there."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.endpoint_book import EndpointLife


class Aboard(NamedTuple):
    """A request that an endpoint had when it ended.

    Attributes
    ----------
    early
        Whether it had not begun to answer, or only just. What ends an endpoint mostly does so as
        it begins to run; a request that has run for long is the less likely cause.
    """

    fingerprint: str
    workspace: str
    early: bool


class End(NamedTuple):
    """One life of an endpoint that ended, as one router saw it.

    Attributes
    ----------
    together
        Whether another endpoint ended at the same moment, as in a failure of machines: no single
        request ends two.
    refused
        Whether nobody listens at its address any more. Other proofs speak of what it ran, and leave
        open whether it could take work.
    """

    endpoint: str
    life: int | None
    together: bool
    aboard: list[Aboard]
    refused: bool = True

    @property
    def key(self) -> EndpointLife:
        """The life that ended."""
        return EndpointLife(self.endpoint, self.life)


class QuarantinedRequest(NamedTuple):
    """A request that is quarantined.

    Attributes
    ----------
    trials
        How often it was tried again since, and ended another endpoint.
    """

    fingerprint: str
    workspace: str
    trials: int


class Evidence(NamedTuple):
    """What a router has learned since it last told the others.

    Attributes
    ----------
    cleared
        Suspected requests that were answered whole, by their fingerprints.
    """

    ends: list[End] = []
    cleared: list[str] = []
    quarantined: list[QuarantinedRequest] = []
