"""Structured logs: short sentences with a fixed prefix per component."""

from __future__ import annotations

import sys
from typing import Any

import eliot

LEVELS = ("debug", "info", "warning", "error")
_threshold = LEVELS.index("info")


class PartLog:
    """Log of one component; messages of `relay` start with `relay: `."""

    def __init__(self, part: str) -> None:
        self._part = part

    def debug(self, sentence: str, **fields: Any) -> None:
        """Log a detail for debugging."""
        self._write("debug", sentence, fields)

    def info(self, sentence: str, **fields: Any) -> None:
        """Log a change of state."""
        self._write("info", sentence, fields)

    def warning(self, sentence: str, **fields: Any) -> None:
        """Log a fault that the router handles itself."""
        self._write("warning", sentence, fields)

    def error(self, sentence: str, **fields: Any) -> None:
        """Log a fault that an operator has to fix."""
        self._write("error", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        if LEVELS.index(level) < _threshold:
            return
        eliot.log_message(
            message_type=f"tamarack:{self._part}",
            level=level,
            message=f"{self._part}: {sentence}",
            **fields,
        )


def start_logs(level: str) -> None:
    """Write logs of `level` and above to standard error, one JSON object per line."""
    global _threshold
    _threshold = LEVELS.index(level)
    eliot.to_file(sys.stderr)
