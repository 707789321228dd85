"""How many requests a router has in progress at the most, by how late its event loop runs."""

from __future__ import annotations

import math

HIGH_MS = 60.0
LOW_MS = 50.0
"""Lateness of the loop, in milliseconds, above which the limit falls and below which it grows. The
higher one is half of the least time in which events have to be passed on; both are above the 48 ms
for which a quota of half a core stops a process, which is no sign of too much work."""

CUT = 0.8
CUT_EACH_MS = 250.0
"""What a cut leaves of the limit, and the least time between two, in milliseconds: streams that
were taken before go on for a second or two, and the loop recovers as they end."""

GROWTH = 2.0
"""Requests by which the limit grows with each look at the loop while it is reached."""

LATE_SAMPLES = 2
"""Late samples in a row from which on the limit is cut: a single one is a suspension of the process
or a long callback, and the router bears what it bore before."""

LEAST = 32.0
"""Requests that are taken in any case: so few are not what makes a loop late."""

OVER = 2.0
"""Times the limit up to which those are taken whose workspaces have less than an even part of it:
a bound for the case that many workspaces ask for little each."""


class ConcurrencyLimit:
    """Bounds the work that a router takes to what its processor bears.

    What fails without it: a caller with much traffic keeps to one router, which takes all that the
    engines have room for. Its loop falls behind, all its streams are late, and callers that connect
    are not read before they give up. Refusing costs a tenth of what a stream does, so a router that
    takes fewer streams answers everybody at once.
    """

    def __init__(self) -> None:
        self._most = math.inf
        self._cut_ms = -math.inf
        self._late = 0

    @property
    def most(self) -> float:
        """Requests in progress up to which another one is taken; infinite while none was late."""
        return self._most

    def takes(self, own: int, running: int, workspaces: int) -> bool:
        """Whether one more request is taken.

        A full router would otherwise refuse whoever comes, a workspace with few requests as often
        as the one whose requests fill it.

        Parameters
        ----------
        own
            Requests in progress of the workspace that asks.
        running, workspaces
            Requests in progress of all, and how many workspaces these and this one belong to.
        """
        if running < self._most:
            return True
        return running < OVER * self._most and own < self._most / workspaces

    def observe(self, late_ms: float, running: int, now_ms: float) -> None:
        """Take in how late the loop's timer fired, with so many requests in progress."""
        self._late = self._late + 1 if late_ms > HIGH_MS else 0
        if self._late >= LATE_SAMPLES and now_ms - self._cut_ms >= CUT_EACH_MS:
            self._cut_ms = now_ms
            self._most = max(LEAST, CUT * min(self._most, running))
        elif late_ms < LOW_MS and running >= CUT * self._most:
            self._most += GROWTH
