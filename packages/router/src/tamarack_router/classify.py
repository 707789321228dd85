"""Classifies a caller's request: service, endpoint call and request spec."""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec
import xxhash

from tamarack_core.configuration import Configuration
from tamarack_core.configuration_entries import ServiceEntry
from tamarack_core.errors import ErrorCode, Refusal
from tamarack_core.key_token import MAX_KEY_BYTES
from tamarack_core.request_spec import RequestSpec
from tamarack_router.http_listener import HttpCall
from tamarack_router.messages import EndpointCall

COMPLETIONS = ("/v1/completions", "/v1/chat/completions")
SERVICES = "/services/"
CHARACTERS_PER_TOKEN = 4
PREFIX_CHARACTERS = 256
DEFAULT_PROMPT_WEIGHT = 0.25
DEFAULT_PRIORITY = 1
MAX_PRIORITY = 9
FORWARDED_HEADERS = ("content-type", "accept", "accept-language", "user-agent")


class Classified(NamedTuple):
    """A valid request, ready to be queued."""

    spec: RequestSpec
    call: EndpointCall


def classify(
    call: HttpCall, body: bytes, workspace: str, request: str, config: Configuration, now_ms: float
) -> Classified | Refusal:
    """Determine the service and the options of a request; an invalid one gives a refusal."""
    options = _read_options(call)
    if isinstance(options, Refusal):
        return options
    incoming = _Incoming(call, body, workspace, request, config, now_ms, options)
    if call.path in COMPLETIONS:
        return _classify_model(incoming)
    return _classify_plain(incoming)


class _Options(NamedTuple):
    """Options that a request's headers give: key, first attempt, deadline and priority."""

    key: str
    first: bool
    deadline_ms: int | None
    priority: int


class _Incoming(NamedTuple):
    """A received request with the options from its headers."""

    call: HttpCall
    body: bytes
    workspace: str
    request: str
    config: Configuration
    now_ms: float
    options: _Options


def _read_options(call: HttpCall) -> _Options | Refusal:
    headers = call.headers
    key = headers.get("idempotency-key", "")
    if len(key) > MAX_KEY_BYTES or not key.isprintable():
        return _bad(f"Idempotency-Key has at most {MAX_KEY_BYTES} printable characters.")
    deadline = headers.get("tamarack-deadline-ms")
    if deadline is not None and not (deadline.isdecimal() and 0 < int(deadline) <= 86_400_000):
        return _bad("Tamarack-Deadline-Ms is a number of milliseconds, at least 1.")
    for name in FORWARDED_HEADERS:
        if not headers.get(name, "").isprintable() or not headers.get(name, "").isascii():
            return _bad(f"The header {name} has characters that are not printable ASCII.")
    priority = headers.get("tamarack-priority", str(DEFAULT_PRIORITY))
    if not (priority.isdecimal() and int(priority) <= MAX_PRIORITY):
        return _bad(f"Tamarack-Priority is 0 to {MAX_PRIORITY}, 0 the most urgent.")
    attempt = headers.get("tamarack-attempt", "")
    if attempt and not attempt.isdecimal():
        return _bad("Tamarack-Attempt is a number, 1 for the first attempt.")
    return _Options(
        key, attempt == "1", int(deadline) if deadline is not None else None, int(priority)
    )


def _classify_model(incoming: _Incoming) -> Classified | Refusal:
    call, body, config = incoming.call, incoming.body, incoming.config
    if call.method != "POST":
        return _bad("Completions are asked for by POST.")
    parsed = _read_json(body)
    if isinstance(parsed, Refusal):
        return parsed
    model = parsed.get("model")
    if not isinstance(model, str):
        return _bad("The field model names the model.")
    service = config.models.get(model)
    entry = config.service(service) if service else None
    if service is None or entry is None:
        return Refusal(ErrorCode.UNKNOWN_SERVICE, f"There is no model {model[:64]}.")
    stream = parsed.get("stream", False)
    if not isinstance(stream, bool):
        return _bad("The field stream is true or false.")
    limit = parsed.get("max_tokens", parsed.get("max_completion_tokens"))
    if limit is not None and (isinstance(limit, bool) or not isinstance(limit, int) or limit < 1):
        return _bad("The field max_tokens is a whole number, at least 1.")
    prompt = _prompt_text(call.path, parsed)
    if isinstance(prompt, Refusal):
        return prompt
    prompt_tokens = len(prompt) / CHARACTERS_PER_TOKEN
    prompt_cost = prompt_tokens * entry.get("prompt_weight", DEFAULT_PROMPT_WEIGHT)
    prefix = xxhash.xxh32_intdigest(prompt[:PREFIX_CHARACTERS].encode())
    hint = round(prompt_cost) + limit if limit is not None else 0
    spec = _spec(incoming, service, entry)
    endpoint_call = EndpointCall(
        "POST", call.path, _forwarded_headers(call), body, "model", stream, prompt_cost
    )
    return Classified(spec._replace(hint=hint, prefix=prefix), endpoint_call)


def _classify_plain(incoming: _Incoming) -> Classified | Refusal:
    call, config = incoming.call, incoming.config
    service, _, _ = call.path.removeprefix(SERVICES).partition("/")
    entry = config.service(service)
    if entry is None or entry["kind"] != "plain":
        return Refusal(ErrorCode.UNKNOWN_SERVICE, f"There is no service {service[:64]}.")
    target = call.target.removeprefix(f"{SERVICES}{service}")
    if not target.startswith("/"):
        target = f"/{target}"
    if not _is_visible(target):
        return _bad("The path has characters that a request line may not have.")
    spec = _spec(incoming, service, entry)
    return Classified(
        spec,
        EndpointCall(call.method, target, _forwarded_headers(call), incoming.body, "plain", False),
    )


def _spec(incoming: _Incoming, service: str, entry: ServiceEntry) -> RequestSpec:
    call, options = incoming.call, incoming.options
    longest_ms = incoming.config.deadline_ms(service)
    deadline_ms = incoming.now_ms + min(longest_ms, options.deadline_ms or longest_ms)
    digest = ""
    if options.key:
        digest = xxhash.xxh64_hexdigest(f"{call.method} {call.target}\n".encode() + incoming.body)
    return RequestSpec(
        incoming.request,
        incoming.workspace,
        service,
        options.key,
        options.first,
        digest,
        is_repeatable(call.method, call.path, service, entry),
        deadline_ms,
        options.priority,
    )


def is_repeatable(method: str, path: str, service: str, entry: ServiceEntry) -> bool:
    """Whether an operation may run more than once: a read, or declared so by the service."""
    if method in ("GET", "HEAD", "OPTIONS"):
        return True
    inner = path.removeprefix(f"{SERVICES}{service}")
    return f"{method} {inner}" in entry.get("repeatable", [])


def _read_json(body: bytes) -> dict[str, Any] | Refusal:
    try:
        parsed = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError):
        return _bad("The body is not JSON.")
    if not isinstance(parsed, dict):
        return _bad("The body is not a JSON object.")
    return parsed


def _prompt_text(path: str, parsed: dict[str, Any]) -> str | Refusal:
    if path == "/v1/completions":
        prompt = parsed.get("prompt")
        return prompt if isinstance(prompt, str) else _bad("The field prompt is a string.")
    messages = parsed.get("messages")
    if not isinstance(messages, list) or not messages:
        return _bad("The field messages is a list with at least one message.")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return _bad("Each of messages has a role and a content.")
        content = message.get("content", "")
        parts.append(content if isinstance(content, str) else msgspec.json.encode(content).decode())
    return "\n".join(parts)


def _forwarded_headers(call: HttpCall) -> list[tuple[str, str]]:
    return [(name, call.headers[name]) for name in FORWARDED_HEADERS if name in call.headers]


def _is_visible(text: str) -> bool:
    """Whether a text is valid in a request line; an invalid one would crash the relay thread."""
    return text.isascii() and text.isprintable() and " " not in text


def _bad(message: str) -> Refusal:
    return Refusal(ErrorCode.BAD_REQUEST, message)
