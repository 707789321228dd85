"""One request in the model engine's stand-in, and its answer as stock engines write it."""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from typing import Any

from tamarack_standins.run_log import RunRecord

LONGEST_ANSWER_TOKENS = 400
SHORTEST_ANSWER_TOKENS = 5


class Generation:
    """One request in the engine."""

    def __init__(self, request: str, workspace: str, body: dict[str, Any], chat: bool) -> None:
        self.request = request
        self.stream = bool(body.get("stream"))
        self.model = str(body.get("model"))
        self.chat = chat
        self.prompt = _prompt_of(body)
        self.prompt_tokens = max(1, len(self.prompt) // 4)
        self.wanted = _answer_tokens(body, self.prompt)
        self.produced = 0
        self.prefill_steps = 0
        self.out = bytearray()
        self.text: list[str] = []
        self.done = False
        self.cancelled = False
        self.changed = asyncio.Event()
        self.record: RunRecord | None = None

    def token(self) -> str:
        """Text of the next token."""
        return f"{self.request}#{self.produced} "

    def notify(self) -> None:
        """Wake the tasks that write this generation."""
        self.changed.set()
        self.changed = asyncio.Event()


def _prompt_of(body: dict[str, Any]) -> str:
    if "messages" in body:
        return "\n".join(str(message.get("content", "")) for message in body["messages"])
    return str(body.get("prompt", ""))


def _answer_tokens(body: dict[str, Any], prompt: str) -> int:
    limit = int(body.get("max_tokens") or LONGEST_ANSWER_TOKENS)
    seed = int.from_bytes(hashlib.sha256(prompt.encode()).digest()[:8], "big")
    drawn = random.Random(seed).randint(SHORTEST_ANSWER_TOKENS, LONGEST_ANSWER_TOKENS)
    exact = body.get("standin_tokens")
    return int(exact) if exact else max(1, min(limit, drawn))


def event_bytes(generation: Generation, text: str) -> bytes:
    """The stream event that carries a token."""
    if generation.chat:
        choice: dict[str, Any] = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    else:
        choice = {"index": 0, "text": text, "finish_reason": None}
    return b"data: " + json.dumps(_chunk(generation, choice)).encode() + b"\n\n"


def _chunk(generation: Generation, choice: dict[str, Any]) -> dict[str, Any]:
    kind = "chat.completion" if generation.chat else "text_completion"
    if generation.chat and generation.stream:
        kind = "chat.completion.chunk"
    return {
        "id": generation.request,
        "object": kind,
        "created": 0,
        "model": generation.model,
        "choices": [choice],
    }


def last_bytes(generation: Generation) -> bytes:
    """The final event of a stream, or the whole body of an answer that is not streamed."""
    if generation.stream:
        return b"data: [DONE]\n\n"
    text = "".join(generation.text)
    choice: dict[str, Any] = {"index": 0, "finish_reason": "stop"}
    if generation.chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": generation.prompt_tokens,
        "completion_tokens": generation.produced,
        "total_tokens": generation.prompt_tokens + generation.produced,
    }
    return json.dumps({**_chunk(generation, choice), "usage": usage}).encode()
