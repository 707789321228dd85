"""Work of a saturated router for the routes that its callers use."""

from __future__ import annotations

import contextlib
import os
import random
from collections import Counter
from typing import NamedTuple

from tamarack_core.clock import ManualClock
from tamarack_core.concurrency_limit import DECREASE_FACTOR
from tamarack_gateway.decision_log import DecisionLog
from tamarack_gateway.loop_monitor import LoopMonitor

STEP_MS = 10.0
EVENT_EACH_MS = 30.0
LIMIT = 60
REQUEST_EVENTS = 15
"""Events whose relaying costs as much as everything else for a stream."""


class Kind(NamedTuple):
    """Requests of one route.

    Attributes
    ----------
    per_s
        Requests asked in a second.
    events, tokens
        Events and tokens of each.
    """

    per_s: float
    events: int
    tokens: int


SHORT, REWRITE, DRAFT = Kind(1_000, 25, 1_460), Kind(740, 7, 9_190), Kind(550, 17, 17_020)


class Served(NamedTuple):
    """Outcome by route."""

    work: Counter[str]
    tokens: Counter[str]
    asked: Counter[str]
    admitted: Counter[str]
    mean_running: float


def play(kinds: dict[str, Kind], *, seconds: float = 20.0, workspace: str = "large") -> Served:
    """Let callers of one workspace press on a router whose limit of requests is `LIMIT`."""
    clock, draw = ManualClock(), random.Random(7)
    log = DecisionLog("r", clock, output=os.open(os.devnull, os.O_WRONLY))
    monitor = LoopMonitor(clock, log, [], changed=lambda: None)
    monitor._limit._limit = LIMIT
    work, tokens, asked, admitted = Counter[str](), Counter[str](), Counter[str](), Counter[str]()
    running: list[tuple[float, str, contextlib.AbstractContextManager[None]]] = []
    most = 0.0
    steps = round(seconds * 1_000 / STEP_MS)
    for _ in range(steps):
        clock.advance(STEP_MS)
        for _, route, _ in running:
            if draw.random() < STEP_MS / EVENT_EACH_MS:
                monitor.load(route).events += 1
                work[route] += 1
        for until_ms, _, context in running:
            if until_ms <= clock.now_ms:
                context.__exit__(None, None, None)
        running = [entry for entry in running if entry[0] > clock.now_ms]
        arrivals = [
            name
            for name, kind in kinds.items()
            for _ in range(_rounded(kind.per_s * STEP_MS / 1_000, draw))
        ]
        draw.shuffle(arrivals)
        for name in arrivals:
            asked[name] += 1
            if monitor.should_refuse(workspace, name):
                continue
            context = monitor.in_progress(workspace, name, kinds[name].tokens)
            context.__enter__()
            running.append((clock.now_ms + kinds[name].events * EVENT_EACH_MS, name, context))
            admitted[name] += 1
            work[name] += REQUEST_EVENTS
            tokens[name] += kinds[name].tokens
        most += monitor.running
    return Served(work, tokens, asked, admitted, most / steps)


def _rounded(number: float, draw: random.Random) -> int:
    return int(number) + (draw.random() < number % 1)


def test_requests_of_few_tokens_and_many_events_do_not_take_most_of_a_full_router() -> None:
    """Failure: short replies take the processor of the router that a large workspace keeps to."""
    served = play({"short": SHORT, "rewrite": REWRITE, "draft": DRAFT})
    assert min(served.work.values()) >= 0.8 * max(served.work.values())
    assert served.mean_running >= DECREASE_FACTOR * LIMIT


def test_a_route_that_asks_for_less_than_its_part_of_a_full_router_is_served() -> None:
    """Failure: a route that others crowd is refused as often as they are."""
    served = play({"short": SHORT, "draft": DRAFT._replace(per_s=4)})
    assert served.admitted["draft"] >= 0.9 * served.asked["draft"]
    assert served.mean_running >= DECREASE_FACTOR * LIMIT


def test_a_route_alone_has_all_of_a_full_router() -> None:
    """Failure: a part of a full router is kept free for routes that nobody uses."""
    served = play({"short": SHORT})
    assert served.mean_running >= 0.95 * LIMIT
