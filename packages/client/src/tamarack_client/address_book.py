"""The router addresses to use, as routers last returned them."""

from __future__ import annotations

import json
import threading
import time
from typing import NamedTuple

import urllib3

from tamarack_client.http_pool import MAX_ERROR_BYTES, HttpPool

QUERY_TIMEOUT = urllib3.Timeout(connect=0.5, read=1.0)
AVOID_S = 2.0
"""Seconds for which an address that failed is tried only after the others."""


class Addresses(NamedTuple):
    """One answer: addresses in order of preference, used until `valid_until` (monotonic seconds).

    `keeper_token` names the key owner; idempotency keys that the client makes begin with it.
    """

    addresses: list[str]
    keeper_token: str
    valid_until: float


class NoRouterError(Exception):
    """No router answered a query."""


class AddressBook:
    """Queries known routers for the routers to use, and caches the answer for its time to live.

    Parameters
    ----------
    seeds
        `IP:PORT` of some routers, for the first query.
    """

    def __init__(self, http: HttpPool, seeds: list[str], key: str, scheme: str) -> None:
        self._http = http
        self._seeds = list(seeds)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._scheme = scheme
        self._current = Addresses([], "", 0.0)
        self._avoid_until: dict[str, float] = {}
        self._pinned: list[str] = []
        self._lock = threading.Lock()

    def pin(self, addresses: list[str]) -> None:
        """Prefer these addresses to those that the fleet returns; keys still need its token."""
        self._pinned = list(addresses)

    def current(self) -> Addresses:
        """The cached answer, queried again if it has expired."""
        with self._lock:
            if time.monotonic() >= self._current.valid_until or not self._current.addresses:
                self._refresh()
            return self._current

    def ordered(self) -> list[str]:
        """Addresses in order of preference, then seeds; those that failed recently come last."""
        addresses = self._pinned or self.current().addresses
        others = [seed for seed in self._seeds if seed not in addresses]
        now = time.monotonic()
        return sorted([*addresses, *others], key=lambda a: self._avoid_until.get(a, 0.0) > now)

    def failed(self, address: str) -> None:
        """Record that an address failed, and invalidate the answer that listed it."""
        with self._lock:
            self._avoid_until[address] = time.monotonic() + AVOID_S
            self._current = self._current._replace(valid_until=0.0)

    def renew(self) -> None:
        """Invalidate the answer, so that the next use queries again."""
        with self._lock:
            self._current = self._current._replace(valid_until=0.0)

    def _refresh(self) -> None:
        now = time.monotonic()
        known = list(dict.fromkeys([*self._current.addresses, *self._seeds]))
        known.sort(key=lambda a: self._avoid_until.get(a, 0.0) > now)
        for address in known:
            answer = self._query(address)
            if answer is not None:
                self._current = answer
                return
            self._avoid_until[address] = time.monotonic() + AVOID_S
        raise NoRouterError(f"none of {len(known)} routers answered")

    def _query(self, address: str) -> Addresses | None:
        url = f"{self._scheme}://{address}/v1/addresses"
        try:
            response = self._http.fetch(
                "GET",
                url,
                limit_bytes=MAX_ERROR_BYTES,
                headers=self._headers,
                timeout=QUERY_TIMEOUT,
                retries=False,
            )
            if response.status != 200:
                return None
            body = json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return None
        if not body["addresses"]:
            return None
        valid_until = time.monotonic() + body["ttl_ms"] / 1000
        return Addresses(body["addresses"], body["keeper_token"], valid_until)
