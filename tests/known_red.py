"""Tests that are known to fail for a real fault: run and printed, and passed over.

`KNOWN-RED.txt` at the root has a line for each: its id, a comma, the cause and the issue. Lines
that begin with anything else name days that no test plays yet.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"

LINE = re.compile(r"(?P<test>tests/\S+\.py::\w+(\[[^\]]*\])?)[,:;]?\s+(?P<cause>.+)")
"""A line that names a test; an id with parameters in brackets names just that case."""


def listed(text: str) -> dict[str, str]:
    """Causes by the ids of the tests that are listed."""
    matches = [LINE.fullmatch(line.strip()) for line in text.splitlines()]
    return {match["test"]: match["cause"] for match in matches if match is not None}


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail; one that passes fails the run, so that its line goes."""
    path = Path(config.rootpath, FILE)
    causes = listed(path.read_text()) if path.exists() else {}
    for item in items:
        cause = causes.get(item.nodeid) or causes.get(item.nodeid.partition("[")[0])
        if cause is not None:
            item.add_marker(pytest.mark.xfail(reason=cause, strict=True))
