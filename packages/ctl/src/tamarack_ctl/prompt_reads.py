"""Command that shows from collected logs why prefix blocks were prefilled again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command
from tamarack_ctl.explaining import LogLine, add_logs, read_logs

REUSE_MS = 10_000
"""Milliseconds after its last use within which a prefix block counts as prefilled again; after that
an engine under load has evicted it."""

UNAWARE_MS = 200
"""Milliseconds for which a router may not know another's placement: the time of a report, of two
relays and of the network."""


class Cause(Enum):
    """Why a shared prefix block was prefilled; the value is its label in the table."""

    FIRST = "first time"
    SAME_ENGINE = "again at an engine that had read it"
    UNAWARE = "at two engines at once"
    ENGINE_GONE = "its engines were gone"
    FURTHER_ENGINE = "at a further engine"


class Reading(NamedTuple):
    """One placement's use of a shared prefix block; `read` is whether it was prefilled."""

    at_ms: int
    part: str
    tokens: int
    endpoint: str
    read: bool


class ReadAccount(NamedTuple):
    """Prefilled tokens by cause, and the requests refused while an engine was free."""

    tokens: Counter[Cause]
    refused: int
    refused_beside_free: int


FREE_MS = 8
"""Queue wait in milliseconds up to which an engine counts as free."""


def readings(lines: Iterable[LogLine]) -> list[Reading]:
    """Uses of shared prefix blocks by placements, ordered by time."""
    result = [
        Reading(line.wall_ms, part, tokens, line.fields["endpoint"], read)
        for line in lines
        if line.message == "request: placed"
        for part, tokens, read in line.fields.get("shared", [])
    ]
    return sorted(result)


def account(lines: list[LogLine]) -> ReadAccount:
    """Add up prefilled tokens by cause, and requests refused while an engine was free."""
    removal_times = {
        line.fields["endpoint"]: line.wall_ms
        for line in lines
        if line.message == "belief: endpoint gone"
    }
    used: dict[str, dict[str, int]] = {}
    tokens: Counter[Cause] = Counter()
    for reading in readings(lines):
        last_uses = used.setdefault(reading.part, {})
        if reading.read:
            tokens[_cause(reading, last_uses, removal_times)] += reading.tokens
        last_uses[reading.endpoint] = reading.at_ms
    refused = [
        line
        for line in lines
        if line.message == "request: refused" and "least_wait_ms" in line.fields
    ]
    free = [line for line in refused if line.fields["least_wait_ms"] <= FREE_MS]
    return ReadAccount(tokens, len(refused), len(free))


def _cause(reading: Reading, last_uses: dict[str, int], removal_times: dict[str, int]) -> Cause:
    recent_uses = {name: at for name, at in last_uses.items() if reading.at_ms - at <= REUSE_MS}
    if not recent_uses:
        return Cause.FIRST
    if reading.endpoint in recent_uses:
        return Cause.SAME_ENGINE
    if all(removal_times.get(name, at - 1) >= at for name, at in recent_uses.items()):
        return Cause.ENGINE_GONE
    if all(reading.at_ms - at <= UNAWARE_MS for at in recent_uses.values()):
        return Cause.UNAWARE
    return Cause.FURTHER_ENGINE


@command("reads", "tell why prompt parts were read again", add_logs, needs_fleet=False)
def reads(context: Context) -> Outcome:
    """Read logs and add up tokens of shared prefix blocks by the cause of their prefill."""
    result = account(read_logs(context.arguments.logs))
    if not result.tokens:
        return Outcome(
            ["No log line mentions a prefill of a shared prefix block."], [], EXIT_REFUSED
        )
    table = [f"{result.tokens[cause]:>12,} tokens  {cause.value}" for cause in Cause]
    table.append(
        f"{result.refused_beside_free:>12,} of {result.refused:,} refusals for queue length "
        "while an engine was free"
    )
    value = {cause.name.lower(): result.tokens[cause] for cause in Cause}
    value |= {"refused": result.refused, "refused_beside_free": result.refused_beside_free}
    return Outcome(table, value, EXIT_OK)
