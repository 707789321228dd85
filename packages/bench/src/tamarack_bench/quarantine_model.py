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
from tamarack_core.termination_evidence import (
    Evidence,
    InterruptedRequest,
    InterruptedTraits,
    Termination,
)

SETTLE_STEP_MS = 50.0
RESEND_MS = 15.0
MAX_SENDS = 2
RECENT_START_MS = 500.0

FIRST_BLOCK = "block-first"
BLOCKS = 40
"""The block that all prompts begin with, and the number of different second ones."""

CONTACT_MS = 3_000.0
"""Time in milliseconds after which a running, reachable router must have the others' state."""


class ModelOptions(NamedTuple):
    """Options of a simulation.

    Attributes
    ----------
    per_s
        Unrelated requests (which crash nothing) per second, over all routers.
    culprits, culprit_interval_ms
        Number of culprits (requests that crash every engine that runs them), and the time from an
        answer to a culprit until its next repeat.
    message_latency_ms
        Latency of a message from one router to the others.
    max_detection_ms
        Longest time until a router detects an endpoint's termination.
    restart_ms
        Time from a termination to the endpoint's next incarnation.
    hot_fraction
        Fraction of the unrelated requests that are one and the same.
    failures_ms
        Times at which half of the engines fail without a culprit.
    blocks
        Whether prompts consist of blocks. Culprits are then requests that are new each time and
        share one block; all requests share the first block.
    """

    routers: int = 6
    engines: int = 9
    per_s: float = 140.0
    culprits: int = 2
    culprit_interval_ms: float = 500.0
    seconds: float = 50.0
    message_latency_ms: float = 30.0
    max_detection_ms: float = 60.0
    restart_ms: float = 2_000.0
    hot_fraction: float = 0.0
    failures_ms: tuple[float, ...] = ()
    blocks: bool = False
    seed: int = 1


class ModelResult(NamedTuple):
    """Result of a simulation.

    Attributes
    ----------
    ends
        Number of endpoints that a culprit crashed.
    late_arrivals
        For each culprit, arrivals later than 3 s after its third arrival, or fifth one of a block,
        from routers that had run for at least 3 s: younger routers can't have the state yet, and
        the users accept theirs.
    cut
        Unrelated sends that were cut off by a termination.
    quarantined
        Unrelated requests that were quarantined.
    served
        Fraction of the unrelated requests that were answered.
    """

    ends: int
    late_arrivals: list[int]
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
        self.isolated_for = ""


class _Request:
    """One request of a caller; retries of it are new requests.

    Attributes
    ----------
    culprit
        Name of the culprit that it is, or has as a block; empty if it crashes nothing.
    """

    def __init__(
        self, fingerprint: str, *, culprit: str = "", repeats: int, blocks: tuple[str, ...] = ()
    ) -> None:
        self.fingerprint = fingerprint
        self.culprit = culprit
        self.repeats = repeats
        self.blocks = blocks
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
        for number in range(options.culprits):
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
            late_arrivals=[
                _late_arrivals(arrivals, 5 if options.blocks else 3)
                for arrivals in self._arrivals.values()
            ],
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

    def _publish(
        self,
        publisher: int,
        evidence: Evidence,
        traits: dict[str, InterruptedTraits] | None = None,
    ) -> None:
        def receive(number: int) -> None:
            router = self.routers[number]
            router.record_requests(traits or {}, self._now_ms)
            for end in evidence.ends:
                router.ended(end, self._now_ms)
            router.cleared(evidence.cleared)
            for request in evidence.quarantined:
                router.add(request, self._now_ms)

        for number in range(len(self.routers)):
            if number != publisher:
                self._schedule_in(self._options.message_latency_ms, partial(receive, number))

    # requests

    def _send_unrelated(self) -> None:
        rng = self._random
        hot = rng.random() < self._options.hot_fraction
        fingerprint = "hot" if hot else f"f{next(self._request_numbers)}"
        blocks = (FIRST_BLOCK, f"block-{rng.randrange(BLOCKS)}") if self._options.blocks else ()
        self._submit(_Request(fingerprint, repeats=1, blocks=blocks))
        self._schedule_in(rng.expovariate(self._options.per_s / 1000), self._send_unrelated)

    def _send_culprit(self, name: str) -> None:
        if not self._options.blocks:
            self._submit(_Request(name, culprit=name, repeats=0))
            return
        fingerprint, blocks = f"f{next(self._request_numbers)}", (FIRST_BLOCK, f"block-{name}")
        self._submit(_Request(fingerprint, culprit=name, repeats=0, blocks=blocks))

    def _submit(self, request: _Request) -> None:
        self._send(request, self._random.randrange(len(self.routers)))

    def _send(self, request: _Request, router: int) -> None:
        quarantine, isolated_for = self.routers[router], ""
        if self._watching and quarantine.watching:
            standing = quarantine.treatment_of(
                request.fingerprint, "shop", self._now_ms, request.blocks
            )
            if standing.treatment is Treatment.QUARANTINED:
                self._finish(request, "quarantined")
                return
            if standing.treatment is Treatment.WAIT:
                self._schedule_in(standing.wait_ms, partial(self._send, request, router))
                return
            isolated_for = standing.suspects
        if not self._engines:
            self._finish(request, "failed")
            return
        keys = list(self._engines)
        if isolated_for:
            key = quarantine.choose_endpoint(isolated_for, keys)
            quarantine.begun(isolated_for, key)
        else:
            key = min(keys, key=lambda k: len(self._engines[k]) + 4 * self._random.random())
        self._run(request, router, key, isolated_for)

    def _run(
        self, request: _Request, router: int, key: EndpointIncarnation, isolated_for: str
    ) -> None:
        request.sends += 1
        queue_ms = self._random.uniform(10.0, 400.0)
        send = _Send(request, router, self._now_ms + queue_ms)
        send.isolated_for = isolated_for
        self._engines[key][id(send)] = send
        if request.culprit:
            in_contact = self._now_ms - self._started_ms[router] >= CONTACT_MS
            arrival = _Arrival(self._now_ms, in_contact)
            self._arrivals.setdefault(request.culprit, []).append(arrival)
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
        router, request = self.routers[send.router], send.request
        self._release(key, send)
        if router.watching and (cleared := router.answered(request.fingerprint, request.blocks)):
            self._publish(send.router, Evidence([], cleared, []))
        self._finish(send.request, "served")

    def _release(self, key: EndpointIncarnation, send: _Send) -> None:
        if send.isolated_for:
            self.routers[send.router].finished(send.isolated_for, key)

    def _finish(self, request: _Request, outcome: str) -> None:
        if request.culprit:
            again = partial(self._send_culprit, request.culprit)
            self._schedule_in(self._options.culprit_interval_ms, again)
            return
        self._counts[outcome] += 1
        self._counts["over"] += 1
        if outcome == "failed" and request.repeats:
            self._counts["over"] -= 1
            repeat = _Request(
                request.fingerprint, repeats=request.repeats - 1, blocks=request.blocks
            )
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
        self._schedule_in(self._options.restart_ms, self._start_engine)
        by_router: dict[int, list[_Send]] = {}
        for send in sends:
            by_router.setdefault(send.router, []).append(send)
        for router, own in by_router.items():
            detection_ms = self._random.uniform(0.0, self._options.max_detection_ms)
            self._schedule_in(
                detection_ms, partial(self._detect_termination, router, key, own, together)
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
        traits = {
            send.request.fingerprint: InterruptedTraits(send.request.blocks, send.isolated_for)
            for send in sends
        }
        self.routers[router].record_requests(traits, self._now_ms)
        self.routers[router].ended(end, self._now_ms)
        self._publish(router, Evidence([end], [], []), traits)
        for send in sends:
            self._release(key, send)
            self._counts["cut"] += not send.request.culprit
            if send.request.sends < MAX_SENDS:
                self._schedule_in(RESEND_MS, partial(self._send, send.request, router))
            else:
                self._finish(send.request, "failed")


def _late_arrivals(arrivals: list[_Arrival], known: int) -> int:
    if len(arrivals) <= known:
        return 0
    from_ms = arrivals[known - 1].at_ms + CONTACT_MS
    return sum(arrival.in_contact and arrival.at_ms > from_ms for arrival in arrivals[known:])
