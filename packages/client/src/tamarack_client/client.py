"""Callers' client: router addresses, failover, retries that are safe, stream resumption."""

from __future__ import annotations

import json
import secrets
import time
from collections.abc import Iterator
from types import TracebackType
from typing import Any, NamedTuple, TypedDict, Unpack

import urllib3
from urllib3.response import BaseHTTPResponse

from tamarack_client.address_book import AddressBook, NoRouterError
from tamarack_client.answer import Answer, OutcomeUnknownError, RefusedError
from tamarack_client.http_pool import (
    MAX_ANSWER_BYTES,
    MAX_ERROR_BYTES,
    AnswerTooLargeError,
    HttpPool,
    read_bounded,
)

DEADLINE_S = 60.0
CONNECT_TIMEOUT_S = 1.0
SILENCE_S = 10.0
MAX_PAUSE_S = 1.0
POOL_SIZE = 64
READ_BYTES = 16_384

LOST_PAUSE_S = 0.05
"""Pause in seconds before a broken answer is asked for again: the next may break at once, too."""

TOO_LARGE = "answer_too_large"
"""Code of the error for an answer that is larger than this process reads."""


class CallOptions(TypedDict, total=False):
    """Options of a request.

    Attributes
    ----------
    deadline_s
        Time limit of the whole call, `DEADLINE_S` by default.
    key
        Idempotency key; the client makes one by default.
    headers
        Additional headers.
    """

    deadline_s: float
    key: str | None
    headers: dict[str, str] | None


class _Attempt(NamedTuple):
    """Result of sending a request once.

    Attributes
    ----------
    maybe_received
        Whether a router may have received the request even though it did not answer.
    """

    response: BaseHTTPResponse | None
    maybe_received: bool


class Client:
    """Calls the fleet on behalf of one workspace; safe to share between threads.

    Parameters
    ----------
    addresses
        `IP:PORT` of some routers; the fleet returns the others.
    key
        The workspace's bearer key.
    silence_s
        Seconds without data on a connection before the answer is requested on a new one.
    """

    def __init__(
        self,
        addresses: list[str],
        key: str,
        *,
        scheme: str = "http",
        silence_s: float = SILENCE_S,
        ca_certs: str | None = None,
    ) -> None:
        self._key = key
        self._scheme = scheme
        options: dict[str, Any] = {"ca_certs": ca_certs} if ca_certs else {}
        self._http = HttpPool(
            num_pools=POOL_SIZE,
            maxsize=POOL_SIZE,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=silence_s),
            **options,
        )
        self._address_book = AddressBook(self._http, addresses, key, scheme)

    def __enter__(self) -> Client:
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._http.clear()

    def complete(
        self, model: str, prompt: str, *, max_tokens: int = 256, **options: Unpack[CallOptions]
    ) -> Answer:
        """Request a model's completion of a prompt; returns the complete answer."""
        return self.call("POST", "/v1/completions", _body(model, prompt, max_tokens), **options)

    def stream(
        self, model: str, prompt: str, *, max_tokens: int = 256, **options: Unpack[CallOptions]
    ) -> Iterator[bytes]:
        """Like `complete`, as a stream of server-sent events; a broken connection is resumed."""
        body = {**_body(model, prompt, max_tokens), "stream": True}
        return self.call_stream("POST", "/v1/completions", body, **options)

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        **options: Unpack[CallOptions],
    ) -> Answer:
        """Make a request and return its complete answer.

        It is retried only under its idempotency key, or if no router can have received it.

        Raises
        ------
        RefusedError
            It was not run, and a retry does not help or would pass the deadline.
        OutcomeUnknownError
            It is unknown whether it ran.
        """
        exchange = _Exchange(self, method, path, body, **options)
        while True:
            response = exchange.open()
            try:
                data = read_bounded(response, MAX_ANSWER_BYTES)
            except AnswerTooLargeError as error:
                raise OutcomeUnknownError(TOO_LARGE, str(error), _request_id(response)) from error
            except urllib3.exceptions.HTTPError:
                exchange.lost(response)
                continue
            finally:
                response.close()
            return Answer(response.status, data, _request_id(response), exchange.attempts)

    def call_stream(
        self,
        method: str,
        path: str,
        body: Any = None,
        **options: Unpack[CallOptions],
    ) -> Iterator[bytes]:
        """Make a request and yield the body as it arrives."""
        exchange = _Exchange(self, method, path, body, **options)
        response = exchange.open()
        received = 0
        while True:
            position = 0
            try:
                # `stream` reads a chunk's size line of any length.
                while data := response.read1(READ_BYTES, decode_content=False):
                    fresh = data[max(0, received - position) :]
                    position += len(data)
                    if fresh:
                        received += len(fresh)
                        yield fresh
                return
            except urllib3.exceptions.HTTPError:
                # The key yields the same answer from any router that can read the run.
                exchange.lost(response)
                response = exchange.open()

    def state(self, request_id: str) -> dict[str, Any]:
        """State of a request, from the first router that returns it."""
        for address in self._address_book.ordered():
            attempt = self.send(address, "GET", f"/v1/requests/{request_id}", None, {})
            if attempt.response is not None and attempt.response.status == 200:
                data = read_bounded(attempt.response, MAX_ANSWER_BYTES)
                state: dict[str, Any] = json.loads(data)
                return state
        raise NoRouterError("no router returned the request's state")

    def send(
        self, address: str, method: str, path: str, data: bytes | None, headers: dict[str, str]
    ) -> _Attempt:
        """Send one request to one router."""
        url = f"{self._scheme}://{address}{path}"
        all_headers = {"Authorization": f"Bearer {self._key}", **headers}
        try:
            response = self._http.request(
                method, url, body=data, headers=all_headers, preload_content=False, redirect=False
            )
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError):
            return _Attempt(None, False)
        except urllib3.exceptions.HTTPError:
            return _Attempt(None, True)
        return _Attempt(response, True)

    @property
    def address_book(self) -> AddressBook:
        """The addresses in use."""
        return self._address_book


class _Exchange:
    """One request until it has an answer: its key, attempts and pauses."""

    def __init__(
        self,
        client: Client,
        method: str,
        path: str,
        body: Any,
        *,
        deadline_s: float = DEADLINE_S,
        key: str | None = None,
        headers: dict[str, str] | None = None,
    ) -> None:
        self._client = client
        self._method = method
        self._path = path
        self._data = None if body is None else json.dumps(body).encode()
        self._headers = headers or {}
        self._given_key = key
        self._key = key
        self._maybe_received = False
        self._last_refusal: RefusedError | None = None
        self.deadline = time.monotonic() + deadline_s
        self.attempts = 0

    def open(self) -> BaseHTTPResponse:
        """Send until a router returns an answer that is not a refusal."""
        while True:
            for address in self._client.address_book.ordered():
                response = self._try(address)
                if response is not None:
                    return response
                if time.monotonic() >= self.deadline:
                    self._give_up()
            self._pause(0.05)

    def lost(self, response: BaseHTTPResponse) -> None:
        """Record that an answer broke off; only the key makes a retry safe."""
        response.close()
        if time.monotonic() >= self.deadline:
            self._give_up()
        self._maybe_received = True
        self._client.address_book.renew()
        self._pause(LOST_PAUSE_S)

    def _try(self, address: str) -> BaseHTTPResponse | None:
        remaining_ms = int((self.deadline - time.monotonic()) * 1000)
        if remaining_ms <= 0:
            self._give_up()
        self.attempts += 1
        attempt = self._client.send(
            address, self._method, self._path, self._data, self._request_headers(remaining_ms)
        )
        response = attempt.response
        if response is None:
            self._client.address_book.failed(address)
            self._maybe_received = self._maybe_received or attempt.maybe_received
            return None
        if response.headers.get("Tamarack-Outcome", "ran") == "ran":
            return response
        self._refused(response, address)
        return None

    def _request_headers(self, remaining_ms: int) -> dict[str, str]:
        if self._key is None:
            self._key = f"{self._client.address_book.current().keeper_token}.{secrets.token_hex(8)}"
        headers = {
            **self._headers,
            "Idempotency-Key": self._key,
            "Tamarack-Deadline-Ms": str(remaining_ms),
        }
        if not self._maybe_received:
            headers["Tamarack-Attempt"] = "1"
        if self._data is not None:
            headers.setdefault("Content-Type", "application/json")
        return headers

    def _refused(self, response: BaseHTTPResponse, address: str) -> None:
        code, message, outcome = _read_error(response)
        request_id = _request_id(response)
        retry_after_ms = int(response.headers.get("Tamarack-Retry-After-Ms", "0"))
        if outcome != "not-run":
            raise OutcomeUnknownError(code, message, request_id)
        self._last_refusal = RefusedError(response.status, code, message, retry_after_ms)
        if not retry_after_ms:
            raise self._last_refusal
        if code in ("leaving", "isolated", "not_ready"):
            self._client.address_book.failed(address)
            return
        if code == "keeper_gone" and self._given_key is None:
            # Nothing ran under this key, so a new one is safe.
            self._key = None
            self._client.address_book.renew()
        self._pause(min(MAX_PAUSE_S, retry_after_ms / 1000))

    def _pause(self, seconds: float) -> None:
        if time.monotonic() + seconds >= self.deadline:
            self._give_up()
        time.sleep(seconds)

    def _give_up(self) -> None:
        if self._maybe_received:
            raise OutcomeUnknownError("deadline", "The deadline passed without an answer.", "")
        if self._last_refusal is not None:
            raise self._last_refusal
        raise RefusedError(0, "unreachable", "No router could be reached.", 0)


def _body(model: str, prompt: str, max_tokens: int) -> dict[str, Any]:
    return {"model": model, "prompt": prompt, "max_tokens": max_tokens}


def _request_id(response: BaseHTTPResponse) -> str:
    return response.headers.get("Tamarack-Request-Id", "")


def _read_error(response: BaseHTTPResponse) -> tuple[str, str, str]:
    """Code, message and outcome of a refusal."""
    outcome = response.headers.get("Tamarack-Outcome", "unknown")
    try:
        error = json.loads(read_bounded(response, MAX_ERROR_BYTES))["error"]
        return str(error["code"]), str(error["message"]), outcome
    except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError):
        return "unknown", f"The router answered {response.status}.", outcome
    finally:
        response.close()
