"""Memory and descriptors of a process."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple


class ProcessUsage(NamedTuple):
    """What a process holds.

    Attributes
    ----------
    peak_bytes
        Largest resident memory since its start.
    descriptors
        Number of open descriptors.
    """

    peak_bytes: int
    descriptors: int


def process_usage(pid: int) -> ProcessUsage | None:
    """Read what a process holds; None if there is no such process."""
    folder = Path(f"/proc/{pid}")
    try:
        lines = (folder / "status").read_text().splitlines()
        descriptors = len(list((folder / "fd").iterdir()))
    except (FileNotFoundError, ProcessLookupError):
        return None
    # A process that has ended and was not waited for has no memory any more.
    peaks = [int(line.split()[1]) for line in lines if line.startswith("VmHWM:")]
    return ProcessUsage(peaks[0] * 1_024, descriptors) if peaks else None
