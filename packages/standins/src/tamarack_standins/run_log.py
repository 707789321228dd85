"""The log of what a stand-in ran, read by the at-most-once checks."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any, TypedDict


class RunRecord(TypedDict):
    """One run; times in milliseconds since the Unix epoch, `finished` is zero during the run.

    `marker` is the caller's own id in the request's body; routers assign other ids.
    """

    request: str
    workspace: str
    operation: str
    marker: str
    started: float
    finished: float
    tokens: int
    prompt_tokens: int
    state: str


class RunLog:
    """Run records in order of their start.

    Parameters
    ----------
    path
        File to which each start and finish is also appended, so that a crash loses no record.
    """

    def __init__(self, path: str = "") -> None:
        self._records: list[RunRecord] = []
        self._file = open(path, "a", buffering=1) if path else None  # noqa: SIM115

    @property
    def records(self) -> list[RunRecord]:
        """All records."""
        return self._records

    def start(
        self, request: str, workspace: str, operation: str, marker: str, prompt_tokens: int = 0
    ) -> RunRecord:
        """Record the start of a run."""
        record = RunRecord(
            request=request,
            workspace=workspace,
            operation=operation,
            marker=marker,
            started=time.time() * 1000,
            finished=0.0,
            tokens=0,
            prompt_tokens=prompt_tokens,
            state="running",
        )
        self._records.append(record)
        self._append(record)
        return record

    def finish(self, record: RunRecord, state: str) -> None:
        """Record the end of a run."""
        record["finished"] = time.time() * 1000
        record["state"] = state
        self._append(record)

    def _append(self, record: RunRecord) -> None:
        if self._file is not None:
            self._file.write(json.dumps(record) + "\n")


def read_log_file(path: Path) -> list[RunRecord]:
    """Read a log file; the last line of each run is used."""
    runs: dict[tuple[str, float], Any] = {}
    for line in path.read_text().splitlines():
        record = json.loads(line)
        runs[(record["request"], record["started"])] = record
    return list(runs.values())
