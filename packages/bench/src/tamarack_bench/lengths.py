"""Reports long modules and functions, as candidates for a split."""

from __future__ import annotations

import ast
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

MODULE_LINES = 400
FUNCTION_LINES = 50


class Length(NamedTuple):
    """A module or function and its lines."""

    place: str
    lines: int


def long_places(root: Path) -> Iterator[Length]:
    """Modules and functions over their limits below a folder."""
    for path in sorted(root.rglob("*.py")):
        source = path.read_text()
        lines = source.count("\n")
        if lines > MODULE_LINES:
            yield Length(str(path), lines)
        for node in ast.walk(ast.parse(source)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
                length = (node.end_lineno or node.lineno) - node.lineno + 1
                if length > FUNCTION_LINES:
                    yield Length(f"{path}:{node.name}", length)


def main() -> int:
    """Print long modules and functions; never fails."""
    for root in sys.argv[1:]:
        for length in long_places(Path(root)):
            print(f"long: {length.place} has {length.lines} lines")
    return 0


if __name__ == "__main__":
    sys.exit(main())
