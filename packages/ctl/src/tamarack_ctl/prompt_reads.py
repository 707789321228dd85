"""The command that tells from collected logs why prompt parts were read again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command
from tamarack_ctl.explaining import LogLine, add_logs, read_logs

REUSE_MS = 10_000
"""Time after its last use within which a part counts as read again: later than that an engine under
load has given its room to others."""

UNAWARE_MS = 200
"""Time in which a router may not have heard of another's placement: a report, two relays and the
way."""


class Cause(Enum):
    """Why a shared part was read; the value names it in the table."""

    FIRST = "first time"
    SAME_ENGINE = "again at an engine that had read it"
    UNAWARE = "at two engines at once"
    ENGINE_GONE = "its engines were gone"
    FURTHER_ENGINE = "at a further engine"


class Reading(NamedTuple):
    """One placement's use of a shared part."""

    at_ms: int
    part: str
    tokens: int
    endpoint: str
    read: bool


class ReadAccount(NamedTuple):
    """Tokens of shared parts by why they were read, and what was refused beside free engines."""

    tokens: Counter[Cause]
    refused: int
    refused_beside_free: int


FREE_MS = 8
"""Queue in milliseconds up to which an engine counts as free."""


def readings(lines: Iterable[LogLine]) -> list[Reading]:
    """Uses of shared parts that placements tell of, in order of time."""
    found = [
        Reading(line.wall_ms, part, tokens, line.fields["endpoint"], read)
        for line in lines
        if line.message == "request: placed"
        for part, tokens, read in line.fields.get("shared", [])
    ]
    return sorted(found)


def account(lines: list[LogLine]) -> ReadAccount:
    """Add up why shared parts were read and how much was refused beside free engines."""
    gone = {
        line.fields["endpoint"]: line.wall_ms
        for line in lines
        if line.message == "belief: endpoint gone"
    }
    used: dict[str, dict[str, int]] = {}
    tokens: Counter[Cause] = Counter()
    for reading in readings(lines):
        known = used.setdefault(reading.part, {})
        if reading.read:
            tokens[_cause(reading, known, gone)] += reading.tokens
        known[reading.endpoint] = reading.at_ms
    refused = [
        line
        for line in lines
        if line.message == "request: refused" and "least_wait_ms" in line.fields
    ]
    free = [line for line in refused if line.fields["least_wait_ms"] <= FREE_MS]
    return ReadAccount(tokens, len(refused), len(free))


def _cause(reading: Reading, known: dict[str, int], gone: dict[str, int]) -> Cause:
    lately = {name: at for name, at in known.items() if reading.at_ms - at <= REUSE_MS}
    if not lately:
        return Cause.FIRST
    if reading.endpoint in lately:
        return Cause.SAME_ENGINE
    if all(gone.get(name, at - 1) >= at for name, at in lately.items()):
        return Cause.ENGINE_GONE
    if all(reading.at_ms - at <= UNAWARE_MS for at in lately.values()):
        return Cause.UNAWARE
    return Cause.FURTHER_ENGINE


@command("reads", "tell why prompt parts were read again", add_logs, needs_fleet=False)
def reads(context: Context) -> Outcome:
    """Read logs and add up shared prompt tokens by the cause of their reading."""
    found = account(read_logs(context.arguments.logs))
    if not found.tokens:
        return Outcome(["No line tells of a prompt part that was read."], [], EXIT_REFUSED)
    table = [f"{found.tokens[cause]:>12,} tokens  {cause.value}" for cause in Cause]
    table.append(
        f"{found.refused_beside_free:>12,} of {found.refused:,} refusals for queues beside a "
        "free engine"
    )
    value = {cause.name.lower(): found.tokens[cause] for cause in Cause}
    value |= {"refused": found.refused, "refused_beside_free": found.refused_beside_free}
    return Outcome(table, value, EXIT_OK)
