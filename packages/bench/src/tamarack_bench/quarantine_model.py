"""A discrete-event simulation of a fleet: routers with quarantines, crashing engines, retries.

It has no sockets and only a simulated clock; the routers' decisions are made by the product's code.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from tamarack_core.endpoint_registry import EndpointIncarnation
from tamarack_core.quarantine import Quarantine, Treatment
from tamarack_core.rendezvous import winner
from tamarack_core.termination_evidence import Evidence, InterruptedRequest, Termination

SETTLE_STEP_MS = 50.0
RESEND_MS = 15.0
MAX_SENDS = 2
RECENT_START_MS = 500.0

CONTACT_MS = 3_000.0
"""Time in milliseconds after which a running, reachable router must have the others' state."""


class ModelOptions(NamedTuple):
    """Options of a simulation.

    Attributes
    ----------
    per_s
        Unrelated requests (which crash nothing) per second, over all routers.
    guilty, guilty_gap_ms
        Number of culprits (requests that crash every engine that runs them), and the time from an
        answer to a culprit until its next repeat.
    told_ms
        Latency of a message from one router to the others.
    seen_ms
        Longest time until a router detects an endpoint's termination.
    back_ms
        Time from a termination to the endpoint's next incarnation.
    hot_part
        Fraction of the unrelated requests that are one and the same.
    failures_ms
        Times at which half of the engines fail without a culprit.
    """

    routers: int = 6
    engines: int = 9
    per_s: float = 140.0
    guilty: int = 2
    guilty_gap_ms: float = 500.0
    seconds: float = 50.0
    told_ms: float = 30.0
    seen_ms: float = 60.0
    back_ms: float = 2_000.0
    hot_part: float = 0.0
    failures_ms: tuple[float, ...] = ()
    seed: int = 1


class ModelResult(NamedTuple):
    """Result of a simulation.

    Attributes
    ----------
    ends
        Number of endpoints that a culprit crashed.
    late
        For each culprit, arrivals later than 3 s after its third arrival, from routers that had run
        for at least 3 s: younger routers can't have the state yet, and the users accept theirs.
    cut
        Unrelated sends that were cut off by a termination.
    quarantined
        Unrelated requests that were quarantined.
    served
        Fraction of the unrelated requests that were answered.
    """

    ends: int
    late: list[int]
    cut: int
    quarantined: int
    served: float


class _Arrival(NamedTuple):
    """Arrival of a culprit at an engine."""

    at_ms: float
    in_contact: bool


class _Send:
    """One send of a request to an engine."""

    def __init__(self, request: _Request, router: int, begins_ms: float) -> None:
        self.request = request
        self.router = router
        self.begins_ms = begins_ms
        self.isolated = False


class _Request:
    """One request of a caller; retries of it are new requests."""

    def __init__(self, fingerprint: str, *, guilty: bool, repeats: int) -> None:
        self.fingerprint = fingerprint
        self.guilty = guilty
        self.repeats = repeats
        self.sends = 0


class QuarantineModel:
    """Simulates a fleet with one set of options.

    Parameters
    ----------
    watching
        Whether routers consult their quarantine; without it, every request is sent.
    """

    def __init__(self, options: ModelOptions, *, watching: bool = True) -> None:
        self._options = options
        self._watching = watching
        self._random = random.Random(options.seed)
        self._now_ms = 0.0
        self._event_numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._names = [f"r{n}" for n in range(options.routers)]
        self.routers = [self._quarantine(name) for name in self._names]
        self._started_ms = [-CONTACT_MS] * options.routers
        self._incarnations = itertools.count(1)
        self._engines: dict[EndpointIncarnation, dict[int, _Send]] = {}
        self._request_numbers = itertools.count()
        self._arrivals: dict[str, list[_Arrival]] = {}
        self._counts: Counter[str] = Counter()
        self.ended_ms: list[float] = []
        for _ in range(options.engines):
            self._start_engine()

    def run(self) -> ModelResult:
        """Run the simulation to its end."""
        options = self._options
        self._schedule_at(0.0, self._send_unrelated)
        self._schedule_at(0.0, self._settle)
        for number in range(options.guilty):
            self._schedule_at(
                500.0 + 137.0 * number, partial(self._send_culprit, f"guilty{number}")
            )
        for at_ms in options.failures_ms:
            self._schedule_at(at_ms, self._fail_half)
        while self._events and self._now_ms < options.seconds * 1000:
            self._now_ms, _, callback = heapq.heappop(self._events)
            callback()
        return ModelResult(
            ends=self._counts["ends"],
            late=[_late_arrivals(arrivals) for arrivals in self._arrivals.values()],
            cut=self._counts["cut"],
            quarantined=self._counts["quarantined"],
            served=self._counts["served"] / max(1, self._counts["over"]),
        )

    def replace_router(self, number: int, *, rows: bool = True) -> None:
        """Replace a router by a fresh one, with the store's rows or without."""
        before = self.routers[number]
        fresh = self.routers[number] = self._quarantine(self._names[number])
        self._started_ms[number] = self._now_ms
        if rows:
            for request in before.unstored():
                fresh.add(request, self._now_ms, stored=True)

    def at(self, at_ms: float, callback: Callable[[], None]) -> None:
        """Schedule an event at a simulated time."""
        self._schedule_at(at_ms, callback)

    # time

    def _schedule_at(self, at_ms: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._event_numbers), callback))

    def _schedule_in(self, wait_ms: float, callback: Callable[[], None]) -> None:
        self._schedule_at(self._now_ms + wait_ms, callback)

    # routers

    def _quarantine(self, name: str) -> Quarantine:
        return Quarantine(lambda fingerprint: winner(fingerprint, self._names) == name)

    def _settle(self) -> None:
        for number, router in enumerate(self.routers):
            decisions = router.decide_due(self._now_ms)
            if decisions:
                self._publish(number, Evidence([], [], decisions))
        self._schedule_in(SETTLE_STEP_MS, self._settle)

    def _publish(self, publisher: int, evidence: Evidence) -> None:
        def receive(number: int) -> None:
            router = self.routers[number]
            for end in evidence.ends:
                router.ended(end, self._now_ms)
            router.cleared(evidence.cleared)
            for request in evidence.quarantined:
                router.add(request, self._now_ms)

        for number in range(len(self.routers)):
            if number != publisher:
                self._schedule_in(self._options.told_ms, partial(receive, number))

    # requests

    def _send_unrelated(self) -> None:
        rng = self._random
        hot = rng.random() < self._options.hot_part
        fingerprint = "hot" if hot else f"f{next(self._request_numbers)}"
        self._submit(_Request(fingerprint, guilty=False, repeats=1))
        self._schedule_in(rng.expovariate(self._options.per_s / 1000), self._send_unrelated)

    def _send_culprit(self, fingerprint: str) -> None:
        self._submit(_Request(fingerprint, guilty=True, repeats=0))

    def _submit(self, request: _Request) -> None:
        self._send(request, self._random.randrange(len(self.routers)))

    def _send(self, request: _Request, router: int) -> None:
        quarantine, isolated = self.routers[router], False
        if self._watching and quarantine.watching:
            standing = quarantine.treatment_of(request.fingerprint, "shop", self._now_ms)
            if standing.treatment is Treatment.QUARANTINED:
                self._finish(request, "quarantined")
                return
            if standing.treatment is Treatment.WAIT:
                self._schedule_in(standing.wait_ms, partial(self._send, request, router))
                return
            isolated = standing.treatment is not Treatment.FREE
        if not self._engines:
            self._finish(request, "failed")
            return
        keys = list(self._engines)
        if isolated:
            key = quarantine.choose_endpoint(request.fingerprint, keys)
            quarantine.begun(request.fingerprint, key)
        else:
            key = min(keys, key=lambda k: len(self._engines[k]) + 4 * self._random.random())
        self._run(request, router, key, isolated)

    def _run(
        self, request: _Request, router: int, key: EndpointIncarnation, isolated: bool
    ) -> None:
        request.sends += 1
        queue_ms = self._random.uniform(10.0, 400.0)
        send = _Send(request, router, self._now_ms + queue_ms)
        send.isolated = isolated
        self._engines[key][id(send)] = send
        if request.guilty:
            in_contact = self._now_ms - self._started_ms[router] >= CONTACT_MS
            arrival = _Arrival(self._now_ms, in_contact)
            self._arrivals.setdefault(request.fingerprint, []).append(arrival)
            self._schedule_in(
                queue_ms + self._random.uniform(50, 110), partial(self._crash, key, send)
            )
            return
        self._schedule_in(
            queue_ms + self._random.uniform(500, 4_000), partial(self._answer, key, send)
        )

    def _answer(self, key: EndpointIncarnation, send: _Send) -> None:
        if self._engines.get(key, {}).pop(id(send), None) is None:
            return
        router = self.routers[send.router]
        self._release(key, send)
        if router.watching and router.answered(send.request.fingerprint):
            self._publish(send.router, Evidence([], [send.request.fingerprint], []))
        self._finish(send.request, "served")

    def _release(self, key: EndpointIncarnation, send: _Send) -> None:
        if send.isolated:
            self.routers[send.router].finished(send.request.fingerprint, key)

    def _finish(self, request: _Request, outcome: str) -> None:
        if request.guilty:
            again = partial(self._send_culprit, request.fingerprint)
            self._schedule_in(self._options.guilty_gap_ms, again)
            return
        self._counts[outcome] += 1
        self._counts["over"] += 1
        if outcome == "failed" and request.repeats:
            self._counts["over"] -= 1
            repeat = _Request(request.fingerprint, guilty=False, repeats=request.repeats - 1)
            self._schedule_in(self._random.uniform(50, 500), partial(self._submit, repeat))

    # engines

    def _start_engine(self) -> None:
        number = next(self._incarnations)
        self._engines[EndpointIncarnation(f"e{number}", number)] = {}

    def _crash(self, key: EndpointIncarnation, cause: _Send) -> None:
        if id(cause) in self._engines.get(key, {}):
            self._counts["ends"] += 1
            self._terminate(key, together=False)

    def _fail_half(self) -> None:
        keys = list(self._engines)
        for key in self._random.sample(keys, (len(keys) + 1) // 2):
            self._terminate(key, together=True)

    def _terminate(self, key: EndpointIncarnation, *, together: bool) -> None:
        self.ended_ms.append(self._now_ms)
        sends = list(self._engines.pop(key).values())
        self._schedule_in(self._options.back_ms, self._start_engine)
        by_router: dict[int, list[_Send]] = {}
        for send in sends:
            by_router.setdefault(send.router, []).append(send)
        for router, own in by_router.items():
            seen_ms = self._random.uniform(0.0, self._options.seen_ms)
            self._schedule_in(
                seen_ms, partial(self._detect_termination, router, key, own, together)
            )

    def _detect_termination(
        self, router: int, key: EndpointIncarnation, sends: list[_Send], together: bool
    ) -> None:
        aboard = [
            InterruptedRequest(
                send.request.fingerprint, "shop", self._now_ms - send.begins_ms < RECENT_START_MS
            )
            for send in sends
        ]
        end = Termination(key.name, key.life, together, aboard)
        self.routers[router].ended(end, self._now_ms)
        self._publish(router, Evidence([end], [], []))
        for send in sends:
            self._release(key, send)
            self._counts["cut"] += not send.request.guilty
            if send.request.sends < MAX_SENDS:
                self._schedule_in(RESEND_MS, partial(self._send, send.request, router))
            else:
                self._finish(send.request, "failed")


def _late_arrivals(arrivals: list[_Arrival]) -> int:
    if len(arrivals) <= 3:
        return 0
    from_ms = arrivals[2].at_ms + CONTACT_MS
    return sum(arrival.in_contact and arrival.at_ms > from_ms for arrival in arrivals[3:])
