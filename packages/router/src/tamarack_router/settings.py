"""Settings of tamarackd from flags and environment variables; all faults are reported at once."""

from __future__ import annotations

import argparse
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, NamedTuple

from tamarack_core.queue_policy import QUEUES
from tamarack_router.admin_app import ROLES, AdminToken

ENV_PREFIX = "TAMARACK_"


class SettingsFault(NamedTuple):
    """An invalid setting and the reason."""

    setting: str
    message: str


class Settings(NamedTuple):
    """All settings; times in milliseconds, sizes in bytes."""

    router: str
    failure_domain: str
    listen: str
    admin_listen: str
    metrics_listen: str
    peer_listen: str
    peer_advertise: str
    peer: list[str]
    platform: str
    threads: int
    admin_threads: int
    max_connections: int
    max_held: int
    share_alpha: float
    max_body_bytes: int
    send_ms: int
    address_ttl_ms: int
    grace_ms: int
    config_poll_ms: int
    load_poll_ms: int
    order_interval_ms: int
    stream_silence_ms: int
    whole_silence_ms: int
    answer_memory_bytes: int
    held_memory_bytes: int
    answer_lifetime_ms: int
    shard_size: int
    exchange_ms: int
    policy: str
    switch_interval_us: int
    trace: str
    trace_address: str
    trace_sample: float
    log_level: str
    tls_certificate: str
    tls_key: str
    curve_public: str
    admin_tokens: list[AdminToken]
    curve_secret: str


Parser = Callable[[str], Any]


class Setting(NamedTuple):
    """Name, parser, default and help text of one setting.

    Attributes
    ----------
    default
        Text of the default; None if the setting is required.
    secret
        Read from the environment or a file only, never from a flag, and never printed.
    """

    name: str
    parse: Parser
    default: str | None
    help: str
    secret: bool = False

    @property
    def flag(self) -> str:
        """The command-line flag."""
        return f"--{self.name.replace('_', '-')}"

    @property
    def variable(self) -> str:
        """The environment variable."""
        return ENV_PREFIX + self.name.upper()


def _text(text: str) -> str:
    return text


def _name(text: str) -> str:
    allowed = set("abcdefghijklmnopqrstuvwxyz0123456789-_.")
    if not text or len(text) > 40 or not allowed.issuperset(text):
        raise ValueError("must have 1 to 40 characters of a-z 0-9 - _ .")
    return text


def _address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    octets = host.split(".")
    numeric = len(octets) == 4 and all(o.isdecimal() and int(o) < 256 for o in octets)
    if not colon or not numeric or not port.isdecimal() or int(port) > 65_535:
        raise ValueError("must be an IP address and port, IP:PORT")
    return text


def _optional_address(text: str) -> str:
    return _address(text) if text else ""


def _addresses(text: str) -> list[str]:
    return [_address(part.strip()) for part in text.split(",") if part.strip()]


def _url(text: str) -> str:
    if not text.startswith(("http://", "https://")):
        raise ValueError("must begin with http:// or https://")
    return text


def _integer(low: int, high: int) -> Parser:
    def parse(text: str) -> int:
        if not text.lstrip("-").isdecimal() or not low <= int(text) <= high:
            raise ValueError(f"must be an integer from {low} to {high}")
        return int(text)

    return parse


def _number(low: float, high: float) -> Parser:
    def parse(text: str) -> float:
        try:
            value = float(text)
        except ValueError:
            value = low - 1
        if not low <= value <= high:
            raise ValueError(f"must be a number from {low:g} to {high:g}")
        return value

    return parse


def _one_of(*values: str) -> Parser:
    def parse(text: str) -> str:
        if text not in values:
            raise ValueError(f"must be one of {', '.join(values)}")
        return text

    return parse


def _file(text: str) -> str:
    if text and not Path(text).is_file():
        raise ValueError("must name an existing file")
    return text


def _tokens(text: str) -> list[AdminToken]:
    tokens = []
    for part in text.split(","):
        role, colon, secret = part.strip().partition(":")
        if not colon:
            role, secret = "configure", role
        if role not in ROLES:
            raise ValueError(f"must have roles {', '.join(ROLES)}, as ROLE:TOKEN,ROLE:TOKEN")
        if len(secret) < 16:
            raise ValueError("must have tokens of at least 16 characters")
        tokens.append(AdminToken(role, secret))
    return tokens


SETTINGS: list[Setting] = [
    Setting("router", _name, None, "name of this router, unique in the fleet"),
    Setting("failure_domain", _name, None, "failure domain that this instance is in"),
    Setting("listen", _address, "127.0.0.1:8080", "address for callers, IP:PORT"),
    Setting("admin_listen", _address, "127.0.0.1:8081", "address for operators"),
    Setting("metrics_listen", _address, "127.0.0.1:8082", "address for metrics and health"),
    Setting("peer_listen", _address, "127.0.0.1:8083", "address for other routers"),
    Setting(
        "peer_advertise",
        _optional_address,
        "",
        "address advertised to other routers, if it differs from peer-listen",
    ),
    Setting("peer", _addresses, "", "peer addresses of other routers, comma-separated"),
    Setting("platform", _url, None, "base URL of the platform's services"),
    Setting("threads", _integer(2, 512), "8", "threads that read callers' requests"),
    Setting("admin_threads", _integer(1, 64), "4", "threads for operators, and for metrics"),
    Setting(
        "max_connections",
        _integer(16, 100_000),
        "4000",
        "maximum number of connections open to a listener; less if descriptors are few",
    ),
    Setting("max_held", _integer(1, 100_000), "2000", "maximum number of requests held"),
    Setting(
        "share_alpha",
        _number(0.01, 100),
        "1",
        "multiple of the free request capacity that a workspace may hold",
    ),
    Setting(
        "max_body_bytes", _integer(1_024, 100_000_000), "1000000", "maximum size of a request body"
    ),
    Setting("send_ms", _integer(50, 600_000), "10000", "time limit for a caller to send a request"),
    Setting("address_ttl_ms", _integer(100, 600_000), "5000", "how long callers cache addresses"),
    Setting(
        "grace_ms",
        _integer(0, 3_600_000),
        "30000",
        "time from the signal to stop until the supervisor kills the process; 0: without limit",
    ),
    Setting(
        "config_poll_ms",
        _integer(50, 60_000),
        "1000",
        "how often the configuration's head is polled",
    ),
    Setting(
        "load_poll_ms", _integer(50, 60_000), "500", "how often the load of endpoints is polled"
    ),
    Setting(
        "order_interval_ms", _integer(50, 60_000), "500", "how often the orderer compares engines"
    ),
    Setting(
        "stream_silence_ms",
        _integer(50, 600_000),
        "1500",
        "silence after which a stream is resumed",
    ),
    Setting(
        "whole_silence_ms",
        _integer(50, 600_000),
        "6000",
        "the same for answers that are not streams",
    ),
    Setting("answer_memory_bytes", _integer(0, 10**10), "48000000", "memory for stored answers"),
    Setting(
        "held_memory_bytes",
        _integer(1_000_000, 10**10),
        "96000000",
        "memory for requests that are held and for their answers until they end",
    ),
    Setting("answer_lifetime_ms", _integer(0, 86_400_000), "120000", "how long answers are stored"),
    Setting("shard_size", _integer(1, 4_096), "64", "maximum number of endpoints per dispatcher"),
    Setting("exchange_ms", _integer(50, 60_000), "1000", "how often shards exchange counters"),
    Setting(
        "policy",
        _one_of(*sorted(QUEUES)),
        "fair",
        "order of service; all but fair are baselines for measurements",
    ),
    Setting(
        "switch_interval_us", _integer(50, 100_000), "2000", "interpreter's thread switch interval"
    ),
    Setting("trace", _one_of("off", "stderr", "otlp"), "off", "destination of traces"),
    Setting("trace_address", _text, "http://127.0.0.1:4318/v1/traces", "URL of the OTLP collector"),
    Setting("trace_sample", _number(0, 1), "0.01", "fraction of traces that are recorded"),
    Setting("log_level", _one_of("debug", "info", "warning", "error"), "info", "minimum log level"),
    Setting("tls_certificate", _file, "", "PEM file; with tls-key, listeners use TLS"),
    Setting("tls_key", _file, "", "PEM file of the certificate's private key"),
    Setting("curve_public", _text, "", "fleet's public key; with its secret, peers use CURVE"),
    Setting("admin_tokens", _tokens, None, "operators' tokens, ROLE:TOKEN,...", True),
    Setting("curve_secret", _text, "", "fleet's secret key", True),
]


def make_parser() -> argparse.ArgumentParser:
    """Build the command-line parser of tamarackd."""
    parser = argparse.ArgumentParser(
        prog="tamarackd",
        description="Router of a tamarackturn fleet. Every flag has an environment variable.",
        epilog="Exit codes: 0 stopped on request, 1 failed, 2 invalid settings.",
    )
    for setting in SETTINGS:
        if setting.secret:
            continue
        default = "required" if setting.default is None else f"default {setting.default or 'none'}"
        text = f"{setting.help} ({default}) [{setting.variable}]"
        parser.add_argument(setting.flag, metavar="VALUE", help=text)
    secrets = ", ".join(s.variable for s in SETTINGS if s.secret)
    parser.add_argument(
        "--print-settings",
        action="store_true",
        help=f"print the settings without secrets and exit; secrets are read from the "
        f"environment only, or from a file named by the variable with the suffix _FILE: {secrets}",
    )
    return parser


def read_settings(
    flags: Mapping[str, str | None], environment: Mapping[str, str]
) -> Settings | list[SettingsFault]:
    """Read each setting from its flag, variable or default; return all faults if there are any."""
    values: dict[str, Any] = {}
    faults: list[SettingsFault] = []
    for setting in SETTINGS:
        text = _find(setting, flags, environment, faults)
        if text is None:
            continue
        try:
            values[setting.name] = setting.parse(text)
        except ValueError as error:
            faults.append(SettingsFault(setting.flag, str(error)))
    faults.extend(_check_pairs(values))
    return faults if faults else Settings(**values)


def printable(settings: Settings) -> list[str]:
    """Return the settings as lines, without secrets."""
    lines = []
    for setting in SETTINGS:
        value = getattr(settings, setting.name)
        if setting.secret:
            value = "(set)" if value else "(not set)"
        elif isinstance(value, list):
            value = ",".join(value)
        lines.append(f"{setting.variable}={value}")
    return lines


def _find(
    setting: Setting,
    flags: Mapping[str, str | None],
    environment: Mapping[str, str],
    faults: list[SettingsFault],
) -> str | None:
    flag = flags.get(setting.name)
    if flag is not None and not setting.secret:
        return flag
    if setting.variable in environment:
        return environment[setting.variable]
    file_name = environment.get(f"{setting.variable}_FILE")
    if setting.secret and file_name is not None:
        try:
            return Path(file_name).read_text().strip()
        except OSError as error:
            faults.append(SettingsFault(setting.variable, f"cannot be read from its file: {error}"))
            return None
    if setting.default is None:
        where = setting.variable if setting.secret else f"{setting.flag} or {setting.variable}"
        faults.append(SettingsFault(setting.flag, f"is required; set {where}"))
    return setting.default


def _check_pairs(values: dict[str, Any]) -> list[SettingsFault]:
    faults = []
    if bool(values.get("tls_certificate")) != bool(values.get("tls_key")):
        faults.append(SettingsFault("--tls-key", "must be set together with --tls-certificate"))
    if bool(values.get("curve_public")) != bool(values.get("curve_secret")):
        faults.append(
            SettingsFault("--curve-public", "must be set together with TAMARACK_CURVE_SECRET")
        )
    return faults


def settings_from_process(arguments: list[str] | None = None) -> tuple[Any, Any]:
    """Parse flags and environment of this process; the second value is settings or faults."""
    parsed = make_parser().parse_args(arguments)
    return parsed, read_settings(vars(parsed), os.environ)
