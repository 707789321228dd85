"""Idempotency keys kept by the router that they name; no key runs twice."""

from __future__ import annotations

from collections import Counter, deque
from typing import NamedTuple

from tamarack_core.claim_messages import Claim, ClaimAnswer, ClaimDone, ClaimRunning
from tamarack_core.defaults import KEY_LIFETIME_MS, KEY_MEMORY
from tamarack_core.key_token import EPOCH_MS, KeyToken, parse_key

FRESH, RUNNING, DONE, ORPHAN, CONFLICT, UNKNOWN, FULL, RELEASED = (
    "fresh",
    "running",
    "done",
    "orphan",
    "conflict",
    "unknown",
    "full",
    "released",
)
WORKSPACE_FRACTION = 0.5


class _Record(NamedTuple):
    """A key that was claimed.

    Attributes
    ----------
    request
        Request whose router holds the answer.
    run
        Request id that the endpoint knows the run by; differs once a run was adopted.
    """

    digest: str
    request: str
    state: str
    endpoint: str = ""
    run: str = ""


class Keeper:
    """Claims of keys minted in this life of the router.

    Parameters
    ----------
    router, boot
        The router and the start of its life, as its tokens say.
    started_ms
        Monotonic time of that start.
    memory
        Keys held at most; past it claims are refused, for a forgotten key could run twice.
    """

    def __init__(
        self,
        router: str,
        boot: int,
        started_ms: float,
        *,
        memory: int = KEY_MEMORY,
        lifetime_ms: float = KEY_LIFETIME_MS,
    ) -> None:
        self._router = router
        self._boot = boot
        self._started_ms = started_ms
        self._memory = memory
        self._epochs_kept = max(1, int(lifetime_ms // EPOCH_MS))
        self._records: dict[tuple[str, str], _Record] = {}
        self._by_request: dict[str, tuple[str, str]] = {}
        self._by_epoch: deque[tuple[int, set[tuple[str, str]]]] = deque()
        self._held: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._records)

    def token(self, now_ms: float) -> KeyToken:
        """The token to hand out now."""
        return KeyToken(self._router, self._boot, self._epoch(now_ms))

    def claim(self, claim: Claim, now_ms: float) -> ClaimAnswer:
        """Say whether a key may run, and if not, under which request it runs or ran."""
        state, record = self._decide(claim, now_ms)
        if state == FRESH:
            return ClaimAnswer(claim.request, state)
        return ClaimAnswer(claim.request, state, record.request, record.run, record.endpoint)

    def running(self, message: ClaimRunning) -> None:
        """Record where a key runs."""
        index = self._by_request.get(message.request)
        if index is not None:
            record = self._records[index]
            self._records[index] = record._replace(endpoint=message.endpoint, run=message.request)

    def done(self, done: ClaimDone) -> None:
        """Record how a run ended; `released` says that it never began."""
        index = self._by_request.get(done.request)
        if index is None:
            return
        if done.state == RELEASED:
            del self._by_request[done.request]
        self._records[index] = self._records[index]._replace(state=done.state)

    def router_gone(self, prefix: str) -> None:
        """A router died: its runs may still be read at their endpoints, the rest is unknown."""
        for index, record in self._records.items():
            if record.state in (RUNNING, DONE) and record.request.startswith(prefix):
                state = ORPHAN if record.endpoint else UNKNOWN
                self._records[index] = record._replace(state=state)

    def _decide(self, claim: Claim, now_ms: float) -> tuple[str, _Record]:
        nobody = _Record("", "", "")
        token = parse_key(claim.key)
        if token is None or (token.router, token.boot) != (self._router, self._boot):
            return UNKNOWN, nobody
        self._forget(now_ms)
        epoch = self._epoch(now_ms)
        if token.epoch <= epoch - self._epochs_kept or token.epoch > epoch:
            return UNKNOWN, nobody
        index = (claim.workspace, claim.key)
        record = self._records.get(index)
        if record is None:
            return self._open(index, claim, token.epoch)
        if record.digest != claim.digest:
            return CONFLICT, nobody
        if record.state == RELEASED or record.request == claim.request:
            fresh = _Record(claim.digest, claim.request, RUNNING)
            self._hold(index, fresh)
            return FRESH, fresh
        if record.state == ORPHAN:
            # The asker reads the run at its endpoint and holds the answer from now on.
            self._hold(index, record._replace(request=claim.request, state=RUNNING))
        return record.state, record

    def _hold(self, index: tuple[str, str], record: _Record) -> None:
        old = self._records.get(index)
        if old is not None:
            self._by_request.pop(old.request, None)
        self._records[index] = record
        self._by_request[record.request] = index

    def _open(self, index: tuple[str, str], claim: Claim, epoch: int) -> tuple[str, _Record]:
        free = self._memory - len(self._records)
        # A flooding workspace may not use up the keys of all others.
        if self._held[claim.workspace] >= max(1, WORKSPACE_FRACTION * free):
            return FULL, _Record("", "", "")
        record = _Record(claim.digest, claim.request, RUNNING)
        self._hold(index, record)
        self._held[claim.workspace] += 1
        for kept, indexes in self._by_epoch:
            if kept == epoch:
                indexes.add(index)
                break
        else:
            self._by_epoch.append((epoch, {index}))
        return FRESH, record

    def _epoch(self, now_ms: float) -> int:
        return int((now_ms - self._started_ms) // EPOCH_MS)

    def _forget(self, now_ms: float) -> None:
        oldest = self._epoch(now_ms) - self._epochs_kept
        expired = [pair for pair in self._by_epoch if pair[0] <= oldest]
        for pair in expired:
            self._by_epoch.remove(pair)
            for index in pair[1]:
                self._by_request.pop(self._records.pop(index).request, None)
                self._held[index[0]] -= 1
