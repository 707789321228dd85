"""Finds out at which software version a stream began, with the help of the other routers."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Collection
from typing import NamedTuple

from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.recent_table import RecentTable
from tamarack_core.stream_origins import (
    BegunStreams,
    Origin,
    OriginAnswer,
    OriginQuery,
    StreamOrigins,
    conclude,
)
from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.outbox import Outbox
from tamarack_gateway.site import RequestFacts

ASK_MS = 100.0
ASK_TIMES = 6
"""Time to wait for answers before a question is repeated, and how often it is asked. Through relays
question and answer take 200 ms, and others hear a router only some time after it has started."""

MAX_QUESTIONS = 200
"""Questions that may be open at a time; all routers process each of them."""

MAX_ATTEMPT_LENGTH = 200
"""Longest name of an attempt that is remembered or asked for, in characters; callers choose it."""


class Finding(NamedTuple):
    """The software version at which a stream began, None if not certain, and how it was found.

    Attributes
    ----------
    remembered
        Whether a router knows the stream, and it has not gone on at this router before; otherwise
        only the versions of its service are known.
    """

    software_version: str | None
    reason: str
    remembered: bool = False


class _Question:
    """A question to the other routers, with their answers so far."""

    def __init__(self, expected: Collection[str]) -> None:
        self._expected = set(expected)
        self.answers: list[OriginAnswer] = []
        self._complete = asyncio.Event()

    def add(self, answer: OriginAnswer) -> None:
        """Add an answer; the first of a router that knows the stream settles the question."""
        self.answers.append(answer)
        self._expected.discard(answer.router)
        if answer.known is not None or not self._expected:
            self.settle()

    def settle(self) -> None:
        """Wait for no more answers."""
        self._complete.set()

    async def answered(self, wait_ms: float) -> bool:
        """Wait for the missing answers; returns whether none is missing any more."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_ms / 1000):
                await self._complete.wait()
        return self._complete.is_set()


class OriginFeed:
    """Remembers where streams began, tells the other routers, and asks them.

    Each router tells the others of its streams with their first events, so that callers can go on
    with them at any router after this one has stopped. It does so while a service has one software
    version, too: a router that ends before the second one comes cannot tell any more. Nothing is
    told of an attempt before its first event: until then it may be sent again at another version,
    and whoever missed the second message would go on at the first.

    Parameters
    ----------
    routers
        Returns the names of the other routers.
    answers_all
        Returns whether this router also answers questions about streams that it does not know; in a
        large fleet only relays do.
    publish
        Called with questions and answers for the other routers.
    vouched
        Asks the store whether this router knows all endpoints that were listed up to a time, until
        another time; returns whether it does.
    """

    def __init__(
        self,
        state: FleetState,
        outbox: Outbox,
        *,
        routers: Callable[[], Collection[str]],
        answers_all: Callable[[], bool],
        publish: Callable[[OriginQuery | OriginAnswer], None],
        vouched: Callable[[float, float], Awaitable[bool]],
    ) -> None:
        self._state = state
        self._outbox = outbox
        self._routers = routers
        self._answers_all = answers_all
        self._publish = publish
        self._vouched = vouched
        self._origins = StreamOrigins(state.clock, lambda: state.longest_stream_ms)
        self._gone_on: RecentTable[str, bool] = RecentTable(
            state.clock, lambda: state.longest_stream_ms
        )
        self._questions: dict[int, _Question] = {}
        self._asked = 0
        state.software_versions.on_uncertain = self._tell_all

    @property
    def readings(self) -> dict[str, int]:
        """Number of streams whose origin is remembered, and of questions to other routers."""
        return {"stream_origins": len(self._origins), "stream_origins_asked": self._asked}

    def began(self, attempt: str, endpoint: Endpoint) -> None:
        """Record the first event of a stream, which may be taken up, at an endpoint.

        The stream has the name of the attempt that began it, as callers who take it up name it.
        """
        if len(attempt) > MAX_ATTEMPT_LENGTH:
            return
        origin = Origin(endpoint.service, endpoint.software_version)
        if self._origins.record_own(attempt, origin):
            self._outbox.began(attempt, origin)

    def went_on(self, attempt: str) -> None:
        """Record that a request which takes a stream up is sent to an endpoint."""
        self._gone_on[attempt] = True

    def ended(self, attempt: str) -> None:
        """Record that the caller has got the whole stream."""
        self._origins.record_ended(attempt)

    def open_streams(self, *, of_others: bool) -> list[tuple[str, Origin]]:
        """Streams that callers may take up, the newest last.

        Parameters
        ----------
        of_others
            Whether to include those that other routers have told of.
        """
        origins = self._origins
        return origins.known_open_attempts() if of_others else origins.open_attempts()

    def receive(self, message: BegunStreams | OriginQuery | OriginAnswer) -> None:
        """Apply a message of another router."""
        if isinstance(message, BegunStreams):
            self._state.software_versions.see(*message.origin)
            self._origins.record_told(message)
        elif isinstance(message, OriginQuery):
            answer = self._answer(message)
            if answer.known is not None or self._answers_all():
                self._publish(answer)
        elif message.asker == self._state.settings.router and message.number in self._questions:
            self._questions[message.number].add(message)

    async def find(self, facts: RequestFacts, service: str) -> Finding:
        """Find out at which software version the stream began that a request takes up.

        `service` is the one of which it is now requested.
        """
        found = await self._find(facts.resumes or "", service)
        self._state.log.request(
            "takes a stream up",
            facts.attempt,
            reason=found.reason,
            resumes=facts.resumes,
            last_event=facts.last_event,
            software_version=found.software_version,
        )
        if self._gone_on.get(facts.resumes or ""):
            # Otherwise a caller could take one stream up again and again, beyond any share.
            return found._replace(remembered=False)
        return found

    async def _find(self, attempt: str, service: str) -> Finding:
        origin = self._origins.find(attempt)
        if origin is not None:
            return Finding(origin.software_version, "known", remembered=True)
        several = self._state.software_versions.several(service)
        if (several and not attempt) or len(attempt) > MAX_ATTEMPT_LENGTH:
            return Finding(None, "not named")
        # The stream has begun before now. A version is in the store before any router uses it.
        begun_ms = self._state.clock.now_ms
        until_ms = begun_ms if several else begun_ms + ASK_MS * ASK_TIMES
        check = asyncio.ensure_future(self._vouched(begun_ms, until_ms))
        try:
            if self._state.software_versions.sole(service) is not None:
                await asyncio.wait((check,), timeout=ASK_MS / 1000)
            if (found := self._by_itself(attempt, service, check)) is not None:
                return found
            return await self._ask(attempt, service, check)
        finally:
            check.cancel()

    def _by_itself(self, attempt: str, service: str, check: asyncio.Future[bool]) -> Finding | None:
        """What this router can tell without the others; `check` is the store's word."""
        if (origin := self._origins.find(attempt)) is not None:
            return Finding(origin.software_version, "known", remembered=True)
        sole = self._state.software_versions.sole(service)
        vouched = check.done() and not check.cancelled() and check.result()
        if sole is not None and vouched:
            return Finding(sole, "the only version")
        return None

    async def _ask(self, attempt: str, service: str, check: asyncio.Future[bool]) -> Finding:
        routers = self._routers()
        if len(self._questions) >= MAX_QUESTIONS:
            return Finding(None, "too many questions")
        self._asked += 1
        query = OriginQuery(self._state.settings.router, self._asked, attempt, service)
        question = self._questions[query.number] = _Question(routers)

        def settle(done: asyncio.Future[bool]) -> None:
            if self._by_itself(attempt, service, done) is not None:
                question.settle()

        check.add_done_callback(settle)
        try:
            for _ in range(ASK_TIMES):
                self._publish(query)
                # This router may learn by itself meanwhile, as it does after its start.
                if await question.answered(ASK_MS):
                    break
                if self._by_itself(attempt, service, check) is not None:
                    break
        finally:
            del self._questions[query.number]
        if (found := self._by_itself(attempt, service, check)) is not None:
            return found
        needed = {query.router, *routers}
        # Alone it hears nobody who could know better, as in a cut.
        version = conclude([self._answer(query), *question.answers], needed) if routers else None
        remembered = any(answer.known is not None for answer in question.answers)
        return Finding(version, "asked", remembered)

    def _answer(self, query: OriginQuery) -> OriginAnswer:
        origin = self._origins.find(query.attempt)
        return OriginAnswer(
            self._state.settings.router,
            query.router,
            query.number,
            None if origin is None else origin.software_version,
            self._sole(query.service),
            self._state.software_versions.several(query.service),
        )

    def _sole(self, service: str) -> str | None:
        # A router that is cut off does not learn of a new version.
        state = self._state
        return state.software_versions.sole(service) if state.fresh else None

    def _tell_all(self, service: str) -> None:
        own = self._origins.own_attempts(service)
        for attempt, origin in own:
            self._outbox.began(attempt, origin)
        self._state.log.change(
            "software versions of streams are told to other routers",
            service=service,
            versions=sorted(self._state.software_versions.recent(service)),
            streams=len(own),
        )
