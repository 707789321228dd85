"""HTTP API for callers."""

from __future__ import annotations

import itertools
import secrets
from collections import Counter
from typing import NamedTuple

from tamarack_core.addresses import choose_addresses
from tamarack_core.clock import Clock
from tamarack_core.errors import ErrorCode, Outcome, Refusal
from tamarack_router.body_reader import read_body
from tamarack_router.classify import COMPLETIONS, SERVICES, classify
from tamarack_router.fleet_view import FleetView, ViewHolder
from tamarack_router.http_listener import HttpCall
from tamarack_router.http_reply import Reply, json_reply, refusal_reply
from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import FollowAnswer, HoldRequest
from tamarack_router.share_limiter import ShareLimiter
from tamarack_router.tracing import Tracing

BEARER = "bearer "
REQUESTS = "/v1/requests/"
FIRST_NUMBER_BELOW = 1 << 24
RETRY_AFTER_MS = 1_000


class CallerLimits(NamedTuple):
    """Limits of the API for callers: body size in bytes, address lifetime in milliseconds."""

    max_body_bytes: int
    address_ttl_ms: int


class CallerApp:
    """Authenticates, classifies and admits requests, then hands them to the relay.

    Parameters
    ----------
    boot
        Start time of this router, which distinguishes its incarnations.
    held
        Limits the requests per workspace that the relay holds.
    """

    def __init__(
        self,
        router: str,
        boot: int,
        clock: Clock,
        views: ViewHolder,
        relay: Mailbox,
        held: ShareLimiter,
        tracing: Tracing,
        limits: CallerLimits,
    ) -> None:
        self._router = router
        self._boot = boot
        self._clock = clock
        self._views = views
        self._relay = relay
        self._held = held
        self._tracing = tracing
        self._limits = limits
        self._closed = False
        # Ids on the wire omit the router's incarnation. A random first number in each incarnation
        # keeps a delayed message for an earlier one from matching a request of this one.
        self._numbers = itertools.count(secrets.randbelow(FIRST_NUMBER_BELOW))
        self._counts: Counter[str] = Counter()

    @property
    def counts(self) -> Counter[str]:
        """Number of calls by result."""
        return self._counts

    def close(self) -> None:
        """Reject new requests; those in progress continue."""
        self._closed = True

    def respond(self, call: HttpCall) -> Reply | None:
        """Answer a call, or hand its socket to the relay and return None."""
        view = self._views.view
        if call.path == "/healthz":
            return json_reply({"status": "ok"})
        refusal = self._not_serving(view)
        if refusal is not None and call.path != "/v1/addresses":
            return self._refuse(refusal)
        workspace = self._authenticate(call, view)
        if isinstance(workspace, Refusal):
            return self._refuse(workspace)
        if call.path == "/v1/addresses":
            return self._addresses(workspace, view)
        if call.path == "/v1/models":
            return self._models(view)
        if call.path.startswith(REQUESTS):
            return self._follow(call, workspace)
        if call.path in COMPLETIONS or call.path.startswith(SERVICES):
            return self._run(call, workspace, view)
        return self._refuse(Refusal(ErrorCode.UNKNOWN_PATH, "There is nothing at this path."))

    def _not_serving(self, view: FleetView) -> Refusal | None:
        if self._closed:
            message = "The router is leaving; ask for other addresses."
            return Refusal(ErrorCode.LEAVING, message, Outcome.NOT_RUN, 1)
        if not view.ready:
            message = "The router does not know the configuration in force yet."
            return Refusal(ErrorCode.NOT_READY, message, Outcome.NOT_RUN, RETRY_AFTER_MS)
        if view.isolated:
            message = "The router is cut off from the others; use another address."
            return Refusal(ErrorCode.ISOLATED, message, Outcome.NOT_RUN, RETRY_AFTER_MS)
        return None

    def _authenticate(self, call: HttpCall, view: FleetView) -> str | Refusal:
        header = call.headers.get("authorization", "")
        if header[: len(BEARER)].lower() != BEARER:
            return Refusal(ErrorCode.UNAUTHENTICATED, "A bearer key is needed.")
        workspace = view.config.workspace_of(header[len(BEARER) :].strip())
        if workspace is None:
            return Refusal(ErrorCode.UNAUTHENTICATED, "The key is not known.")
        return workspace

    def _addresses(self, workspace: str, view: FleetView) -> Reply:
        members = view.members
        if view.isolated or view.leaving or not view.ready:
            members = [m for m in members if m.router != self._router]
        own = next((m.caller_address for m in view.members if m.router == self._router), "")
        # Listed last: the key owner should not fail together with the router that runs the request.
        addresses = sorted(choose_addresses(workspace, members), key=lambda a: a == own)
        answer = {
            "addresses": addresses,
            "ttl_ms": self._limits.address_ttl_ms,
            "keeper_token": view.token.text,
        }
        return json_reply(answer)

    def _models(self, view: FleetView) -> Reply:
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": "tamarackturn"}
            for model in sorted(view.config.models)
        ]
        return json_reply({"object": "list", "data": models})

    def _follow(self, call: HttpCall, workspace: str) -> Reply | None:
        if call.method != "GET":
            return self._refuse(Refusal(ErrorCode.BAD_REQUEST, "Requests are read by GET."))
        request = call.path.removeprefix(REQUESTS)
        offset = call.query.get("offset", "")
        if offset and not offset.isdecimal():
            return self._refuse(Refusal(ErrorCode.BAD_REQUEST, "offset is a number of bytes."))
        if request.count("~") != 2:
            return self._refuse(Refusal(ErrorCode.UNKNOWN_REQUEST, "There is no such request."))
        number = int(offset) if offset else -1
        self._relay.put(FollowAnswer(call.sock, workspace, request, number))
        return None

    def _run(self, call: HttpCall, workspace: str, view: FleetView) -> Reply | None:
        call.timeouts.set_workspace(call.sock, workspace)
        body = read_body(call, self._limits.max_body_bytes)
        if isinstance(body, Refusal):
            # Stays under the time limit: the rest of the body is read after the answer.
            return self._refuse(body, close=True)
        call.timeouts.release(call.sock)
        now_ms = self._clock.now_ms
        request = f"{self._router}~{self._boot}~{next(self._numbers)}"
        classified = classify(call, body, workspace, request, view.config, now_ms)
        if isinstance(classified, Refusal):
            return self._refuse(classified)
        if not self._held.acquire(workspace):
            return self._refuse(_over_share())
        span = self._tracing.start("request", traceparent=call.headers.get("traceparent", ""))
        span.set_attribute("tamarack.workspace", workspace)
        span.set_attribute("tamarack.request", request)
        self._counts["accepted"] += 1
        self._relay.put(HoldRequest(call.sock, classified.spec, classified.call, span))
        return None

    def _refuse(self, refusal: Refusal, *, close: bool = False) -> Reply:
        self._counts[f"refused_{refusal.code}"] += 1
        return refusal_reply(refusal)._replace(close=close)


def _over_share() -> Refusal:
    message = "The workspace holds its share of this router; ask again later."
    return Refusal(ErrorCode.OVER_SHARE, message, Outcome.NOT_RUN, RETRY_AFTER_MS)
