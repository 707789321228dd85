"""Command that shows from collected logs why prefix blocks were prefilled again."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from tamarack_ctl.commands import EXIT_OK, EXIT_REFUSED, Context, Outcome, command
from tamarack_ctl.request_log import LogLine, add_logs, read_logs

REUSE_MS = 10_000
"""Milliseconds after its last use within which a prefix block counts as prefilled again; after that
an engine under load has evicted it."""

PROPAGATION_MS = 200
"""Milliseconds for which a router may not know another's placement: the time of a report, of two
relays and of the network."""


class Cause(Enum):
    """Why a shared prefix block was prefilled; the value is its label in the table."""

    FIRST = "first time"
    SAME_ENGINE = "again at an engine that had read it"
    UNAWARE = "at two engines at once"
    ENGINE_GONE = "its engines were gone"
    FURTHER_ENGINE = "at a further engine"


class BlockUse(NamedTuple):
    """A placement's use of the shared prefix block `part`; `prefilled` is false if cached."""

    at_ms: int
    part: str
    tokens: int
    endpoint: str
    prefilled: bool


class PrefillTotals(NamedTuple):
    """Prefilled tokens by cause, and the requests refused while an engine was free."""

    tokens: Counter[Cause]
    refused: int
    refused_while_free: int


FREE_ENGINE_QUEUE_MS = 8
"""Queue wait in milliseconds up to which an engine counts as free."""


def readings(lines: Iterable[LogLine]) -> list[BlockUse]:
    """Uses of shared prefix blocks by placements, ordered by time."""
    result = [
        BlockUse(line.wall_ms, part, tokens, line.fields["endpoint"], prefilled)
        for line in lines
        if line.message == "request: placed"
        for part, tokens, prefilled in line.fields.get("shared", [])
    ]
    return sorted(result)


def prefill_totals(lines: list[LogLine]) -> PrefillTotals:
    """Add up prefilled tokens by cause, and requests refused while an engine was free."""
    removal_times = {
        line.fields["endpoint"]: line.wall_ms
        for line in lines
        if line.message == "belief: endpoint gone"
    }
    used: dict[str, dict[str, int]] = {}
    tokens: Counter[Cause] = Counter()
    for use in readings(lines):
        last_uses = used.setdefault(use.part, {})
        if use.prefilled:
            tokens[_cause(use, last_uses, removal_times)] += use.tokens
        last_uses[use.endpoint] = use.at_ms
    refused = [
        line
        for line in lines
        if line.message == "request: refused" and "least_wait_ms" in line.fields
    ]
    free = [line for line in refused if line.fields["least_wait_ms"] <= FREE_ENGINE_QUEUE_MS]
    return PrefillTotals(tokens, len(refused), len(free))


def _cause(use: BlockUse, last_uses: dict[str, int], removal_times: dict[str, int]) -> Cause:
    recent_uses = {name: at for name, at in last_uses.items() if use.at_ms - at <= REUSE_MS}
    if not recent_uses:
        return Cause.FIRST
    if use.endpoint in recent_uses:
        return Cause.SAME_ENGINE
    if all(removal_times.get(name, at - 1) >= at for name, at in recent_uses.items()):
        return Cause.ENGINE_GONE
    if all(use.at_ms - at <= PROPAGATION_MS for at in recent_uses.values()):
        return Cause.UNAWARE
    return Cause.FURTHER_ENGINE


@command(
    "reads", "show why prefix blocks were prefilled again, from logs", add_logs, needs_fleet=False
)
def reads(context: Context) -> Outcome:
    """Read logs and add up tokens of shared prefix blocks by the cause of their prefill."""
    result = prefill_totals(read_logs(context.arguments.logs))
    if not result.tokens:
        return Outcome(
            ["No log line mentions a prefill of a shared prefix block."], [], EXIT_REFUSED
        )
    table = [f"{result.tokens[cause]:>12,} tokens  {cause.value}" for cause in Cause]
    table.append(
        f"{result.refused_while_free:>12,} of {result.refused:,} refusals for queue length "
        "while an engine was free"
    )
    value = {cause.name.lower(): result.tokens[cause] for cause in Cause}
    value |= {"refused": result.refused, "refused_beside_free": result.refused_while_free}
    return Outcome(table, value, EXIT_OK)
