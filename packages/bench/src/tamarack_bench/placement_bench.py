"""Cost of one placement decision, by engines and workspaces, with a simulated clock."""

from __future__ import annotations

import random
import time

from tamarack_core.admitted_placement import Engines, LatencyRequirements, place_admitted
from tamarack_core.endpoint_record import EndpointRecord
from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.engine_model import EngineModel
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.workspace_shares import WorkspaceShares

SHARED_BLOCKS = 60
SHARED_BLOCK_TOKENS = 13_300
UNSHARED_TOKENS = 3_720
DECISIONS = 400
TOKENS_PER_S = 1_700_000.0
WINDOW_MS = 4_000.0
TERMS = LatencyRequirements(800.0, 800.0, 0.0, 8_000.0, False, 0.5)


def measure_placing(engines: int, workspaces: int, *, seed: int) -> float:
    """Microseconds for the placement and admission of one generation.

    Each shared prefix block is cached by one engine; engines have a mean queue of 100 ms, and all
    workspaces have requested and received service in the window.
    """
    rng = random.Random(seed)
    names = [f"e{number}" for number in range(engines)]
    endpoints = [Endpoint(name, "pool", f"{name}:1", "a", 16, False) for name in names]
    models = {name: EngineModel() for name in names}
    records = {name: EndpointRecord() for name in names}
    shares = WorkspaceShares(WINDOW_MS, 0.0)
    parts = [PrefixBlock(f"part-{number}", SHARED_BLOCK_TOKENS) for number in range(SHARED_BLOCKS)]
    for part in parts:
        models[rng.choice(names)].add_blocks((part,))
    for name in names:
        models[name].add_peer_work(rng.expovariate(1 / 100.0), WINDOW_MS)
    for number in range(workspaces):
        shares.count(f"w{number}", 20_000.0, 9_000.0, WINDOW_MS)
    found = Engines(endpoints, models, records)
    started = time.perf_counter()
    for number in range(DECISIONS):
        part = parts[number % SHARED_BLOCKS]
        own = PrefixBlock(f"own-{number}", UNSHARED_TOKENS)
        prompt = Prompt(SHARED_BLOCK_TOKENS + UNSHARED_TOKENS, 100, (part, own))
        position = shares.position(f"w{number % workspaces}", TOKENS_PER_S, WINDOW_MS)
        place_admitted(prompt, found, position, TERMS, WINDOW_MS)
    return (time.perf_counter() - started) / DECISIONS * 1e6
