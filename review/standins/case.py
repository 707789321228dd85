"""Frame of a case: its record, its time limit and its exit code."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

HELD, BROKEN, NOT_RUN = 0, 1, 2
LONGEST_S = 110.0


class Record:
    """Writes what was sent, answered and run to `record.txt`, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", buffering=1)  # noqa: SIM115
        self._started = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._started:8.3f} s  {text}"
        print(line, file=self._file)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def play(folder: Path, case: Callable[[Record, bool], Awaitable[bool]]) -> None:
    """Run a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case did not run.

    Parameters
    ----------
    case
        Gets the record and whether to cause the disruption; returns whether the rule held.
    """
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"starts {'with' if trouble else 'without'} the disruption")

    async def limited() -> bool:
        async with asyncio.timeout(LONGEST_S):
            return await case(record, trouble)

    # On SIGTERM the case still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = HELD if asyncio.run(limited()) else BROKEN
    except BaseException:
        record.note("the case did not run:\n" + traceback.format_exc())
        code = NOT_RUN
    record.note({HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "not run"}[code])
    record.close()
    sys.exit(code)
