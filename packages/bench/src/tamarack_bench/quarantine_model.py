"""A fleet in a model: routers with a quarantine each, engines that end, and callers that repeat.

No sockets and no clock but the model's own; what the routers decide is the product's code.
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
MOST_SENDS = 2
EARLY_MS = 500.0

CONTACT_MS = 3_000.0
"""Time after which a router that runs and is reached has to know what the others know."""


class ModelOptions(NamedTuple):
    """What is played.

    Attributes
    ----------
    per_s
        Innocent requests a second, over all routers.
    guilty, guilty_gap_ms
        Requests that end whoever runs them, and the time from one answer to the next repeat.
    told_ms
        Time from one router to the others.
    seen_ms
        Latest time at which a router sees that an endpoint has ended.
    back_ms
        Time from an end to the endpoint's next life.
    hot_part
        Part of the innocent requests that are one and the same.
    failures_ms
        Times at which half of the engines end by themselves.
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
    """What came of it.

    Attributes
    ----------
    ends
        Endpoints that a request ended.
    late
        For each guilty request, arrivals later than 3 s after it had ended its third endpoint, from
        routers that had run for 3 s at least: others cannot know yet, and the users excuse them.
    cut
        Innocent sends that were cut by an end.
    quarantined
        Innocent requests that were quarantined.
    served
        Part of the innocent requests that were answered.
    """

    ends: int
    late: list[int]
    cut: int
    quarantined: int
    served: float


class _Arrival(NamedTuple):
    """A guilty request as it reached an engine."""

    at_ms: float
    in_touch: bool


class _Send:
    """One request at one engine."""

    def __init__(self, request: _Request, router: int, begins_ms: float) -> None:
        self.request = request
        self.router = router
        self.begins_ms = begins_ms
        self.apart = False


class _Request:
    """One attempt of a caller."""

    def __init__(self, fingerprint: str, *, guilty: bool, repeats: int) -> None:
        self.fingerprint = fingerprint
        self.guilty = guilty
        self.repeats = repeats
        self.sends = 0


class QuarantineModel:
    """Plays one set of options.

    Parameters
    ----------
    watching
        Whether routers ask their quarantine; without it, every request is sent.
    """

    def __init__(self, options: ModelOptions, *, watching: bool = True) -> None:
        self._options = options
        self._watching = watching
        self._random = random.Random(options.seed)
        self._now_ms = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._names = [f"r{n}" for n in range(options.routers)]
        self.routers = [self._quarantine(name) for name in self._names]
        self._started_ms = [-CONTACT_MS] * options.routers
        self._lives = itertools.count(1)
        self._engines: dict[EndpointIncarnation, dict[int, _Send]] = {}
        self._numbers = itertools.count()
        self._arrivals: dict[str, list[_Arrival]] = {}
        self._counts: Counter[str] = Counter()
        self.ended_ms: list[float] = []
        for _ in range(options.engines):
            self._come_back()

    def run(self) -> ModelResult:
        """Play it to its end."""
        options = self._options
        self._at(0.0, self._innocent)
        self._at(0.0, self._settle)
        for number in range(options.guilty):
            self._at(500.0 + 137.0 * number, partial(self._guilty, f"guilty{number}"))
        for at_ms in options.failures_ms:
            self._at(at_ms, self._fail_half)
        while self._events and self._now_ms < options.seconds * 1000:
            self._now_ms, _, act = heapq.heappop(self._events)
            act()
        return ModelResult(
            ends=self._counts["ends"],
            late=[_late(arrivals) for arrivals in self._arrivals.values()],
            cut=self._counts["cut"],
            quarantined=self._counts["quarantined"],
            served=self._counts["served"] / max(1, self._counts["over"]),
        )

    def replace_router(self, number: int, *, rows: bool = True) -> None:
        """Have a router start anew, with the rows of the store or without."""
        before = self.routers[number]
        fresh = self.routers[number] = self._quarantine(self._names[number])
        self._started_ms[number] = self._now_ms
        if rows:
            for request in before.unstored():
                fresh.add(request, self._now_ms, stored=True)

    def at(self, at_ms: float, act: Callable[[], None]) -> None:
        """Have something happen at a time."""
        self._at(at_ms, act)

    # time

    def _at(self, at_ms: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), act))

    def _in(self, wait_ms: float, act: Callable[[], None]) -> None:
        self._at(self._now_ms + wait_ms, act)

    # routers

    def _quarantine(self, name: str) -> Quarantine:
        return Quarantine(lambda fingerprint: winner(fingerprint, self._names) == name)

    def _settle(self) -> None:
        for number, router in enumerate(self.routers):
            verdicts = router.decide_due(self._now_ms)
            if verdicts:
                self._tell(number, Evidence([], [], verdicts))
        self._in(SETTLE_STEP_MS, self._settle)

    def _tell(self, teller: int, evidence: Evidence) -> None:
        def hear(number: int) -> None:
            router = self.routers[number]
            for end in evidence.ends:
                router.ended(end, self._now_ms)
            router.cleared(evidence.cleared)
            for request in evidence.quarantined:
                router.add(request, self._now_ms)

        for number in range(len(self.routers)):
            if number != teller:
                self._in(self._options.told_ms, partial(hear, number))

    # requests

    def _innocent(self) -> None:
        draw = self._random
        hot = draw.random() < self._options.hot_part
        fingerprint = "hot" if hot else f"f{next(self._numbers)}"
        self._ask(_Request(fingerprint, guilty=False, repeats=1))
        self._in(draw.expovariate(self._options.per_s / 1000), self._innocent)

    def _guilty(self, fingerprint: str) -> None:
        self._ask(_Request(fingerprint, guilty=True, repeats=0))

    def _ask(self, request: _Request) -> None:
        self._send(request, self._random.randrange(len(self.routers)))

    def _send(self, request: _Request, router: int) -> None:
        quarantine, apart = self.routers[router], False
        if self._watching and quarantine.watching:
            standing = quarantine.treatment_of(request.fingerprint, "shop", self._now_ms)
            if standing.treatment is Treatment.QUARANTINED:
                self._over(request, "quarantined")
                return
            if standing.treatment is Treatment.WAIT:
                self._in(standing.wait_ms, partial(self._send, request, router))
                return
            apart = standing.treatment is not Treatment.FREE
        if not self._engines:
            self._over(request, "failed")
            return
        keys = list(self._engines)
        if apart:
            key = quarantine.choose_endpoint(request.fingerprint, keys)
            quarantine.begun(request.fingerprint, key)
        else:
            key = min(keys, key=lambda k: len(self._engines[k]) + 4 * self._random.random())
        self._run(request, router, key, apart)

    def _run(self, request: _Request, router: int, key: EndpointIncarnation, apart: bool) -> None:
        request.sends += 1
        queue_ms = self._random.uniform(10.0, 400.0)
        send = _Send(request, router, self._now_ms + queue_ms)
        send.apart = apart
        self._engines[key][id(send)] = send
        if request.guilty:
            in_touch = self._now_ms - self._started_ms[router] >= CONTACT_MS
            arrival = _Arrival(self._now_ms, in_touch)
            self._arrivals.setdefault(request.fingerprint, []).append(arrival)
            self._in(queue_ms + self._random.uniform(50, 110), partial(self._end, key, send))
            return
        self._in(queue_ms + self._random.uniform(500, 4_000), partial(self._answer, key, send))

    def _answer(self, key: EndpointIncarnation, send: _Send) -> None:
        if self._engines.get(key, {}).pop(id(send), None) is None:
            return
        router = self.routers[send.router]
        self._leave(key, send)
        if router.watching and router.answered(send.request.fingerprint):
            self._tell(send.router, Evidence([], [send.request.fingerprint], []))
        self._over(send.request, "served")

    def _leave(self, key: EndpointIncarnation, send: _Send) -> None:
        if send.apart:
            self.routers[send.router].finished(send.request.fingerprint, key)

    def _over(self, request: _Request, outcome: str) -> None:
        if request.guilty:
            again = partial(self._guilty, request.fingerprint)
            self._in(self._options.guilty_gap_ms, again)
            return
        self._counts[outcome] += 1
        self._counts["over"] += 1
        if outcome == "failed" and request.repeats:
            self._counts["over"] -= 1
            repeat = _Request(request.fingerprint, guilty=False, repeats=request.repeats - 1)
            self._in(self._random.uniform(50, 500), partial(self._ask, repeat))

    # engines

    def _come_back(self) -> None:
        number = next(self._lives)
        self._engines[EndpointIncarnation(f"e{number}", number)] = {}

    def _end(self, key: EndpointIncarnation, cause: _Send) -> None:
        if id(cause) in self._engines.get(key, {}):
            self._counts["ends"] += 1
            self._break(key, together=False)

    def _fail_half(self) -> None:
        keys = list(self._engines)
        for key in self._random.sample(keys, (len(keys) + 1) // 2):
            self._break(key, together=True)

    def _break(self, key: EndpointIncarnation, *, together: bool) -> None:
        self.ended_ms.append(self._now_ms)
        sends = list(self._engines.pop(key).values())
        self._in(self._options.back_ms, self._come_back)
        by_router: dict[int, list[_Send]] = {}
        for send in sends:
            by_router.setdefault(send.router, []).append(send)
        for router, own in by_router.items():
            seen_ms = self._random.uniform(0.0, self._options.seen_ms)
            self._in(seen_ms, partial(self._see, router, key, own, together))

    def _see(
        self, router: int, key: EndpointIncarnation, sends: list[_Send], together: bool
    ) -> None:
        aboard = [
            InterruptedRequest(
                send.request.fingerprint, "shop", self._now_ms - send.begins_ms < EARLY_MS
            )
            for send in sends
        ]
        end = Termination(key.name, key.life, together, aboard)
        self.routers[router].ended(end, self._now_ms)
        self._tell(router, Evidence([end], [], []))
        for send in sends:
            self._leave(key, send)
            self._counts["cut"] += not send.request.guilty
            if send.request.sends < MOST_SENDS:
                self._in(RESEND_MS, partial(self._send, send.request, router))
            else:
                self._over(send.request, "failed")


def _late(arrivals: list[_Arrival]) -> int:
    if len(arrivals) <= 3:
        return 0
    from_ms = arrivals[2].at_ms + CONTACT_MS
    return sum(arrival.in_touch and arrival.at_ms > from_ms for arrival in arrivals[3:])
