"""What routers tell each other."""

from __future__ import annotations

from typing import NamedTuple

from tamarack_core.end_evidence import Evidence
from tamarack_core.wire import message
from tamarack_gateway.outbox import Placements
from tamarack_gateway.table_follower import CopyWanted, TableNews


class Summary(NamedTuple):
    """How one router is.

    Attributes
    ----------
    boot
        Names one life of the router; a later life has a higher one.
    callers
        Address for callers.
    ready, fresh
        Whether callers should be sent there, and whether it has confirmed its configuration lately.
    overloaded
        Whether its event loop is behind, or was, so that callers should be sent elsewhere.
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
    """What one router tells at one time; `stamp_ms` is its clock then."""

    router: str
    stamp_ms: float
    summary: Summary | None = None
    placements: Placements | None = None
    news: TableNews | None = None
    wanted: CopyWanted | None = None
    evidence: Evidence | None = None

    @property
    def urgent(self) -> bool:
        """Whether a relay should pass it on soon; how a router is can wait a little."""
        return self.placements is not None or self._tells_event

    @property
    def tells_more(self) -> bool:
        """Whether it tells more than placements."""
        return self.summary is not None or self._tells_event

    @property
    def _tells_event(self) -> bool:
        events = (self.news, self.wanted, self.evidence)
        return any(event is not None for event in events)


@message(65)
class Digest(NamedTuple):
    """Reports that a relay passes on together."""

    relay: str
    reports: list[Report]


@message(66)
class Gathered(NamedTuple):
    """The sum of what the routers of other failure domains placed, told beside a digest.

    A router's own work must not come back to it. What the routers of its own failure domain placed
    therefore stays in their reports, by which it knows its own; this holds the others' only.
    """

    placements: Placements


@message(67)
class Alive(NamedTuple):
    """Routers that are as their last summaries told, with the times of their own clocks."""

    stamps: dict[str, float]
