"""CPU time of this process by thread, from the kernel's accounting."""

from __future__ import annotations

import os
import threading
from collections import Counter
from pathlib import Path

TASKS = Path("/proc/self/task")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
NATIVE = "native"


def thread_seconds() -> dict[str, float]:
    """Return CPU seconds by thread name; a pool is one entry, native threads are `native`."""
    names = {thread.native_id: _group(thread.name) for thread in threading.enumerate()}
    seconds: Counter[str] = Counter()
    try:
        for task in TASKS.iterdir():
            fields = (task / "stat").read_text().rpartition(")")[2].split()
            ticks = int(fields[11]) + int(fields[12])
            seconds[names.get(int(task.name), NATIVE)] += ticks / TICKS_PER_S  # type: ignore[assignment]
    except OSError:
        return dict(seconds)
    return dict(seconds)


def _group(name: str) -> str:
    if name.startswith("CP Server"):
        return "listener-workers"
    return name.partition("_")[0]
