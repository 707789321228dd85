"""Membership of idle fleets: cores that exchange encoded messages without a network."""

from __future__ import annotations

import time
from collections import deque

from tamarack_core.actions import Action, Send
from tamarack_core.protocol import MemberUpdate
from tamarack_core.router_core import RouterCore
from tamarack_core.wire import decode, encode, request_prefix

SETTLE_MS = 90_000.0
MEASURE_MS = 20_000.0
TICK_MS = 50.0


def measure_membership(routers: int, *, seed: int = 1) -> float:
    """Bytes that one router sends per second in an idle fleet, after all routers have joined."""
    return _run(routers, seed)[0]


def measure_member_cpu(routers: int, *, seed: int = 1) -> float:
    """Processor time of one router for membership, in microseconds per second, with encoding."""
    return _run(routers, seed)[1]


def _run(routers: int, seed: int) -> tuple[float, float]:
    now_ms = 1_000.0
    cores = {}
    for number in range(routers):
        name = f"r{number}"
        me = MemberUpdate(name, 1_000, 0, f"127.0.0.1:{9000 + number}", f"127.0.0.1:{8000}", "a")
        cores[name] = RouterCore(me, now_ms, seed=seed * 1_000 + number)
    by_address = {f"127.0.0.1:{9000 + number}": f"r{number}" for number in range(routers)}
    sent = 0
    started = 0.0

    def deliver(sender: str, actions: list[Action]) -> int:
        count = 0
        pending = deque((sender, action) for action in actions)
        while pending:
            origin, action = pending.popleft()
            if not isinstance(action, Send):
                continue
            data = encode([action.message])
            count += len(data)
            target = action.router or by_address[action.address]
            frame = decode(data, origin, 1_000, request_prefix(target, 1_000))
            if frame is not None and target in cores:
                replies = cores[target].receive(frame, now_ms)
                pending.extend((target, reply) for reply in replies)
        return count

    for name, core in cores.items():
        deliver(name, core.join(["127.0.0.1:9000"]))
    measured_from = now_ms + SETTLE_MS
    end = measured_from + MEASURE_MS
    while now_ms < end:
        now_ms += TICK_MS
        for name, core in cores.items():
            count = deliver(name, core.tick(now_ms))
            if now_ms > measured_from:
                sent += count
        if now_ms <= measured_from:
            started = time.perf_counter()
    share = routers * MEASURE_MS / 1000
    return sent / share, (time.perf_counter() - started) * 1e6 / share
