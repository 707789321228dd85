"""What other routers know that the store may have lost: a newer configuration, and evacuations.

A store that comes back from a copy says less than it had acknowledged. Routers that ran through
that keep what they know to be newer, and tell it to those that have started since.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from tamarack_core.wire import message
from tamarack_gateway.configuration_rows import ConfigurationRows
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.store_epoch import StoreEpoch

CONFIGURATION = "known/configuration"
SETTLED_EPOCH = "known/settled-epoch"
"""Names under which routers tell, beside the versions of tables, the version of the configuration
that they have in force, and the epoch of the store that is settled."""

STEP_MS = 50.0
IDLE_STEP_MS = 500.0
"""Time between two checks for something to ask, and while there is nothing to learn: each check
wakes the event loop."""

ASK_GAP_MS = 200.0
ASK_GAP_PER_ROUTER_MS = 5.0
"""Time between two questions, at least and for each router of the fleet; others hear a router only
some time after it has started."""

START_MS = 1_500.0
"""Longest time for which a router that has just started waits for answers before it takes callers:
the others subscribe to it within half a second of its row."""

BEHIND_MS = 300.0
"""Time for which the store may not show a newer configuration that others tell of, before these are
asked for it; routers that call the store read a change a quarter of a second apart."""


@message(78)
class BriefingQuery(NamedTuple):
    """Question of a router that has the configuration `version` in force."""

    router: str
    number: int
    version: int


@message(79)
class BriefingAnswer(NamedTuple):
    """Answer to a question of the router `asker`.

    Attributes
    ----------
    configuration
        The row of the configuration in force, if it is newer than the asker's.
    evacuated
        Failure domains that are evacuated.
    """

    router: str
    asker: str
    number: int
    configuration: bytes | None
    evacuated: list[str]


class Briefing:
    """Asks the others what the store may have lost, and answers them.

    Parameters
    ----------
    publish
        Called with questions and answers for the other routers.

    Attributes
    ----------
    answers
        Returns whether this router answers questions; in a large fleet only relays do.
    is_large
        Returns whether the fleet is large, so that one answer is enough.
    on_settle
        Called when somebody vouches that the store's epoch is not a recent one.
    """

    def __init__(
        self,
        state: FleetState,
        epoch: StoreEpoch,
        configuration: ConfigurationRows,
        *,
        publish: Callable[[BriefingQuery | BriefingAnswer], None],
    ) -> None:
        self._state = state
        self._epoch = epoch
        self._configuration = configuration
        self._publish = publish
        self._asked = 0
        self._asked_ms = float("-inf")
        self._behind_since_ms: float | None = None
        self._answered: set[str] = set()
        self._briefed_epoch = 0
        self._was_complete = False
        self.answers: Callable[[], bool] = lambda: True
        self.is_large: Callable[[], bool] = lambda: False
        self.on_settle: Callable[[], None] = lambda: None
        state.is_briefed = self.complete

    @property
    def versions(self) -> dict[str, int]:
        """What this router tells the others beside the versions of its tables."""
        settled = self._epoch.known and not self._epoch.catching_up
        return {CONFIGURATION: self._version, SETTLED_EPOCH: self._epoch.current if settled else 0}

    @property
    def _version(self) -> int:
        rules = self._state.rules
        return rules.version if rules is not None else 0

    def complete(self) -> bool:
        """Whether this router knows what it may learn from others before it takes callers.

        It asks only as long as the store may have been restored just before its start. One that
        takes callers keeps taking them when it sees a restore: what it read before is no older.
        """
        if not self._was_complete:
            complete = not self._epoch.catching_up or self._has_waited or self._is_answered()
            if not self._epoch.known:
                return complete
            self._was_complete = complete
        return self._was_complete

    @property
    def _has_waited(self) -> bool:
        return self._state.clock.now_ms - self._state.vouching.started_ms >= START_MS

    def _is_answered(self) -> bool:
        if self._epoch.current != self._briefed_epoch:
            self._briefed_epoch, self._answered = self._epoch.current, set()
        if self.is_large():
            return bool(self._answered)
        # The copy may lack the row of a router that has not written it again yet.
        listed = self._state.vouching.listed
        return bool(listed) and self._answered >= (listed or set())

    def settle(self, reason: str) -> None:
        """Record that the store's epoch is not a recent one, as somebody else vouches."""
        if self._epoch.catching_up:
            self._state.vouching.settle()
            self._state.log.change(
                "store not restored lately", epoch=self._epoch.current, reason=reason
            )
            self.on_settle()
            self._configuration.confirm_keys()

    def record_versions(self, versions: dict[str, int]) -> None:
        """Record what another router tells beside the versions of its tables."""
        told = versions.get(CONFIGURATION, 0)
        self._configuration.newest_told = max(self._configuration.newest_told, told)
        if self._epoch.known and versions.get(SETTLED_EPOCH, 0) == self._epoch.current:
            self.settle("told by another router")

    def receive(self, note: BriefingQuery | BriefingAnswer) -> None:
        """Answer a question of another router, or apply an answer."""
        router = self._state.settings.router
        if isinstance(note, BriefingQuery):
            if note.router != router and self.answers():
                self._publish(self._answer(note))
        elif note.asker == router:
            if not self._is_answered():
                self._answered.add(note.router)
            if note.configuration is not None:
                self._configuration.put_told(note.configuration)
            if self._epoch.catching_up:
                for domain in note.evacuated:
                    self._state.evacuate(domain)

    async def run(self) -> None:
        """Ask while there is something to learn; runs until cancelled."""
        while True:
            await asyncio.sleep((STEP_MS if self._may_learn else IDLE_STEP_MS) / 1000)
            now_ms = self._state.clock.now_ms
            if self._is_due(now_ms):
                self._asked, self._asked_ms = self._asked + 1, now_ms
                router = self._state.settings.router
                self._publish(BriefingQuery(router, self._asked, self._version))

    @property
    def _may_learn(self) -> bool:
        behind = self._version < self._configuration.newest_told
        # Not every store names epochs.
        unanswered = self._state.rules is None and not self._epoch.known
        return behind or unanswered or self._epoch.catching_up

    def _is_due(self, now_ms: float) -> bool:
        if self._version >= self._configuration.newest_told:
            self._behind_since_ms = None
        elif self._behind_since_ms is None:
            self._behind_since_ms = now_ms
        behind = self._behind_since_ms is not None and now_ms - self._behind_since_ms >= BEHIND_MS
        gap_ms = max(ASK_GAP_MS, ASK_GAP_PER_ROUTER_MS * self._state.allowance.routers)
        return (behind or self._lacks_answers(now_ms)) and now_ms - self._asked_ms >= gap_ms

    def _lacks_answers(self, now_ms: float) -> bool:
        vouching = self._state.vouching
        if not self._epoch.catching_up or now_ms - vouching.epoch_ms >= START_MS:
            return False
        # One that has seen the restore asks as well: another may have read the last change alone.
        # In a large fleet all would ask at once.
        new = now_ms - vouching.started_ms < START_MS
        return (new or not self.is_large()) and not self._is_answered()

    def _answer(self, query: BriefingQuery) -> BriefingAnswer:
        newer = self._version > query.version
        return BriefingAnswer(
            self._state.settings.router,
            query.router,
            query.number,
            self._configuration.value if newer else None,
            sorted(self._state.evacuations.domains),
        )
