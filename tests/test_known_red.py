"""Only listed tests may fail, and a listed test that passes fails the run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from known_red import listed

CASES = """
def test_one():
    assert False

def test_other():
    assert False

def test_mended():
    pass
"""


def run(root: Path, known_red: str) -> str:
    (root / "tests").mkdir()
    (root / "tests" / "test_case.py").write_text(CASES)
    (root / "pytest.ini").write_text("[pytest]\naddopts = -rfx\n")
    (root / "KNOWN-RED.txt").write_text(known_red)
    command = [sys.executable, "-m", "pytest", "-p", "known_red", "tests"]
    path = os.pathsep.join([str(Path(__file__).parent), os.environ.get("PYTHONPATH", "")])
    environment = {**os.environ, "PYTHONPATH": path}
    result = subprocess.run(command, cwd=root, env=environment, capture_output=True, text=True)
    return result.stdout


def test_lines_that_name_no_test_are_ignored() -> None:
    text = "(played, no test yet) a day; issue 1\ntests/a.py::test_b, a cause; issue 2\n\n"
    assert listed(text) == {"tests/a.py::test_b": "a cause; issue 2"}


def test_only_a_listed_test_may_fail_and_is_printed(tmp_path: Path) -> None:
    output = run(tmp_path, "tests/test_case.py::test_one, its cause; issue 1\n")
    assert "1 failed, 1 passed, 1 xfailed" in output
    assert "FAILED tests/test_case.py::test_other" in output
    assert "XFAIL tests/test_case.py::test_one - its cause; issue 1" in output


def test_a_listed_test_that_passes_is_a_failure(tmp_path: Path) -> None:
    output = run(tmp_path, "tests/test_case.py::test_mended, its cause; issue 1\n")
    assert "FAILED tests/test_case.py::test_mended" in output
    assert "3 failed" in output
