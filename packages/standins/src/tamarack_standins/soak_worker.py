"""Workers of the platform's soak: they fail some of their requests, and restart after a crash."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from tamarack_standins.platform_worker import (
    BORN_MS,
    SOFTWARE_VERSION,
    PlatformWorker,
    ReceivedRequest,
    Script,
)
from tamarack_standins.soak_crashes import FATAL_BLOCKS, FATAL_BODIES, FATAL_SCRIPTS
from tamarack_standins.wire import chunk

INCARNATION_STEP_MS = 1_000
"""Milliseconds between the start times of two incarnations of a worker."""

EVENT_PAUSE_S = 0.15
"""Longest time in seconds between events of streams that may be taken up: many should be under way
when a router ends."""

UNFRAMED_PROBABILITY = 0.1
"""Probability that an answer has neither a length nor chunks."""

SPOILED_PROBABILITY = 0.2
SPOILED_EVENTS = 6
SPOILED = (b"id: %d\ndata: \n\n", b"ix: %d\ndata: \n\n", b"id: %d\ndata: \x00\n")
"""Share of failures that spoil a stream, number of its events, and what is sent in place of one: a
number that is not its own as its id, no id, or no end."""

REST_PROBABILITY = 0.7
REST_S = (0.8, 2.5)
"""Probability that a rejection requests rest, and the range of its seconds."""


class SoakWorker(PlatformWorker):
    """A worker that fails some of its requests, and reports each run.

    Parameters
    ----------
    streams
        Whether its answers are streams.
    rng
        Random source of its answers.
    ran
        Called with each request that it runs, and whether the answer is a stream.
    life
        Start of its incarnation in milliseconds since the Unix epoch.

    Attributes
    ----------
    life
        As the parameter.
    on_arrival
        Called with each request that arrives, whatever becomes of it.
    on_stream
        Called with an attempt and the last event of its stream; zero if it must not end as whole,
        None if its end can't be told from a crash behind a proxy, which accepts for dead workers.
    on_rest
        Called with a request that is answered with a request for rest, and its seconds.
    failure_probability
        Probability that a request fails.
    overloaded
        Whether it rejects all requests and requests rest.
    """

    def __init__(
        self,
        name: str,
        *,
        streams: bool,
        rng: random.Random,
        ran: Callable[[ReceivedRequest, bool], None],
        life: int = BORN_MS,
        address: str = "127.0.0.1:0",
        zone: str = "a",
        software_version: str = SOFTWARE_VERSION,
    ) -> None:
        super().__init__(
            name, born=life, address=address, zone=zone, software_version=software_version
        )
        self.life = life
        self._streams = streams
        self._rng = rng
        self._ran = ran
        self._spoiled: set[str] = set()
        self.failure_probability = 0.0
        self.overloaded = False
        self.fatal = FATAL_BODIES
        if streams:
            incarnation = (life - BORN_MS) // INCARNATION_STEP_MS
            self.fatal_blocks = FATAL_BLOCKS
            self.fatal_script = FATAL_SCRIPTS[incarnation % len(FATAL_SCRIPTS)]
        self.on_arrival: Callable[[SoakWorker, ReceivedRequest], None] = _ignore
        self.on_stream: Callable[[str, int | None], None] = _ignore_stream
        self.on_rest: Callable[[str, ReceivedRequest, float], None] = _ignore_rest

    def next_incarnation(self) -> SoakWorker:
        """The next incarnation of this worker, with the same name and address."""
        return SoakWorker(
            self.name,
            streams=self._streams,
            rng=self._rng,
            ran=self._ran,
            life=self.life + INCARNATION_STEP_MS,
            address=self.address,
            zone=self.zone,
            software_version=self.software_version,
        )

    def _next_script(self, received: ReceivedRequest) -> Script:
        rng = self._rng
        self.on_arrival(self, received)
        first = int(received.headers.get("last-event-id", "0")) + 1
        events = rng.randint(first, first + 7) if self._streams else None
        unframed = rng.random() < UNFRAMED_PROBABILITY
        good = Script(echo=True, events=events, pause_s=rng.random() * 0.02, unframed=unframed)
        if self._streams:
            resumable = received.target.startswith("/draft/")
            pause_s = rng.random() * EVENT_PAUSE_S if resumable else 0.0
            good = good._replace(tells_version=True, event_pause_s=pause_s)
        if self.overloaded:
            return self._request_rest(
                good._replace(status=503, not_run=True, events=None), received
            )
        attempt = received.headers.get("x-attempt-id", "")
        if events is not None:
            self.on_stream(attempt, None if unframed else events)
        if rng.random() >= self.failure_probability:
            self._ran(received, self._streams)
            return good
        if self._streams and rng.random() < SPOILED_PROBABILITY:
            self._ran(received, self._streams)
            self._spoiled.add(attempt)
            self.on_stream(attempt, 0)
            return good._replace(events=first + SPOILED_EVENTS - 1, unframed=False)
        bad = rng.choice(
            (
                good._replace(status=503, not_run=True, events=None),
                good._replace(status=500, events=None),
                good._replace(reset=True),
                good._replace(silent=True),
                good._replace(attempt="stray"),
                good._replace(events=first + 7, cut_after=first + 1)
                if self._streams
                else good._replace(extra=b"x", unframed=False),
                good._replace(truncated=True, events=None),
            )
        )
        if not bad.not_run:
            self._ran(received, self._streams)
        elif rng.random() < REST_PROBABILITY:
            return self._request_rest(bad, received)
        return bad

    async def _stream(
        self, script: Script, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bool:
        if received.headers.get("x-attempt-id", "") not in self._spoiled:
            return await super()._stream(script, received, writer)
        last = script.events or 0
        numbers = range(last - SPOILED_EVENTS + 1, last + 1)
        events = [b"id: %d\ndata: %s\n\n" % (n, self._body(script, received)) for n in numbers]
        # Neither the first, which may begin anew, nor the last, which nothing contradicts.
        place = self._rng.randrange(1, SPOILED_EVENTS - 1)
        spoiled = self._rng.choice(SPOILED)
        events[place] = spoiled % (numbers[place] + 90)
        lines = [*self._head(script, received), "content-type: text/event-stream"]
        head = "\r\n".join([*lines, "transfer-encoding: chunked", "", ""]).encode()
        writer.write(head + chunk(b"".join(events)) + chunk(b""))
        await writer.drain()
        return True

    def _request_rest(self, rejection: Script, received: ReceivedRequest) -> Script:
        rest_s = self._rng.uniform(*REST_S)
        self.on_rest(self.name, received, rest_s)
        return rejection._replace(retry_after=f"{rest_s:.3f}")


def _ignore(worker: SoakWorker, received: ReceivedRequest) -> None:
    """Default of `on_arrival`: does nothing."""


def _ignore_stream(attempt: str, last: int | None) -> None:
    """Default of `on_stream`: does nothing."""


def _ignore_rest(worker: str, received: ReceivedRequest, rest_s: float) -> None:
    """Default of `on_rest`: does nothing."""
