"""Writes docs/MEASUREMENTS.md from the readings that are stored in the repository."""

from __future__ import annotations

import json
from pathlib import Path

READINGS = Path("bench/readings")


def page(folder: Path = READINGS) -> str:
    """The page: a table for each stored reading except slopes."""
    lines = [
        "# Measurements",
        "",
        "Made by `python -m tamarack_bench.measurements` from `bench/readings`: one run of each",
        "scenario on one machine of 8 cores, routers, stand-ins and load on loopback together.",
        "`tamarack_bench run SCENARIO --json FILE` makes such a file.",
    ]
    for path in sorted(folder.glob("*.json")):
        if path.stem == "slopes":
            continue
        for reading in json.loads(path.read_text()):
            lines += ["", f"## {path.stem}", "", "| figure | |", "|---|---|"]
            for name, value in reading["figures"].items():
                lines.append(f"| {name} | {value:,.4g} |")
    return "\n".join([*lines, ""])


if __name__ == "__main__":
    print(page(), end="")
