"""What one decision on a generation costs, by engines and workspaces; on a held clock."""

from __future__ import annotations

import random
import time

from tamarack_core.admitted_placement import Engines, Terms, place_admitted
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import EngineModel
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.workspace_shares import WorkspaceShares

PARTS = 60
PART_TOKENS = 13_300
OWN_TOKENS = 3_720
DECISIONS = 400
TOKENS_PER_S = 1_700_000.0
WINDOW_MS = 4_000.0
TERMS = Terms(800.0, 800.0, 0.0, 8_000.0, False, 0.5)


def measure_placing(engines: int, workspaces: int, *, seed: int) -> float:
    """Microseconds for the place and the admission of one generation.

    Each shared part is kept by one engine; engines have queues of 100 ms on the mean, and all
    workspaces have asked for and got something in the window.
    """
    draw = random.Random(seed)
    names = [f"e{number}" for number in range(engines)]
    endpoints = [Endpoint(name, "pool", f"{name}:1", "a", 16, False) for name in names]
    models = {name: EngineModel() for name in names}
    records = {name: EndpointRecord() for name in names}
    shares = WorkspaceShares(WINDOW_MS, 0.0)
    parts = [PrefixBlock(f"part-{number}", PART_TOKENS) for number in range(PARTS)]
    for part in parts:
        models[draw.choice(names)].add_blocks((part,))
    for name in names:
        models[name].add_peer_work(draw.expovariate(1 / 100.0), WINDOW_MS)
    for number in range(workspaces):
        shares.count(f"w{number}", 20_000.0, 9_000.0, WINDOW_MS)
    found = Engines(endpoints, models, records)
    started = time.perf_counter()
    for number in range(DECISIONS):
        part = parts[number % PARTS]
        own = PrefixBlock(f"own-{number}", OWN_TOKENS)
        prompt = Prompt(PART_TOKENS + OWN_TOKENS, 100, (part, own))
        position = shares.position(f"w{number % workspaces}", TOKENS_PER_S, WINDOW_MS)
        place_admitted(prompt, found, position, TERMS, WINDOW_MS)
    return (time.perf_counter() - started) / DECISIONS * 1e6
