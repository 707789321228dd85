"""Closed-loop callers, and the outcome of each of their requests."""

from __future__ import annotations

import json
import random
import threading
import time
from types import TracebackType
from typing import Any, NamedTuple

from tamarack_client import Client, OutcomeUnknownError, RefusedError
from tamarack_client.address_book import NoRouterError

START_SPREAD_S = 0.2
"""Latest start of a caller after the start of the load, in seconds."""


class CallerPlan(NamedTuple):
    """One workspace's load.

    Attributes
    ----------
    callers
        Number of callers; each has one request in progress at a time.
    think_s
        Mean pause of each caller between requests, in seconds.
    stream_part
        Fraction of the requests that are streams.
    plain_part
        Fraction of the requests that go to the plain service.
    tokens
        Range of the answers' lengths, in tokens.
    """

    workspace: str
    callers: int
    think_s: float = 0.0
    stream_part: float = 0.2
    plain_part: float = 0.0
    tokens: tuple[int, int] = (10, 120)


class Result(NamedTuple):
    """Outcome of one request; times in seconds of the monotonic clock.

    Attributes
    ----------
    outcome
        `answered`, `not-run`, `unknown`, `mixed` (not the content that belongs to the request) or
        `cut` (a stream without its end).
    first_s
        Time of the first byte of a stream, otherwise of the answer.
    """

    workspace: str
    kind: str
    outcome: str
    code: str
    request_id: str
    started_s: float
    first_s: float
    ended_s: float
    attempts: int
    tokens: int
    marker: str


class Load:
    """Loads the fleet with the callers of several workspaces.

    Parameters
    ----------
    model, plain
        Model and plain service to call.
    pinned
        Addresses that a workspace's callers use in place of those that the fleet publishes.
    """

    def __init__(
        self,
        addresses: list[str],
        keys: dict[str, str],
        plans: list[CallerPlan],
        *,
        model: str,
        plain: str,
        seed: int,
        deadline_s: float = 20.0,
        pinned: dict[str, list[str]] | None = None,
    ) -> None:
        self._model = model
        self._plain = plain
        self._deadline_s = deadline_s
        self._results: list[Result] = []
        self._stop = threading.Event()
        self._threads = []
        self._clients = {}
        for plan in plans:
            seeds = list(addresses)
            random.Random(f"{seed}/{plan.workspace}").shuffle(seeds)
            client = Client(seeds, keys[plan.workspace], silence_s=4.0)
            if pinned and plan.workspace in pinned:
                client.address_book.pin(pinned[plan.workspace])
            self._clients[plan.workspace] = client
            for number in range(plan.callers):
                rng = random.Random(f"{seed}/{plan.workspace}/{number}")
                thread = threading.Thread(target=self._loop, args=(plan, rng), daemon=True)
                self._threads.append(thread)

    def __enter__(self) -> Load:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.finish()

    @property
    def results(self) -> list[Result]:
        """Results so far."""
        return list(self._results)

    def finish(self) -> None:
        """Stop sending requests and wait for those in progress."""
        self._stop.set()
        for thread in self._threads:
            thread.join(self._deadline_s + 10)

    def _loop(self, plan: CallerPlan, rng: random.Random) -> None:
        client = self._clients[plan.workspace]
        self._stop.wait(rng.random() * START_SPREAD_S)
        number = 0
        while not self._stop.is_set():
            number += 1
            self._results.append(self._send_request(client, plan, rng, number))
            if plan.think_s:
                self._stop.wait(plan.think_s * (0.5 + rng.random()))

    def _send_request(
        self, client: Client, plan: CallerPlan, rng: random.Random, number: int
    ) -> Result:
        started_s = time.monotonic()
        kind = self._kind(plan, rng)
        tokens = rng.randint(*plan.tokens)
        prompt = f"{plan.workspace} asks {rng.randint(0, 20)} " + "please " * rng.randint(2, 40)
        marker = f"{plan.workspace}/{id(rng):x}/{number}"
        body = {
            "user": marker,
            "model": self._model,
            "prompt": prompt,
            "max_tokens": 1000,
            "standin_tokens": tokens,
        }
        result = Result(
            plan.workspace, kind, "answered", "", "", started_s, 0.0, 0.0, 1, tokens, marker
        )
        try:
            if kind == "stream":
                return self._stream(client, body, result)
            return self._whole(client, kind, body, result)
        except RefusedError as error:
            return _ended(result, "not-run", error.code)
        except OutcomeUnknownError as error:
            return _ended(result, "unknown", error.code)._replace(request_id=error.request_id)
        except NoRouterError:
            return _ended(result, "not-run", "unreachable")

    def _kind(self, plan: CallerPlan, rng: random.Random) -> str:
        draw = rng.random()
        if draw < plan.plain_part:
            return "plain"
        return "stream" if draw < plan.plain_part + plan.stream_part else "whole"

    def _whole(self, client: Client, kind: str, body: dict[str, Any], result: Result) -> Result:
        if kind == "plain":
            path = f"/services/{self._plain}/tank-orders"
            answer = client.call(
                "POST", path, {"marker": body["user"]}, deadline_s=self._deadline_s
            )
            whole = answer.json.get("service", "").startswith(self._plain)
        else:
            answer = client.call("POST", "/v1/completions", body, deadline_s=self._deadline_s)
            whole = answer.status == 200 and is_whole(
                answer.json["choices"][0]["text"], answer.json["id"], result.tokens
            )
        result = _ended(result, "answered" if whole else "mixed", "")
        return result._replace(
            request_id=answer.request_id, attempts=answer.attempts, first_s=result.ended_s
        )

    def _stream(self, client: Client, body: dict[str, Any], result: Result) -> Result:
        data = bytearray()
        first_s = 0.0
        path = "/v1/completions"
        for part in client.call_stream(
            "POST", path, {**body, "stream": True}, deadline_s=self._deadline_s
        ):
            if not first_s:
                first_s = time.monotonic()
            data += part
        text, request_id, ended = read_stream(bytes(data))
        if not ended:
            outcome = "cut"
        else:
            outcome = "answered" if is_whole(text, request_id, result.tokens) else "mixed"
        return _ended(result, outcome, "")._replace(request_id=request_id, first_s=first_s)


def is_whole(text: str, request_id: str, tokens: int) -> bool:
    """Whether a text is exactly what an engine stand-in generates for a request id."""
    return text == "".join(f"{request_id}#{number} " for number in range(tokens))


def read_stream(data: bytes) -> tuple[str, str, bool]:
    """Text and request id of a stream of completion events, and whether it has its final event."""
    text: list[str] = []
    request_id = ""
    for line in data.decode().splitlines():
        if not line.startswith("data: "):
            continue
        if line == "data: [DONE]":
            return "".join(text), request_id, True
        event = json.loads(line.removeprefix("data: "))
        if "choices" in event:
            request_id = event["id"]
            text.append(event["choices"][0]["text"])
    return "".join(text), request_id, False


def _ended(result: Result, outcome: str, code: str) -> Result:
    return result._replace(outcome=outcome, code=code, ended_s=time.monotonic())
