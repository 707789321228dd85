"""Writes docs/CAPACITY.md from fitted slopes and the sizes of the target deployment."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import NamedTuple

from tamarack_bench.platform_slopes import read_sweeps, section

SLOPES = Path("bench/readings/slopes.json")
ORIGINS = Path("bench/readings/stream-origins.json")

DAEMONS = 1_600
WORKERS = 12_000
REQUESTS_PER_S = 33_000
TOKENS_PER_S = 10_000_000
WORKSPACES = 6_800
BACKLOGGED_PART = 0.1
MODELS = 9
CHANGES_PER_DAY = 72_000
TOKEN_MS = 27.0
SHARD_SIZE = 64
EXCHANGE_S = 1.0
KEY_LIFETIME_S = 600
ANSWER_MEMORY_MB = 48
POLL_HEAD_S = 1.0
BUDGET_CPU = 2.6
BUDGET_MB = 256
BUDGET_BYTES = 6_000
SECONDS_A_DAY = 86_400
COUNTER_BYTES = 30
BACKLOG_PER_WORKSPACE = 100
TICKET_SHARDS = 2
STORE_READS_PER_S = 2_000
FAILURES_PER_DAY = 69
REPLACEMENTS_PER_DAY = 1_200
FAIL_OVER_S = 0.75


class Line(NamedTuple):
    """A fitted line: value = base + per_unit x size."""

    base: float
    per_unit: float
    residual: float

    def at(self, size: float) -> float:
        """Value at a size."""
        return self.base + self.per_unit * size


class Row(NamedTuple):
    """One row of a table that compares a value with its budget."""

    what: str
    value: float
    budget: float
    unit: str
    how: str

    @property
    def text(self) -> str:
        """The row in Markdown."""
        fits = "fits" if self.value <= self.budget else "**does not fit**"
        return (
            f"| {self.what} | {self.value:,.3g} {self.unit} | {self.budget:,.4g} {self.unit} "
            f"| {fits} | {self.how} |"
        )


def read_lines(path: Path = SLOPES) -> dict[str, Line]:
    """The fitted lines by name."""
    figures = json.loads(path.read_text())[0]["figures"]
    names = {name.rpartition(".")[0] for name in figures}
    return {
        name: Line(*(figures[f"{name}.{part}"] for part in ("base", "per_unit", "residual")))
        for name in names
    }


class Sizes(NamedTuple):
    """The load of one daemon and one shard at the target."""

    requests: float
    tokens: float
    streams: float
    shards: int
    shards_per_service: int
    tickets_per_shard: float
    run_s: float

    @classmethod
    def at_target(cls) -> Sizes:
        """Compute the sizes from the target."""
        run_s = TOKENS_PER_S / REQUESTS_PER_S * TOKEN_MS / 1000
        per_service = math.ceil(WORKERS / MODELS / SHARD_SIZE)
        shards = per_service * MODELS
        return cls(
            REQUESTS_PER_S / DAEMONS,
            TOKENS_PER_S / DAEMONS,
            REQUESTS_PER_S * run_s / DAEMONS,
            shards,
            per_service,
            REQUESTS_PER_S * TICKET_SHARDS / shards,
            run_s,
        )


def page(lines: dict[str, Line]) -> str:
    """The whole page."""
    sizes = Sizes.at_target()
    parts = [
        *_intro(),
        *_sizes(sizes),
        *_budgets(lines, sizes),
        *_roles(lines, sizes),
        *_consequences(sizes),
        *_missing(lines, sizes),
        *_slopes(lines),
        *section(read_sweeps()),
        *_stream_origins(),
    ]
    return "\n".join([*parts, ""])


def _intro() -> list[str]:
    return [
        "# Capacity at the target",
        "",
        "Made by `python -m tamarack_bench.capacity` from `bench/readings/slopes.json`, which",
        "`tamarack_bench run slopes --json` writes; a test holds the page to the file. The lines were",
        "measured on one machine of 8 cores with stand-ins on loopback, at sizes far under the",
        "target; what is said of the target is the line carried on, and no more.",
        "",
    ]


def _sizes(s: Sizes) -> list[str]:
    return [
        "## What one daemon carries",
        "",
        "| | |",
        "|---|---|",
        f"| requests a second | {s.requests:.1f} |",
        f"| tokens a second | {s.tokens:,.0f} |",
        f"| streams at once ({s.run_s:.1f} s each) | {s.streams:.0f} |",
        f"| shards in all ({s.shards_per_service} a service of {SHARD_SIZE} endpoints) | {s.shards} |",
        f"| shards dispatched by a daemon, on average | {s.shards / DAEMONS:.2f} |",
        f"| tickets a second at a dispatcher (each at {TICKET_SHARDS} shards) "
        f"| {s.tickets_per_shard:.0f} |",
        f"| backlogged workspaces | {WORKSPACES * BACKLOGGED_PART:.0f} |",
        f"| changes a second | {CHANGES_PER_DAY / SECONDS_A_DAY:.2f} |",
        "",
    ]


def _control_cpu(lines: dict[str, Line], s: Sizes) -> list[tuple[str, float]]:
    entries = WORKSPACES + WORKERS
    change_ms = lines["endpoint_change_ms_by_entries"].at(entries)
    changes = CHANGES_PER_DAY / SECONDS_A_DAY
    return [
        (
            "requests, as measured with one shard",
            lines["control_cpu_by_requests_per_s"].at(s.requests),
        ),
        ("members", lines["member_us_per_s_by_routers"].per_unit * DAEMONS / 1e4),
        ("configuration", change_ms * changes / 10),
    ]


def _budgets(lines: dict[str, Line], s: Sizes) -> list[str]:
    cpu = sum(value for _, value in _control_cpu(lines, s))
    sent = lines["control_bytes_per_s_by_requests_per_s"].at(s.requests)
    sent += lines["member_bytes_per_s_by_routers"].per_unit * DAEMONS
    memory = _memory_mb(lines, s)
    rows = [
        Row("control, processor", cpu, BUDGET_CPU, "% of a core", "control thread; see below"),
        Row("control, bytes a second", sent, BUDGET_BYTES, "B", "one shard; two add a ticket"),
        Row("memory", memory, BUDGET_MB, "MB", "all of the daemon, kept answers included"),
        Row(
            "relay, processor",
            lines["relay_cpu_by_tokens_per_s"].at(s.tokens),
            100.0,
            "% of a core",
            "no budget was given; one relay task has one core",
        ),
    ]
    return [
        "## Against the budgets",
        "",
        "| | at the target | budget | | |",
        "|---|---|---|---|---|",
        *(row.text for row in rows),
        "",
        "Control's processor time is made of:",
        "",
        *(f"- {name}: {value:.2f}% of a core" for name, value in _control_cpu(lines, s)),
        "",
    ]


def _memory_mb(lines: dict[str, Line], s: Sizes) -> float:
    tickets = WORKSPACES * BACKLOGGED_PART * BACKLOG_PER_WORKSPACE * TICKET_SHARDS / s.shards
    keys = s.requests * KEY_LIFETIME_S
    return (
        lines["idle_memory_by_routers"].at(DAEMONS)
        + lines["relay_memory_by_streams"].per_unit * s.streams
        + lines["dispatcher_bytes_by_tickets"].per_unit * tickets / 1e6
        + lines["keeper_bytes_by_keys"].per_unit * keys / 1e6
        + ANSWER_MEMORY_MB
    )


def _roles(lines: dict[str, Line], s: Sizes) -> list[str]:
    keys = s.requests * KEY_LIFETIME_S
    decision = lines["decision_us_by_workspaces"].at(WORKSPACES * BACKLOGGED_PART)
    counters = WORKSPACES * BACKLOGGED_PART * COUNTER_BYTES
    exchange = counters * (s.shards_per_service - 1) / EXCHANGE_S
    entries = WORKSPACES + WORKERS
    key_mb = lines["keeper_bytes_by_keys"].per_unit * keys / 1e6
    relay = lines["relay_cpu_by_tokens_per_s"].at(s.tokens)
    return [
        "## By role",
        "",
        "| role | state | messages | processor | memory | carried by |",
        "|---|---|---|---|---|---|",
        f"| caller listener and relay | {s.streams:.0f} streams, kept answers "
        f"| none of its own | {relay:.0f}% of a core "
        f"| {lines['relay_memory_by_streams'].per_unit * s.streams:.0f} MB and "
        f"{ANSWER_MEMORY_MB} MB of answers | `relay`, `follower`, `stored_answer` |",
        f"| dispatcher of a shard | counters of {WORKSPACES * BACKLOGGED_PART:.0f} workspaces, tickets "
        f"| {s.tickets_per_shard:.0f} tickets, half as many grants a second "
        f"| {decision:.0f} us a decision: {decision * s.tickets_per_shard / 1e4:.1f}% of a core, "
        f"messages beside "
        f"| {lines['dispatcher_bytes_by_tickets'].per_unit:.0f} B a ticket "
        f"| `dispatcher`, `fair_queue`, `endpoint_pool` |",
        f"| counter exchange of a shard | totals of the other shards | {s.shards_per_service - 1} "
        f"a second, {exchange / 1000:,.0f} KB a second | not measured alone | small "
        f"| `dispatcher.exchange`; **over the daemon's bytes, see below** |",
        f"| key owner | {keys:,.0f} keys | {s.requests:.0f} claims a second "
        f"| {lines['keeper_us_by_claims'].per_unit:.1f} us a claim | {key_mb:.1f} MB | `key_owner` |",
        f"| member | {DAEMONS:,} members | 2 probes a second "
        f"| {lines['member_us_per_s_by_routers'].at(DAEMONS) / 1e4:.2f}% of a core "
        f"| in the daemon's base | `membership` |",
        f"| configuration follower | {entries:,} entries | 1 read of the head a second "
        f"| {lines['workspace_change_ms_by_entries'].at(entries):.1f} ms a workspace's change, "
        f"{lines['endpoint_change_ms_by_entries'].at(entries):.1f} an endpoint's "
        f"| in the daemon's base | `config_follower`, `configuration` |",
        "| orderer | nothing between rounds | a read of each engine a round "
        "| not measured | small | `order_lease`, `order_planner`; **one for all, see below** |",
        "",
    ]


def _consequences(s: Sizes) -> list[str]:
    reads = DAEMONS / POLL_HEAD_S
    rate = TOKENS_PER_S / MODELS / (WORKSPACES * BACKLOGGED_PART)
    staleness = s.run_s + EXCHANGE_S
    replaced = (REPLACEMENTS_PER_DAY + FAILURES_PER_DAY) / SECONDS_A_DAY * 3600
    return [
        "## Consequences",
        "",
        f"- **Fairness.** A backlogged workspace gets {rate:,.0f} tokens a second of a service; at a "
        f"staleness of a run ({s.run_s:.1f} s) and an exchange ({EXCHANGE_S:.0f} s) the bound is two "
        f"of the largest requests plus {rate * staleness:,.0f} tokens.",
        f"- **Store.** Each daemon reading the head each second makes {reads:,.0f} reads a second of "
        f"about {STORE_READS_PER_S:,}: it fits barely and leaves nothing. Slower polls with versions "
        "carried by members are the way; the interval is a setting (`config-poll-ms`). Writes: "
        f"{CHANGES_PER_DAY / SECONDS_A_DAY * 2:.1f} rows a second for changes; keys of callers "
        "without a token each cost two, so they must stay rare.",
        f"- **{FAILURES_PER_DAY} failures a day.** Each idles the slots of a daemon's runs, "
        f"1/{DAEMONS} of all, for {FAIL_OVER_S} s at most; {s.streams:.0f} answers are read again at "
        "their engines if their callers come back with keys. Shares do not move.",
        f"- **{REPLACEMENTS_PER_DAY:,} replacements a day** ({replaced:.0f} changes of members an hour "
        "with the failures): graceful ones cut nothing; each moves the shards it dispatched.",
        "- **A rack or switch a week, a failure domain every other month** (133 daemons at once): "
        "their shards move in one step, registrations arrive within 120 ms; keys kept there are "
        "unknown to retries; answers held there are read at engines. Engines in the lost domain are "
        "closed after their first failure each.",
        "- **Regions apart for an hour.** Each side dispatches all shards that it can see: endpoints "
        "reachable from both get up to twice their slots until load reports show the other's work. "
        "Nothing runs twice. The side without the store keeps its configuration, and is isolated only "
        "if it also lost most members; a third region sees two others, so it is not. Changes accepted "
        "on one side come in force on the other after it rejoins.",
        "",
    ]


def _missing(lines: dict[str, Line], s: Sizes) -> list[str]:
    return [
        "## What carries it not yet",
        "",
        "- Control's processor time: messages are handled one by one in Python; batches per dispatcher "
        "and loop round, and polls by link instead of by shard, are the next step.",
        f"- Counter exchange: {WORKSPACES * BACKLOGGED_PART:.0f} counters to "
        f"{s.shards_per_service - 1} shards each second is over 6 KB a second for a dispatcher. "
        "Deltas of changed counters only, and exchange over a tree or through one shard per service, "
        "are not built.",
        "- Members of 3 regions: one flat group is probed across regions; no groups per region.",
        "- Head polls by a few daemons per failure domain instead of all: not built.",
        "- Orders: one orderer reads every engine of presets with loads; to be divided by service.",
        "- First token within 0.71 s and 27 ms between tokens for 95 in 100 at these sizes: not "
        "measured; only one router with up to 200 streams was.",
        "",
    ]


def _slopes(lines: dict[str, Line]) -> list[str]:
    rows = [
        f"| {name} | {line.base:.4g} | {line.per_unit:.4g} | {line.residual:.3g} |"
        for name, line in sorted(lines.items())
    ]
    return [
        "## The lines",
        "",
        "| line | base | per unit | largest distance of a point |",
        "|---|---|---|---|",
        *rows,
    ]


def _stream_origins(path: Path = ORIGINS) -> list[str]:
    figures = json.loads(path.read_text())[0]["figures"]
    return [
        "",
        "### Where streams began",
        "",
        f"From `{path}` (`tamarack_bench run stream-origins`), told of each stream that callers may",
        f"take up: {figures['bytes_per_stream']} bytes, {figures['tell_us_per_stream']} us to tell,",
        f"{figures['remember_us_per_stream']} us to read and remember and",
        f"{figures['memory_bytes_per_stream']} bytes of memory a stream. At the target, with",
        f"{REQUESTS_PER_S:,} streams a second, a router tells",
        f"{figures['target_bytes_per_s_of_a_router']:.0f} bytes a second of {BUDGET_BYTES:,}; the relay of a",
        f"failure domain reads {figures['target_bytes_per_s_of_a_relay'] / 1000:.0f} kB a second, which",
        "**does not fit**, and keeps at most",
        f"{figures['target_memory_mb_of_a_relay']:.0f} MB.",
    ]


if __name__ == "__main__":
    print(page(read_lines()), end="")
