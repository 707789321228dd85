"""Tests that are known to fail because of a real fault: run and reported as expected failures.

`KNOWN-RED.txt` at the root has a line for each: its id, a comma, the cause and the issue. Other
lines describe faults that no test reproduces yet.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"

LINE = re.compile(r"(?P<test>tests/\S+\.py::\w+(\[[^\]]*\])?)[,:;]?\s+(?P<cause>.+)")
"""A line that names a test; an id with parameters in brackets names only that case."""


def listed(text: str) -> dict[str, str]:
    """Causes by the ids of the listed tests."""
    matches = [LINE.fullmatch(line.strip()) for line in text.splitlines()]
    return {match["test"]: match["cause"] for match in matches if match is not None}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run until its line is removed."""
    path = Path(config.rootpath, FILE)
    causes = listed(path.read_text()) if path.exists() else {}
    for item in items:
        cause = causes.get(item.nodeid) or causes.get(item.nodeid.partition("[")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
