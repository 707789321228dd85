"""Model of one engine in a router's local state: its queueing delay and its prefix cache.

Engines prefill prompts in order of arrival, so the time to a new request's first token follows from
the prompt tokens that were sent before it and are not prefilled yet. Reports from engines are older
than that queue is long; the model is therefore updated from the requests that routers send, and
corrected by each first event that comes back.
"""

from __future__ import annotations

from collections import OrderedDict

from tamarack_core.first_token import FIRST_TOKEN_MS, FirstTokenTime
from tamarack_core.prompt import PrefixBlock, Prompt

PROMPT_TOKENS_PER_MS = 50.0
"""Initial estimate of prefilled tokens per millisecond, deliberately low; the speed factor of each
engine is learned from its first events."""

PAIR_MS_PER_MILLION = 0.37
"""Attention cost of prefill: milliseconds per million pairs of a new token and an earlier one."""

PACE_GAIN = 0.15
"""Weight of one observation in the learned speed factor, which converges within some ten first
events."""

PACE_MIN, PACE_MAX = 0.4, 8.0
"""Bounds of the speed factor: observed time as a multiple of the predicted time."""

PEER_GAIN = 0.5
"""Weight of a queueing delay that another router reports. The report is some 80 ms old and lacks
the requests sent since, so it corrects the local sum and does not replace it."""

MAX_PEER_MS = 600_000.0
MAX_PEER_TOKENS = 10**9
"""Largest prefill or queueing time, and prefix block, that is accepted from another router. A
broken one may send any number; not a number would stay in all later predictions."""

SHORT_MS = 25.0
"""Prefill time in milliseconds up to which a first event is a sample of the time to a first token
beyond prefill."""

MIN_PREDICTED_MS = 40.0
"""Shortest prediction in milliseconds that updates the speed factor; in shorter ones the network
delay dominates."""

PACE_HALF_LIFE_MS = 4_000.0
"""Half-life in milliseconds of a learned slowdown, so that a slow engine is tried again."""

BLOCK_REPORT_MIN_TOKENS = 256
"""Smallest prefix block that is reported to other routers; a smaller one is recomputed in a few
milliseconds."""

BLOCK_REPORT_INTERVAL_MS = 3_000.0
"""Milliseconds after which a block that is used again is reported again, so that other routers do
not treat it as evicted; reporting all blocks after each placement would double the traffic between
failure domains."""

CACHE_FRACTION_OF_MEMORY = 0.6
"""Fraction of an engine's KV memory that the model assumes for cached prefix blocks; running
requests use the rest."""


def prefill_ms_of(prompt: Prompt, uncached: int) -> float:
    """Milliseconds to prefill the last `uncached` tokens of a prompt, at speed factor one."""
    pairs = uncached * (prompt.tokens_in - uncached / 2)
    return uncached / PROMPT_TOKENS_PER_MS + pairs / 1e6 * PAIR_MS_PER_MILLION


class _Sent:
    """A request sent by this router that has no first event yet."""

    __slots__ = ("added_ms", "due_ms", "reading_ms", "sent_ms")

    def __init__(self, sent_ms: float, due_ms: float, reading_ms: float, added_ms: float) -> None:
        self.sent_ms = sent_ms
        self.due_ms = due_ms
        self.reading_ms = reading_ms
        self.added_ms = added_ms


class EngineModel:
    """Predicts the time to first token at one engine.

    Parameters
    ----------
    memory_tokens
        Capacity of its KV memory in tokens.
    first_token
        Time to a first token beyond prefill, shared by all engines of the service.
    """

    def __init__(
        self, *, memory_tokens: int = 500_000, first_token: FirstTokenTime | None = None
    ) -> None:
        self._first_token = first_token or FirstTokenTime()
        self._free_ms = 0.0
        self._added_ms = 0.0
        self._sent: dict[str, _Sent] = {}
        self._pace = 1.0
        self._pace_updated_ms = 0.0
        self._cached: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._reported_ms: dict[str, float] = {}
        self._capacity = 0.0
        self.running = 0
        self.resize(memory_tokens)

    @property
    def waiting(self) -> int:
        """Own requests without a first event."""
        return len(self._sent)

    def resize(self, memory_tokens: int) -> None:
        """Set the capacity of the engine's KV memory, which may become known later or change."""
        self._capacity = memory_tokens * CACHE_FRACTION_OF_MEMORY
        self._evict()

    def pace(self, now_ms: float) -> float:
        """Speed factor: the engine's time as a multiple of the predicted one; decays towards 1."""
        past = max(0.0, now_ms - self._pace_updated_ms)
        return 1.0 + (self._pace - 1.0) * 0.5 ** (past / PACE_HALF_LIFE_MS)

    def wait_ms(self, now_ms: float) -> float:
        """Queueing delay: time until the engine has prefilled all prompts sent to it."""
        return max(0.0, self._free_ms - now_ms)

    @property
    def beyond_prefill_ms(self) -> float:
        """Time from the end of prefill to the first token, beyond `FIRST_TOKEN_MS`."""
        return self._first_token.beyond_ms

    @property
    def first_token_ms(self) -> float:
        """Time from the end of prefill to the first token."""
        return FIRST_TOKEN_MS + self._first_token.beyond_ms

    def caches(self, part: PrefixBlock) -> bool:
        """Whether the engine is known to cache a prefix block."""
        return part.key in self._cached

    def reading_ms(self, prompt: Prompt, assumed_kept: int = 0) -> float:
        """Time to prefill the uncached rest of a prompt, at speed factor one."""
        return prefill_ms_of(prompt, max(0, self.unread_tokens(prompt) - assumed_kept))

    def unread_tokens(self, prompt: Prompt) -> int:
        """Prompt tokens that the engine has to prefill, according to the local state."""
        cached = sum(part.tokens for part in prompt.parts[: self.cached_blocks(prompt)])
        return max(0, prompt.tokens_in - cached)

    def cached_blocks(self, prompt: Prompt) -> int:
        """Number of leading prefix blocks of a prompt that the engine caches."""
        for number, part in enumerate(prompt.parts):
            if part.key not in self._cached:
                return number
        return len(prompt.parts)

    def sent(self, request: str, prompt: Prompt, now_ms: float) -> float:
        """Record a request sent by this router; returns the prefill time that others should add."""
        reading_ms = self.reading_ms(prompt) * self.pace(now_ms)
        self._add(reading_ms, now_ms)
        due_ms = self._free_ms + FIRST_TOKEN_MS
        self._sent[request] = _Sent(now_ms, due_ms, reading_ms, self._added_ms)
        self.add_blocks(prompt.parts)
        return reading_ms

    def add_peer_work(self, reading_ms: float, now_ms: float) -> None:
        """Add the prefill time of requests sent by another router."""
        if 0.0 <= reading_ms <= MAX_PEER_MS:
            self._add(reading_ms, now_ms)

    def first_event(self, request: str, now_ms: float) -> None:
        """Record the first event of a request: all prompts sent before it have been prefilled.

        The engine has gone on with later prompts for as long as the first token took beyond
        prefill.
        """
        sent = self._sent.pop(request, None)
        if sent is None:
            return
        if sent.reading_ms <= SHORT_MS:
            self._first_token.observe(now_ms - sent.sent_ms - sent.reading_ms, now_ms)
        prefilled_ms = now_ms - self.beyond_prefill_ms
        self._learn(sent, prefilled_ms)
        behind_ms = self._added_ms - sent.added_ms
        self._free_ms = prefilled_ms + behind_ms

    def observe_peer(self, wait_ms: float, pace: float, now_ms: float) -> None:
        """Apply the queueing delay and speed factor that another router saw at a first event.

        In a large fleet a router gets a first event from an engine only every few seconds. Without
        the observations of other routers, the sum of all sent work drifts away from the real queue,
        and requests are refused or sent to engines that do not cache their prefix.
        """
        if not 0.0 <= wait_ms <= MAX_PEER_MS or not 0.0 <= pace <= MAX_PEER_MS:
            return
        self._free_ms += PEER_GAIN * (now_ms + wait_ms - max(now_ms, self._free_ms))
        own = self.pace(now_ms)
        self._pace = own + PACE_GAIN * (pace - own)
        self._pace_updated_ms = now_ms

    def dropped(self, request: str) -> None:
        """Remove a request that ended without a first event."""
        self._sent.pop(request, None)

    def add_blocks(self, parts: tuple[PrefixBlock, ...]) -> None:
        """Record that the engine caches these blocks; the least recently used ones are evicted."""
        for part in parts:
            if part.key not in self._cached:
                self._cached_tokens += part.tokens
            self._cached[part.key] = part.tokens
            self._cached.move_to_end(part.key)
        self._evict()

    def _evict(self) -> None:
        while self._cached_tokens > self._capacity and self._cached:
            key, tokens = self._cached.popitem(last=False)
            self._cached_tokens -= tokens
            self._reported_ms.pop(key, None)

    def add_reported_blocks(self, parts: list[PrefixBlock]) -> None:
        """Add blocks from the engine's own report; those known here were used more recently.

        The engine's cache is larger than the model's, which leaves out the unshared blocks of other
        routers' requests. If not all blocks fit, the smallest are dropped: large blocks are the
        shared ones and cost most to recompute.
        """
        known = list(self._cached.items())
        self.add_blocks(tuple(sorted(parts, key=lambda part: part.tokens)))
        self.add_blocks(tuple(PrefixBlock(key, tokens) for key, tokens in known))

    def add_peer_blocks(self, parts: list[tuple[str, int]], now_ms: float) -> None:
        """Record blocks that another router reported, by key and size."""
        blocks = [PrefixBlock(key, n) for key, n in parts if 0 <= n <= MAX_PEER_TOKENS]
        for block in blocks:
            self._reported_ms[block.key] = now_ms
        self.add_blocks(tuple(blocks))

    def blocks_to_report(self, prompt: Prompt, now_ms: float) -> list[PrefixBlock]:
        """Shared blocks of a prompt sent to this engine that other routers may not know of."""
        parts = [
            part
            for part in prompt.parts[:-1]
            if part.tokens >= BLOCK_REPORT_MIN_TOKENS
            and now_ms - self._reported_ms.get(part.key, float("-inf")) >= BLOCK_REPORT_INTERVAL_MS
        ]
        for part in parts:
            self._reported_ms[part.key] = now_ms
        return parts

    def _add(self, reading_ms: float, now_ms: float) -> None:
        self._free_ms = max(now_ms, self._free_ms) + reading_ms
        self._added_ms += reading_ms

    def _learn(self, sent: _Sent, now_ms: float) -> None:
        predicted_ms = sent.due_ms - sent.sent_ms
        if predicted_ms < MIN_PREDICTED_MS:
            return
        pace = self.pace(now_ms)
        observed = pace * (now_ms - sent.sent_ms) / predicted_ms
        learned = pace + PACE_GAIN * (observed - pace)
        self._pace = min(PACE_MAX, max(PACE_MIN, learned))
        self._pace_updated_ms = now_ms
