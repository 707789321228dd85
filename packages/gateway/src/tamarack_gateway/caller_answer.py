"""Writes answers to a caller: an endpoint's answer, or the router's own refusal."""

from __future__ import annotations

from tamarack_core.leaving import ELSEWHERE_MS
from tamarack_gateway.caller_connection import CallerConnection
from tamarack_gateway.event_splitter import Event
from tamarack_gateway.http_messages import AnswerHead
from tamarack_gateway.site import RequestDialect

QUARANTINED = (
    b"quarantined: endpoints ended while they ran this request; repeating it does not help\n"
)
"""Body of the refusal of a quarantined request."""


class CallerAnswer:
    """Writes the answer to one request.

    Parameters
    ----------
    attempt
        Id of the request.
    """

    def __init__(self, caller: CallerConnection, dialect: RequestDialect, attempt: str) -> None:
        self._caller = caller
        self._dialect = dialect
        self._attempt = attempt

    def pass_on(self, head: AnswerHead, events: list[Event]) -> None:
        """Write events of a stream; the first ones are preceded by the head of the answer."""
        data = b"".join(event.data for event in events)
        if self._caller.begun:
            self._caller.write(data)
        else:
            self._caller.begin(head.status, self._dialect.for_caller(head), data)

    def pass_failure(self, head: AnswerHead, body: bytes) -> None:
        """Pass on an endpoint's error answer."""
        if head.status in (408, 421, 429, 503):
            # To a caller these statuses mean that the request has not run, which the endpoint has
            # not confirmed.
            self.refuse(502, None)
            return
        self._caller.answer(head.status, self._dialect.for_caller(head), body)

    def refuse(self, status: int, retry_after_ms: float | None) -> None:
        """Write a refusal by the router itself."""
        self._caller.answer(status, self._dialect.refusal(self._attempt, retry_after_ms))

    def quarantine(self) -> None:
        """Refuse a quarantined request that has not run; sends no time after which to retry."""
        headers = [*self._dialect.refusal(self._attempt, None), (b"content-type", b"text/plain")]
        self._caller.answer(503, headers, QUARANTINED)

    def refuse_for_now(self, draw: float) -> None:
        """Refuse a request that this router cannot serve before it exits; another router can.

        Parameters
        ----------
        draw
            Random number in [0, 1) that spreads the retries.
        """
        self.refuse(503, ELSEWHERE_MS * (1.0 + draw))
