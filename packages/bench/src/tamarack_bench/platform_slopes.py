"""Section of the capacity page about the platform's path, from sweeps over numbers of routers."""

from __future__ import annotations

from pathlib import Path

import msgspec

SWEEPS = Path("bench/platform-sweeps.json")


class Row(msgspec.Struct):
    """One reading at each size: of the router in the middle, and of the busiest one.

    Attributes
    ----------
    power
        Power of the number of routers with which the busiest reading grows.
    at_target
        The busiest reading carried on to the target's number of routers.
    """

    name: str
    middle: list[float]
    busiest: list[float]
    power: float
    at_target: float


class Sweep(msgspec.Struct):
    """A day of one deployment, played with several numbers of routers.

    Attributes
    ----------
    routers, worth
        Numbers of routers, and the day's worth with each; None for a day that was given up.
    note
        What has to be known of the readings.
    """

    site: str
    commit: str
    routers: list[int]
    worth: list[float | None]
    target: int
    note: str
    rows: list[Row]


def read_sweeps(path: Path = SWEEPS) -> list[Sweep]:
    """Read all sweeps."""
    return msgspec.json.decode(path.read_bytes(), type=list[Sweep])


def section(sweeps: list[Sweep]) -> list[str]:
    """Lines of the page's section."""
    lines = [
        "",
        "## On the users' platform",
        "",
        "The lines above are of the own interface with stand-ins. These are of the platform's",
        f"path, from `{SWEEPS}`: a day played at several",
        "numbers of routers, endpoints growing with them. Middle and busiest router; the last",
        "column carries the busiest one on to the target and is not played.",
    ]
    for sweep in sweeps:
        lines += ["", f"### {sweep.site}, on {sweep.commit}", "", _worths(sweep), ""]
        sizes = " | ".join(f"{size} routers" for size in sweep.routers)
        lines.append(f"| | {sizes} | power | at {sweep.target:,} |")
        lines.append("|---" * (len(sweep.routers) + 3) + "|")
        lines += [_line(row) for row in sweep.rows]
    return lines


def _worths(sweep: Sweep) -> str:
    parts = [
        f"{size}: {'given up' if worth is None else f'{worth:.3f}'}"
        for size, worth in zip(sweep.routers, sweep.worth, strict=True)
    ]
    return f"Worth by routers: {'; '.join(parts)}. {sweep.note}".rstrip()


def _line(row: Row) -> str:
    cells = [
        f"{middle:,g} / {busiest:,g}"
        for middle, busiest in zip(row.middle, row.busiest, strict=True)
    ]
    return f"| {row.name} | {' | '.join(cells)} | {row.power:g} | {row.at_target:,g} |"
