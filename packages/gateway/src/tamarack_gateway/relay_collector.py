"""Collects what a relay passes on with its next message."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import Any, NamedTuple

from tamarack_core.rendezvous import ranked
from tamarack_core.stream_origins import BegunStreams, Origin, by_origin
from tamarack_gateway.outbox import PlacementSum
from tamarack_gateway.peer_messages import Alive, Digest, Gathered, Notice, Report, TableVersions
from tamarack_gateway.summary_filter import SummaryFilter
from tamarack_gateway.table_messages import TableNews

MIN_LEFT_OUT_BYTES = 16_384
"""Size of rows from which they are passed on once; a call of the store costs more than fewer."""


REMEMBERING_DOMAINS = 2
"""Other failure domains whose relays remember a stream, so that the loss of any two relays and of
the router that began it leaves one. If all did, their memory would grow with the whole fleet."""


class Collected(NamedTuple):
    """Messages of a relay to the relays of other failure domains, and to its own domain.

    `begun` tells streams only to the relays of the domains that remember them.
    """

    across: list[Any]
    within: list[Any]
    begun: dict[str, list[BegunStreams]]


class RelayCollector:
    """What a relay has received since its last message.

    Reports of its own failure domain go to both sides, those of other domains only to its own.

    Attributes
    ----------
    urgent
        Whether something should be passed on soon.
    """

    def __init__(self, router: str) -> None:
        self._router = router
        self._reports: list[Report] = []
        self._remote_reports: list[Report] = []
        self._remote_work = PlacementSum()
        self._remote_alive: dict[str, float] = {}
        self._notices: list[Notice] = []
        self._remote_notices: list[Notice] = []
        self._begun: dict[str, Origin] = {}
        self._summary_filter = SummaryFilter()
        self._passed_versions: dict[str, int] = {}
        self.urgent = False

    def add_report(self, report: Report) -> None:
        """Add a report of the own failure domain."""
        self._reports.append(self._without_known_rows(report))
        self.urgent = self.urgent or report.urgent

    def add_remote(self, message: Any) -> None:
        """Add a message of another failure domain's relay."""
        if isinstance(message, Gathered):
            self._remote_work.add(message.placements)
            self.urgent = True
        elif isinstance(message, Alive):
            self._remote_alive.update(message.stamps)
        elif isinstance(message, Digest):
            self._remote_reports += map(self._without_known_rows, message.reports)
            self.urgent = self.urgent or any(report.urgent for report in message.reports)

    def add_notice(self, notice: Notice, *, remote: bool) -> None:
        """Add a notice of the own failure domain, or of another one."""
        (self._remote_notices if remote else self._notices).append(notice)
        self.urgent = True

    def add_begun(self, begun: BegunStreams) -> None:
        """Add begun streams of the own failure domain."""
        self._begun.update(dict.fromkeys(begun.attempts, begun.origin))
        self.urgent = True

    def _without_known_rows(self, report: Report) -> Report:
        """Leave out many rows that another reader's message had.

        Each change comes from all readers. A router that lost the earlier message finds a gap and
        calls the store, so that a few rows are passed on each time.
        """
        news = report.news
        if news is None or news.whole:
            return report
        passed = self._passed_versions.get(news.table, 0)
        self._passed_versions[news.table] = max(passed, news.version)
        if not news.rows or news.version > passed or _size(news) < MIN_LEFT_OUT_BYTES:
            return report
        return report._replace(news=news._replace(after=news.version, rows=[]))

    def take(
        self, versions: TableVersions, now_ms: float, domains: Collection[str] = ()
    ) -> Collected:
        """Return what was collected as messages, and reset it.

        `domains` are the other failure domains.
        """
        own, alive = self._summary_filter.filter(self._reports, now_ms)
        across: list[Any] = []
        if own or alive or self._notices:
            across = [*_for_other_domains(self._router, own), Alive(alive), versions]
            across += self._notices
        digest = Digest(self._router, own + self._remote_reports)
        within: list[Any] = [digest, Alive(alive | self._remote_alive), versions]
        work = self._remote_work.take()
        if work is not None:
            within.append(Gathered(work))
        within += self._notices + self._remote_notices
        self._reports, self._remote_reports, self._remote_alive = [], [], {}
        self._notices, self._remote_notices, self.urgent = [], [], False
        begun, self._begun = _by_domain(self._begun, domains), {}
        return Collected(across, within, begun)


def _by_domain(
    origins: Mapping[str, Origin], domains: Collection[str]
) -> dict[str, list[BegunStreams]]:
    """Split begun streams by the failure domains whose relays remember them."""
    split: dict[str, dict[str, Origin]] = {}
    for attempt, origin in origins.items():
        for domain in ranked(attempt, domains)[:REMEMBERING_DOMAINS]:
            split.setdefault(domain, {})[attempt] = origin
    return {domain: by_origin(part) for domain, part in split.items()}


def _size(news: TableNews) -> int:
    return sum(len(row.value or b"") for row in news.rows or [])


def _for_other_domains(relay: str, reports: list[Report]) -> list[Any]:
    """Messages of a relay to other domains: reports without placements, and the placements' sum."""
    work = PlacementSum()
    remaining = []
    for report in reports:
        if report.placements is not None:
            work.add(report.placements)
        if report.has_more_than_placements:
            remaining.append(report._replace(placements=None))
    placements = work.take()
    messages: list[Any] = [Digest(relay, remaining)]
    if placements is not None:
        messages.append(Gathered(placements))
    return messages
