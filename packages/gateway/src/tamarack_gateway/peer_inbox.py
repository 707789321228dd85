"""Passes the messages of other routers on to the parts that they concern."""

from __future__ import annotations

from collections.abc import Callable

from tamarack_core.stream_origins import OriginAnswer, OriginQuery
from tamarack_core.suspect_exchange import KnownSuspects, SuspectsQuery
from tamarack_core.termination_evidence import InterruptedRequests
from tamarack_gateway.briefing import BriefingAnswer, BriefingQuery
from tamarack_gateway.fleet_feeds import FleetFeeds
from tamarack_gateway.fleet_members import FleetMembers, Member
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.leaving_messages import LeavingEndpoints
from tamarack_gateway.origin_feed import OriginFeed
from tamarack_gateway.peer_messages import Notice, Report, Summary
from tamarack_gateway.quarantine_feed import QuarantineFeed
from tamarack_gateway.suspect_feed import SuspectFeed
from tamarack_gateway.table_messages import CopyWanted, StoreLost, TableNews
from tamarack_gateway.warm_up_feed import WarmUpFeed


class PeerInbox:
    """Handles reports and notices of other routers.

    Parameters
    ----------
    me
        Returns this router's own summary.
    feeds
        Returns the tables that this router follows.
    publish
        Called with a whole table that another router has requested.
    """

    def __init__(
        self,
        state: FleetState,
        members: FleetMembers,
        quarantine: QuarantineFeed,
        suspects: SuspectFeed,
        origins: OriginFeed,
        warm_ups: WarmUpFeed,
        *,
        me: Callable[[], Member],
        feeds: Callable[[], FleetFeeds],
        publish: Callable[[TableNews], None],
    ) -> None:
        self._state = state
        self._members = members
        self._quarantine = quarantine
        self._suspects = suspects
        self._origins = origins
        self._warm_ups = warm_ups
        self._me = me
        self._feeds = feeds
        self._publish = publish

    def receive_report(self, report: Report) -> None:
        """Apply a report."""
        self._state.vouching.hear(report.router, self._state.clock.now_ms)
        if report.summary is not None:
            self._record_summary(report.summary, report.stamp_ms)
        self._members.record_stamp(report.router, report.stamp_ms)
        if report.placements is not None:
            self._state.apply_placements(report.placements)
        if report.news is not None:
            stamp_ms = report.news.stamps.get(self._state.settings.router, float("-inf"))
            self._feeds().receive(report.news, stamp_ms)
        if report.wanted is not None:
            self._send_copy(report.wanted)
        if report.evidence is not None:
            self._quarantine.receive(report.evidence)

    def receive_unchanged(self, stamps: dict[str, float]) -> None:
        """Apply the timestamps of routers whose summaries are unchanged."""
        now_ms = self._state.clock.now_ms
        for router in stamps:
            self._state.vouching.hear(router, now_ms)
        self._members.record_unchanged(stamps, now_ms)

    def receive_notice(self, notice: Notice) -> None:
        """Apply a notice."""
        if isinstance(notice, OriginQuery | OriginAnswer):
            self._origins.receive(notice)
        elif isinstance(notice, BriefingQuery | BriefingAnswer):
            self._feeds().briefing.receive(notice)
        elif isinstance(notice, InterruptedRequests):
            self._quarantine.receive_requests(notice)
        elif isinstance(notice, SuspectsQuery | KnownSuspects):
            self._suspects.receive(notice)
        elif isinstance(notice, LeavingEndpoints):
            self._state.notices.learn(notice)
        elif isinstance(notice, StoreLost):
            if self._members.record_store_lost(notice.router, self._state.clock.now_ms):
                self._feeds().readers_changed()
        else:
            self._warm_ups.receive(notice)

    def _record_summary(self, summary: Summary, stamp_ms: float) -> None:
        heard_ms = self._state.clock.now_ms
        member = Member(**summary._asdict(), heard_ms=heard_ms, stamp_ms=stamp_ms)
        self._members.record_summary(member)

    def _send_copy(self, wanted: CopyWanted) -> None:
        key, now_ms = f"{wanted.table}/{wanted.tries}", self._state.clock.now_ms
        if self._members.sends_copy(key, self._me(), now_ms):
            news = self._feeds().copy(wanted)
            if news is not None:
                self._publish(news)
