"""Requests under which endpoints end: who is suspected, tried apart, and quarantined.

An endpoint that ends takes with it all that it runs, up to 64 requests here, of which most are
innocent and are sent again. So an end by itself convicts nobody: whoever was there becomes a
suspect, and one that has met several ends is sent to an endpoint apart from other such suspects.
An end there, with it as the only one, convicts it. A whole answer clears it: what ends whoever runs
it is never answered.

All routers tell each other of the ends that they see, and each comes to its verdicts by itself from
the same evidence; verdicts are told, too, and kept in the platform's store.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple, TypeVar

from tamarack_core.end_evidence import End, QuarantinedRequest
from tamarack_core.endpoint_book import EndpointLife
from tamarack_core.quarantine_records import (
    USUAL_BOUNDS,
    OpenEnd,
    QuarantineBounds,
    Quarantined,
    QuarantinedReading,
    Suspect,
    SuspectReading,
)
from tamarack_core.rendezvous import score
from tamarack_core.workspace_table import WorkspaceTable

Key = TypeVar("Key")

APART_WEIGHT = 2.0
"""Ends met from which a suspect is sent apart from others. With one, all that an endpoint ran would
be, at each end."""

SURE_FACTOR = 2.0
"""Times the ends that make a verdict from which one is given whoever else was there: suspects that
always meet, or ends that always come together, must not keep one going for ever."""

LATE_WEIGHT = 0.25
"""What an end counts against a request that had run for a while, where others had only begun: one
that ends endpoints late is still quarantined, by a few more ends."""

TOGETHER_WEIGHT = 0.5
"""What an end counts that came together with another's, as in a failure of machines. Five of them,
as in the users' series of mass failures, stay below what quarantines a request."""

SETTLE_MS = 400.0
"""Time from the first word of an end to the verdict on it: other routers tell within some 30 ms of
what they had there, by relays within 0.2 s, and some see it 0.1 s later."""

FORGET_MS = 3_600_000.0
"""Time after its last end that a suspect is remembered; one that comes each half hour is found."""

MANY_QUARANTINED = 8
"""Quarantined requests of one workspace from which its others are tried apart before they meet an
end: whoever sends many kinds of them is not given three endpoints for each."""

MOST_SUSPECTS, MOST_SUSPECTS_OF_ONE = 4_096, 512
MOST_QUARANTINED, MOST_QUARANTINED_OF_ONE = 1_024, 64
"""Requests in the tables, and of one workspace: some 2 MB in all. A mass failure of eight engines
with 64 requests each makes 512 suspects."""

MOST_ENDS = 256
"""Ends that await their verdict; more than the largest site has engines."""

BUSY_WAIT_MS = 50.0
"""Time after which a repeat of a suspect that is being tried here is looked at again."""


class Treatment(Enum):
    """What becomes of a request before it is sent."""

    FREE = "free"
    APART = "apart"
    TRIAL = "trial"
    WAIT = "wait"
    QUARANTINED = "quarantined"


class Standing(NamedTuple):
    """How a request is treated; `wait_ms` is the time until it should be looked at again."""

    treatment: Treatment
    wait_ms: float = 0.0


FREE = Standing(Treatment.FREE)


class Quarantine:
    """The evidence and the verdicts of one router.

    Parameters
    ----------
    tries
        Tells whether this router is the one that tries a quarantined request again.

    Attributes
    ----------
    refused, ends_seen
        How often a request was quarantined, and how many ends this router heard of.
    yielded
        Quarantined requests that gave way to others, until somebody takes them out of the store.
    """

    def __init__(
        self, tries: Callable[[str], bool], bounds: QuarantineBounds = USUAL_BOUNDS
    ) -> None:
        self._tries = tries
        self._bounds = bounds
        self._ends: dict[EndpointLife, OpenEnd] = {}
        self._settled: dict[EndpointLife, float] = {}
        self._suspects: WorkspaceTable[Suspect] = WorkspaceTable(
            most=MOST_SUSPECTS, most_of_one=MOST_SUSPECTS_OF_ONE
        )
        self._entries: WorkspaceTable[Quarantined] = WorkspaceTable(
            most=MOST_QUARANTINED, most_of_one=MOST_QUARANTINED_OF_ONE
        )
        self._waiting: Counter[str] = Counter()
        self._running: Counter[str] = Counter()
        self._places: Counter[EndpointLife] = Counter()
        self.refused = 0
        self.ends_seen = 0
        self.yielded: list[str] = []

    @property
    def watching(self) -> bool:
        """Whether any request has to be looked at; while not, none needs a fingerprint."""
        return bool(self._suspects or self._entries or self._ends)

    # evidence

    def ended(self, end: End, now_ms: float) -> None:
        """Take in an end as a router saw it; several may tell of the same."""
        if end.key in self._settled:
            # Whoever tells of it later than all others tells of requests that were not looked at.
            return
        known = self._ends.get(end.key)
        if known is None:
            if len(self._ends) >= MOST_ENDS:
                return
            known = self._ends[end.key] = OpenEnd(now_ms)
            self.ends_seen += 1
        known.together = known.together or end.together
        for fingerprint, workspace, early in end.aboard:
            before = known.aboard.get(fingerprint)
            if before is None:
                self._waiting[fingerprint] += 1
                self._suspect(fingerprint, workspace, now_ms)
            known.aboard[fingerprint] = early or bool(before)

    def answered(self, fingerprint: str) -> bool:
        """Take in that a request was answered whole; returns whether others should know."""
        if fingerprint in self._entries:
            self._entries.pop(fingerprint)
            self._clear(fingerprint)
            return True
        suspect = self._suspects.get(fingerprint)
        self._clear(fingerprint)
        return suspect is not None

    def cleared(self, fingerprints: list[str]) -> None:
        """Take in that suspects were answered whole elsewhere."""
        for fingerprint in fingerprints:
            self._entries.pop(fingerprint)
            self._clear(fingerprint)

    def settle(self, now_ms: float) -> list[QuarantinedRequest]:
        """Give the verdicts that are due; returns what is quarantined from now on."""
        due = [key for key, end in self._ends.items() if now_ms - end.first_ms >= SETTLE_MS]
        verdicts: list[QuarantinedRequest] = []
        for key in due:
            end = self._ends.pop(key)
            self._settled[key] = now_ms
            verdicts += self._judge(end, now_ms)
        if due:
            self._forget(now_ms)
        return verdicts

    @property
    def next_verdict_ms(self) -> float | None:
        """When the next verdict is due; None while none is."""
        return min((end.first_ms + SETTLE_MS for end in self._ends.values()), default=None)

    # verdicts

    def take_in(self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False) -> bool:
        """Quarantine a request by another's verdict; returns whether that is new."""
        known = self._entries.get(request.fingerprint)
        if known is not None and known.trials >= request.trials:
            known.stored = known.stored or (stored and known.trials == request.trials)
            return False
        self._put(request, now_ms, stored=stored)
        return True

    def contains(self, fingerprint: str) -> bool:
        """Whether a request is quarantined."""
        return fingerprint in self._entries

    def release(self, fingerprint: str) -> bool:
        """Release a request; returns whether it was."""
        self._clear(fingerprint)
        return self._entries.pop(fingerprint) is not None

    def keep_stored(self, fingerprints: set[str]) -> list[str]:
        """Release what the store no longer lists, but not what was never written there."""
        gone = [f for f, entry in self._entries.items() if entry.stored and f not in fingerprints]
        for fingerprint in gone:
            self.release(fingerprint)
        return gone

    def mark_stored(self, request: QuarantinedRequest) -> None:
        """Take in that the store lists a quarantined request."""
        entry = self._entries.get(request.fingerprint)
        if entry is not None and entry.trials == request.trials:
            entry.stored = True

    def unstored(self) -> list[QuarantinedRequest]:
        """Quarantined requests that the store does not list as they are."""
        return [
            QuarantinedRequest(fingerprint, entry.workspace, entry.trials)
            for fingerprint, entry in self._entries.items()
            if not entry.stored
        ]

    # requests

    def look(self, fingerprint: str, workspace: str, now_ms: float) -> Standing:
        """How to treat a request now; asked again before each send."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            return self._look_at_entry(fingerprint, entry, now_ms)
        suspect = self._suspects.get(fingerprint)
        weight = self._prior(workspace) + (suspect.weight if suspect is not None else 0.0)
        waiting = self._waiting.get(fingerprint, 0)
        if weight + waiting < APART_WEIGHT:
            return FREE
        if waiting and weight + waiting >= self._bounds.ends:
            return Standing(Treatment.WAIT, self._verdict_in_ms(fingerprint, now_ms))
        if self._running[fingerprint]:
            return Standing(Treatment.WAIT, BUSY_WAIT_MS)
        return Standing(Treatment.APART)

    def begun(self, fingerprint: str, key: EndpointLife) -> None:
        """Take in that a request is sent apart."""
        self._running[fingerprint] += 1
        self._places[key] += 1

    def finished(self, fingerprint: str, key: EndpointLife) -> None:
        """Take in that such a send has ended; called once for each `begun`."""
        _take_one(self._running, fingerprint)
        _take_one(self._places, key)

    def place(self, fingerprint: str, keys: list[EndpointLife]) -> EndpointLife:
        """The endpoint at which to try a suspect, of some.

        One where no other suspect is being tried by this router; among these by hashing, so that
        all routers take different endpoints for different suspects without a word, and the same
        for repeats of one.
        """
        return max(keys, key=lambda key: (key not in self._places, score(fingerprint, key.name)))

    # readings

    @property
    def quarantined_count(self) -> int:
        """How many requests are quarantined."""
        return len(self._entries)

    @property
    def suspect_count(self) -> int:
        """How many requests met ends and were not answered whole since."""
        return len(self._suspects)

    def entries(self, now_ms: float) -> list[QuarantinedReading]:
        """All quarantined requests, the newest last."""
        first_pause_ms = self._bounds.first_pause_ms
        return [
            QuarantinedReading(
                fingerprint,
                entry.workspace,
                entry.trials,
                entry.stored,
                round(entry.tried_at_ms(first_pause_ms) - now_ms),
            )
            for fingerprint, entry in self._entries.items()
        ]

    def suspects(self, most: int) -> list[SuspectReading]:
        """The suspects that met most ends."""
        readings = [
            SuspectReading(fingerprint, suspect.workspace, round(suspect.weight, 2), suspect.ends)
            for fingerprint, suspect in self._suspects.items()
        ]
        return sorted(readings, key=lambda reading: reading.weight, reverse=True)[:most]

    # inside

    def _suspect(self, fingerprint: str, workspace: str, now_ms: float) -> None:
        suspect = self._suspects.get(fingerprint) or Suspect(workspace)
        suspect.last_ms = now_ms
        for yielded in self._suspects.put(fingerprint, workspace, suspect):
            self._waiting.pop(yielded, None)

    def _clear(self, fingerprint: str) -> None:
        # Also of ends on which there is no verdict yet: an answer proves more than being there.
        self._suspects.pop(fingerprint)
        if self._waiting.pop(fingerprint, 0):
            for end in self._ends.values():
                end.aboard.pop(fingerprint, None)

    def _prior(self, workspace: str) -> float:
        return APART_WEIGHT if self._entries.count(workspace) >= MANY_QUARANTINED else 0.0

    def _verdict_in_ms(self, fingerprint: str, now_ms: float) -> float:
        times = [end.first_ms for end in self._ends.values() if fingerprint in end.aboard]
        return max(1.0, max(times, default=now_ms) + SETTLE_MS - now_ms)

    def _look_at_entry(self, fingerprint: str, entry: Quarantined, now_ms: float) -> Standing:
        too_soon = now_ms < entry.tried_at_ms(self._bounds.first_pause_ms)
        if too_soon or not self._tries(fingerprint):
            self.refused += 1
            return Standing(Treatment.QUARANTINED)
        # This one is the trial; whatever comes meanwhile is quarantined as before.
        entry.since_ms, entry.on_trial = now_ms, True
        return Standing(Treatment.TRIAL)

    def _judge(self, end: OpenEnd, now_ms: float) -> list[QuarantinedRequest]:
        for fingerprint in end.aboard:
            _take_one(self._waiting, fingerprint)
        known = [(f, entry) for f in end.aboard if (entry := self._entries.get(f)) is not None]
        if known:
            # That explains the end; nobody else is to blame for it.
            return [self._tried_in_vain(f, entry, now_ms) for f, entry in known if entry.on_trial]
        early = {f for f, is_early in end.aboard.items() if is_early} or set(end.aboard)
        suspected = {f for f in early if self._weight(f) >= APART_WEIGHT}
        for fingerprint in end.aboard:
            self._weigh(fingerprint, end, early=fingerprint in early)
        sole = not end.together and len(suspected) == 1
        return [
            self._convict(f, now_ms)
            for f in early
            if self._weight(f) >= SURE_FACTOR * self._bounds.ends
            or (sole and f in suspected and self._weight(f) >= self._bounds.ends)
        ]

    def _weight(self, fingerprint: str) -> float:
        suspect = self._suspects.get(fingerprint)
        return 0.0 if suspect is None else suspect.weight + self._prior(suspect.workspace)

    def _weigh(self, fingerprint: str, end: OpenEnd, *, early: bool) -> None:
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return
        whole = TOGETHER_WEIGHT if end.together else 1.0
        suspect.weight += whole * (1.0 if early else LATE_WEIGHT)
        suspect.ends += 1

    def _convict(self, fingerprint: str, now_ms: float) -> QuarantinedRequest:
        suspect = self._suspects.get(fingerprint)
        workspace = suspect.workspace if suspect is not None else ""
        return self._put(QuarantinedRequest(fingerprint, workspace, 0), now_ms)

    def _tried_in_vain(
        self, fingerprint: str, entry: Quarantined, now_ms: float
    ) -> QuarantinedRequest:
        request = QuarantinedRequest(fingerprint, entry.workspace, entry.trials + 1)
        return self._put(request, now_ms)

    def _put(
        self, request: QuarantinedRequest, now_ms: float, *, stored: bool = False
    ) -> QuarantinedRequest:
        entry = Quarantined(request.workspace, request.trials, now_ms)
        entry.stored = stored
        self._suspects.pop(request.fingerprint)
        self.yielded += self._entries.put(request.fingerprint, request.workspace, entry)
        return request

    def _forget(self, now_ms: float) -> None:
        past_ms = now_ms - SETTLE_MS * 10
        self._settled = {key: at for key, at in self._settled.items() if at > past_ms}
        for fingerprint, suspect in self._suspects.items():
            if now_ms - suspect.last_ms > FORGET_MS:
                self._suspects.pop(fingerprint)


def _take_one(counts: Counter[Key], key: Key) -> None:
    """Count one less of a key, which goes with its last."""
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]
