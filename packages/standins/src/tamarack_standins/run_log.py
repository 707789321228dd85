"""What a stand-in ran; the at-most-once checks read it."""

from __future__ import annotations

import time
from typing import TypedDict


class RunRecord(TypedDict):
    """One run; times in milliseconds since the Unix epoch, `finished` zero while it goes on."""

    request: str
    workspace: str
    operation: str
    started: float
    finished: float
    tokens: int
    prompt_tokens: int
    state: str


class RunLog:
    """Records in order of their start."""

    def __init__(self) -> None:
        self._records: list[RunRecord] = []

    @property
    def records(self) -> list[RunRecord]:
        """All records."""
        return self._records

    def start(self, request: str, workspace: str, operation: str) -> RunRecord:
        """Record that a run began."""
        record = RunRecord(
            request=request,
            workspace=workspace,
            operation=operation,
            started=time.time() * 1000,
            finished=0.0,
            tokens=0,
            prompt_tokens=0,
            state="running",
        )
        self._records.append(record)
        return record

    def finish(self, record: RunRecord, state: str) -> None:
        """Record that a run ended."""
        record["finished"] = time.time() * 1000
        record["state"] = state
