"""Messages between routers."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.stream_origins import OriginAnswer, OriginQuery
from tamarack_core.suspect_exchange import KnownSuspects, SuspectsQuery
from tamarack_core.termination_evidence import Evidence, InterruptedRequests
from tamarack_core.warm_up_dealer import Demand, Leases
from tamarack_core.wire import message
from tamarack_gateway.briefing import BriefingAnswer, BriefingQuery
from tamarack_gateway.leaving_messages import LeavingEndpoints
from tamarack_gateway.outbox import Placements
from tamarack_gateway.table_messages import CopyWanted, StoreLost, TableNews

Notice = (
    Demand
    | Leases
    | OriginQuery
    | OriginAnswer
    | InterruptedRequests
    | BriefingQuery
    | BriefingAnswer
    | SuspectsQuery
    | KnownSuspects
    | StoreLost
    | LeavingEndpoints
)
"""Messages that reach all routers, and that relays pass on as they are."""


class Summary(NamedTuple):
    """State of one router.

    Attributes
    ----------
    boot
        Incarnation of the router; a later one has a higher number.
    callers
        Address for callers.
    ready, fresh
        Whether callers should be sent there, and whether its configuration was confirmed recently.
    overloaded
        Whether it has or recently had event-loop lag, so that callers should be sent elsewhere.
    """

    router: str
    boot: int
    failure_domain: str
    callers: str
    ready: bool
    fresh: bool
    overloaded: bool = False


@message(64)
class Report(NamedTuple):
    """Message of one router to the others; `stamp_ms` is its own clock at sending."""

    router: str
    stamp_ms: float
    summary: Summary | None = None
    placements: Placements | None = None
    news: TableNews | None = None
    wanted: CopyWanted | None = None
    evidence: Evidence | None = None

    @property
    def urgent(self) -> bool:
        """Whether a relay should pass it on soon; a summary alone can wait."""
        return self.placements is not None or self._has_event

    @property
    def has_more_than_placements(self) -> bool:
        """Whether it contains more than placements."""
        return self.summary is not None or self._has_event

    @property
    def _has_event(self) -> bool:
        events = (self.news, self.wanted, self.evidence)
        return any(event is not None for event in events)


@message(65)
class Digest(NamedTuple):
    """Reports that a relay passes on in one message."""

    relay: str
    reports: list[Report]


@message(66)
class Gathered(NamedTuple):
    """Summed placements of the routers of other failure domains, sent beside a digest.

    A router must not receive its own placements back. Placements of its own failure domain stay in
    the reports of the single routers, so that it can skip its own; only those of other failure
    domains are summed here.
    """

    placements: Placements


@message(68)
class TableVersions(NamedTuple):
    """The version of the newest change of each followed table that the sender knows of.

    A router that has missed a change learns of it at once and not with the next change, which may
    be seconds away.
    """

    versions: dict[str, int]


@message(67)
class Alive(NamedTuple):
    """Routers whose summaries are unchanged, with timestamps of their own clocks."""

    stamps: dict[str, float]
