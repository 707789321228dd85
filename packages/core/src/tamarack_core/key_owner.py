"""Idempotency keys, stored by the router that they name as owner; no key runs twice."""

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
WORKSPACE_FRACTION = 0.5  # of the free capacity that one workspace may use


class _Record(NamedTuple):
    """A claimed key.

    Attributes
    ----------
    request
        Id of the request whose router holds the response.
    run
        Request id under which the endpoint knows the run; it differs from `request` after
        another request has adopted the run.
    """

    digest: str
    request: str
    state: str
    endpoint: str = ""
    run: str = ""


class KeyOwner:
    """Key owner: claims of the keys that name this router and its current incarnation.

    Parameters
    ----------
    router, boot
        The router's name and its boot time in milliseconds since the Unix epoch, as in tokens.
    started_ms
        Monotonic time of the boot.
    memory
        Maximum number of keys. Further claims are refused, since evicting a key could let its
        request run twice.
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
        self._retained_epochs = max(1, int(lifetime_ms // EPOCH_MS))
        self._records: dict[tuple[str, str], _Record] = {}
        self._by_request: dict[str, tuple[str, str]] = {}
        self._by_epoch: deque[tuple[int, set[tuple[str, str]]]] = deque()
        self._keys_per_workspace: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._records)

    def token(self, now_ms: float) -> KeyToken:
        """The token for new keys."""
        return KeyToken(self._router, self._boot, self._epoch(now_ms))

    def claim(self, claim: Claim, now_ms: float) -> ClaimAnswer:
        """Decide whether a key may run; if not, name the request under which it runs or ran."""
        state, record = self._evaluate(claim, now_ms)
        if state == FRESH:
            return ClaimAnswer(claim.request, state)
        return ClaimAnswer(claim.request, state, record.request, record.run, record.endpoint)

    def running(self, message: ClaimRunning) -> None:
        """Record the endpoint that runs a key's request."""
        index = self._by_request.get(message.request)
        if index is not None:
            record = self._records[index]
            self._records[index] = record._replace(endpoint=message.endpoint, run=message.request)

    def done(self, done: ClaimDone) -> None:
        """Record how a run ended; `released` means that it never started."""
        index = self._by_request.get(done.request)
        if index is None:
            return
        if done.state == RELEASED:
            del self._by_request[done.request]
        self._records[index] = self._records[index]._replace(state=done.state)

    def router_died(self, prefix: str) -> None:
        """Mark a dead router's runs as orphans, or as unknown if their endpoint is not known."""
        for index, record in self._records.items():
            if record.state in (RUNNING, DONE) and record.request.startswith(prefix):
                state = ORPHAN if record.endpoint else UNKNOWN
                self._records[index] = record._replace(state=state)

    def _evaluate(self, claim: Claim, now_ms: float) -> tuple[str, _Record]:
        no_record = _Record("", "", "")
        token = parse_key(claim.key)
        if token is None or (token.router, token.boot) != (self._router, self._boot):
            return UNKNOWN, no_record
        self._drop_expired(now_ms)
        epoch = self._epoch(now_ms)
        if token.epoch <= epoch - self._retained_epochs or token.epoch > epoch:
            return UNKNOWN, no_record
        index = (claim.workspace, claim.key)
        record = self._records.get(index)
        if record is None:
            return self._create_record(index, claim, token.epoch)
        if record.digest != claim.digest:
            return CONFLICT, no_record
        if record.state == RELEASED or record.request == claim.request:
            fresh = _Record(claim.digest, claim.request, RUNNING)
            self._store(index, fresh)
            return FRESH, fresh
        if record.state == ORPHAN:
            # The claiming request reads the run at its endpoint and holds the response from now on.
            self._store(index, record._replace(request=claim.request, state=RUNNING))
        return record.state, record

    def _store(self, index: tuple[str, str], record: _Record) -> None:
        old = self._records.get(index)
        if old is not None:
            self._by_request.pop(old.request, None)
        self._records[index] = record
        self._by_request[record.request] = index

    def _create_record(
        self, index: tuple[str, str], claim: Claim, epoch: int
    ) -> tuple[str, _Record]:
        capacity_left = self._memory - len(self._records)
        # Prevents one workspace from using the key capacity of all others.
        if self._keys_per_workspace[claim.workspace] >= max(1, WORKSPACE_FRACTION * capacity_left):
            return FULL, _Record("", "", "")
        record = _Record(claim.digest, claim.request, RUNNING)
        self._store(index, record)
        self._keys_per_workspace[claim.workspace] += 1
        for known_epoch, indexes in self._by_epoch:
            if known_epoch == epoch:
                indexes.add(index)
                break
        else:
            self._by_epoch.append((epoch, {index}))
        return FRESH, record

    def _epoch(self, now_ms: float) -> int:
        return int((now_ms - self._started_ms) // EPOCH_MS)

    def _drop_expired(self, now_ms: float) -> None:
        oldest = self._epoch(now_ms) - self._retained_epochs
        expired = [pair for pair in self._by_epoch if pair[0] <= oldest]
        for pair in expired:
            self._by_epoch.remove(pair)
            for index in pair[1]:
                self._by_request.pop(self._records.pop(index).request, None)
                self._keys_per_workspace[index[0]] -= 1
