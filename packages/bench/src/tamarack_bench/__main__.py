"""Command line of the load and experiment tool."""

from __future__ import annotations

import argparse
import json
import signal
import sys
from pathlib import Path

from tamarack_bench import (
    config_scenarios,
    core_scenarios,
    fair_scenarios,
    order_scenarios,
    origin_scenarios,
    path_scenarios,
    quarantine_scenarios,
    slopes,
    soak,
    warm_up_scenarios,
)
from tamarack_bench.bounds import check, read_bounds
from tamarack_bench.report import write_report
from tamarack_bench.scenarios import SCENARIOS, Options, Reading

EXIT_TERMINATED = 143
BOUNDS = Path("bench/bounds.toml")
MODULES = (
    core_scenarios,
    quarantine_scenarios,
    warm_up_scenarios,
    fair_scenarios,
    path_scenarios,
    config_scenarios,
    order_scenarios,
    origin_scenarios,
    soak,
    slopes,
)


def main() -> int:
    """Run one of the tool's commands."""
    # On SIGTERM the fleet's processes are still terminated.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_TERMINATED))
    parser = argparse.ArgumentParser(prog="tamarack_bench", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="list the scenarios")
    run = commands.add_parser("run", help="run scenarios and check their bounds")
    run.add_argument("scenario", nargs="+", choices=["all", *sorted(SCENARIOS)])
    run.add_argument(
        "--json", default="", metavar="FILE", help="write the readings to FILE; - prints them"
    )
    run.add_argument("--deployment", choices=("domandina", "kitami"), default="domandina")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--seconds", type=float, default=8.0, help="length of a measurement window")
    run.add_argument("--minutes", type=float, default=3.0, help="length of a soak")
    run.add_argument("--log-dir", default="")
    run.add_argument("--no-bounds", action="store_true", help="do not check the bounds")
    compare = commands.add_parser("compare", help="compare two files of readings")
    compare.add_argument("before")
    compare.add_argument("after")
    report = commands.add_parser("report", help="write a page with tables and plots")
    report.add_argument("readings")
    report.add_argument("--output", default="bench/out/report.html")
    arguments = parser.parse_args()
    if arguments.command == "list":
        return _list()
    if arguments.command == "compare":
        return _compare(read_readings(arguments.before), read_readings(arguments.after))
    if arguments.command == "report":
        write_report(read_readings(arguments.readings), Path(arguments.output))
        return 0
    return _run(arguments)


def read_readings(path: str) -> list[Reading]:
    """Read a file of readings."""
    return [Reading(**reading) for reading in json.loads(Path(path).read_text())]


def _list() -> int:
    for entry in SCENARIOS.values():
        mark = " " if entry.standard else "*"
        print(f"{entry.name:<20}{mark} {entry.help}")
    print("* not part of 'run all'")
    return 0


def _run(arguments: argparse.Namespace) -> int:
    options = Options(
        arguments.deployment,
        arguments.seed,
        arguments.seconds,
        arguments.minutes,
        arguments.log_dir,
    )
    names = arguments.scenario
    if "all" in names:
        names = [entry.name for entry in SCENARIOS.values() if entry.standard]
    readings = []
    for name in names:
        reading = SCENARIOS[name].run(options)
        readings.append(reading)
        print(f"{name} ({arguments.deployment}, seed {arguments.seed})", file=sys.stderr)
        for figure, value in reading.figures.items():
            print(f"  {figure:<44} {value:>14.4g}", file=sys.stderr, flush=True)
    text = json.dumps([reading._asdict() for reading in readings], indent=1)
    if arguments.json == "-":
        print(text)
    elif arguments.json:
        Path(arguments.json).parent.mkdir(parents=True, exist_ok=True)
        Path(arguments.json).write_text(text)
    if arguments.no_bounds:
        return 0
    breaches = check(readings, read_bounds(BOUNDS), arguments.deployment)
    for breach in breaches:
        print(
            f"BOUND {breach.scenario} {breach.figure}: {breach.value:.4g}, {breach.bound}",
            file=sys.stderr,
        )
    return 1 if breaches else 0


def _compare(before: list[Reading], after: list[Reading]) -> int:
    old = {reading.scenario: reading.figures for reading in before}
    for reading in after:
        print(reading.scenario)
        for figure, value in reading.figures.items():
            was = old.get(reading.scenario, {}).get(figure)
            change = f"{value / was:8.2f}x" if was else "        -"
            shown = f"{was:14.4g}" if was is not None else f"{'-':>14}"
            print(f"  {figure:<44} {shown} {value:14.4g} {change}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
