"""Shared fixtures: router cores that exchange messages in memory."""

from __future__ import annotations

from collections import deque

import pytest
from known_red import pytest_collection_modifyitems as pytest_collection_modifyitems

from tamarack_core.actions import Action, Send
from tamarack_core.clock import ManualClock
from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import Change, EntryPut
from tamarack_core.protocol import MemberUpdate
from tamarack_core.router_core import RouterCore
from tamarack_core.wire import Frame, decode, encode, request_prefix


def make_config(engines: int = 2, slots: int = 2, **preset: object) -> Configuration:
    """A configuration with three workspaces, a model and a plain service."""
    puts = [EntryPut("workspace", name, {"key_hashes": []}) for name in ("large", "small", "other")]
    puts.append(EntryPut("service", "model", {"kind": "model", "default_cost": 10.0}))
    puts.append(EntryPut("preset", "ordinary", dict(preset)))
    for number in range(engines):
        body = {
            "service": "model",
            "address": f"127.0.0.1:{9000 + number}",
            "failure_domain": "a",
            "slots": slots,
        }
        puts.append(EntryPut("endpoint", f"engine-{number}", body))
    return Configuration().apply(Change(1, "c1", "test", 0, puts, [], "ordinary"))


class Cores:
    """Router cores on one manual clock; messages pass through the real encoding.

    Messages between the (sender, receiver) pairs in `cut` are dropped. Routers in `frozen` neither
    tick nor receive.
    """

    def __init__(self, names: list[str], config: Configuration, **options: int) -> None:
        self.clock = ManualClock(1_000.0)
        self.cores: dict[str, RouterCore] = {}
        self.cut: set[tuple[str, str]] = set()
        self.frozen: set[str] = set()
        self.done: dict[str, list[Action]] = {name: [] for name in names}
        self._config = config
        self._options = options
        for seed, name in enumerate(names):
            self.add(name, seed)
        for name in names:
            self.perform(name, self.cores[name].join([f"peer-{other}" for other in names]))
        self.run(1_500)

    def add(self, name: str, seed: int = 0) -> RouterCore:
        """Start a router's core, or restart it without its state."""
        boot = int(self.clock.now_ms) + seed
        me = MemberUpdate(name, boot, 0, f"peer-{name}", f"caller-{name}", "a")
        core = RouterCore(me, self.clock.now_ms, seed=seed, **self._options)
        core.configure(self._config, self.clock.now_ms)
        self.cores[name] = core
        self.done.setdefault(name, [])
        return core

    def perform(self, name: str, actions: list[Action]) -> None:
        """Deliver messages until none are pending; record all other actions."""
        pending = deque((name, action) for action in actions)
        while pending:
            sender, action = pending.popleft()
            if not isinstance(action, Send):
                self.done[sender].append(action)
                continue
            target = action.router or action.address.removeprefix("peer-")
            if target in self.frozen or (sender, target) in self.cut or target not in self.cores:
                continue
            data = encode([action.message])
            prefix = request_prefix(target, self.cores[target].boot)
            frame = decode(data, sender, self.cores[sender].boot, prefix)
            assert isinstance(frame, Frame)
            replies = self.cores[target].receive(frame, self.clock.now_ms)
            replies += self.cores[target].dispatch(self.clock.now_ms)
            pending.extend((target, reply) for reply in replies)

    def run(self, milliseconds: float, step_ms: float = 25.0) -> None:
        """Advance the clock in steps and tick every router."""
        end = self.clock.now_ms + milliseconds
        while self.clock.now_ms < end:
            self.clock.advance(step_ms)
            for name in list(self.cores):
                if name in self.frozen:
                    continue
                actions = self.cores[name].tick(self.clock.now_ms)
                actions += self.cores[name].dispatch(self.clock.now_ms)
                self.perform(name, actions)

    def take(self, name: str, kind: type) -> list[Action]:
        """Remove and return a router's recorded actions of one kind."""
        taken = [action for action in self.done[name] if isinstance(action, kind)]
        self.done[name] = [action for action in self.done[name] if not isinstance(action, kind)]
        return taken


@pytest.fixture
def trio() -> Cores:
    """Three routers that know each other."""
    return Cores(["r1", "r2", "r3"], make_config())
