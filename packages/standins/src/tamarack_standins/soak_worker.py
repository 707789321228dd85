"""Workers of the platform's soak: they fail some of their requests, and restart after a crash."""

from __future__ import annotations

import random
from collections.abc import Callable

from tamarack_standins.platform_worker import BORN_MS, Arrived, PlatformWorker, Script
from tamarack_standins.soak_ends import FATAL_BODIES

INCARNATION_STEP_MS = 1_000
"""Milliseconds between the start times of two incarnations of a worker."""


class SoakWorker(PlatformWorker):
    """A worker that fails some of its requests, and reports each run.

    Parameters
    ----------
    streams
        Whether its answers are streams.
    draws
        Random source of its answers.
    ran
        Called with each request that it runs, and whether the answer is a stream.
    life
        Start of its incarnation in milliseconds since the Unix epoch.

    Attributes
    ----------
    bad_part
        Probability that a request fails.
    """

    def __init__(
        self,
        name: str,
        *,
        streams: bool,
        draws: random.Random,
        ran: Callable[[Arrived, bool], None],
        life: int = BORN_MS,
        port: int = 0,
    ) -> None:
        super().__init__(name, born=life, port=port)
        self._life = life
        self._streams = streams
        self._draws = draws
        self._ran = ran
        self.bad_part = 0.0
        self.fatal = FATAL_BODIES

    def next_life(self) -> SoakWorker:
        """The next incarnation of this worker, with the same name and address."""
        port = int(self.address.rpartition(":")[2])
        return SoakWorker(
            self.name,
            streams=self._streams,
            draws=self._draws,
            ran=self._ran,
            life=self._life + INCARNATION_STEP_MS,
            port=port,
        )

    def _next_script(self, arrived: Arrived) -> Script:
        draw = self._draws
        events = draw.randint(1, 8) if self._streams else None
        good = Script(echo=True, events=events, pause_s=draw.random() * 0.02)
        if draw.random() >= self.bad_part:
            self._ran(arrived, self._streams)
            return good
        bad = draw.choice(
            (
                good._replace(status=503, not_run=True, events=None),
                good._replace(status=500, events=None),
                good._replace(reset=True),
                good._replace(silent=True),
                good._replace(attempt="stray"),
                good._replace(events=8, cut_after=2)
                if self._streams
                else good._replace(extra=b"x"),
                good._replace(truncated=True, events=None),
            )
        )
        if not bad.not_run:
            self._ran(arrived, self._streams)
        return bad
