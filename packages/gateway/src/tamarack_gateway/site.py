"""Interface that an adapter implements to run the router on one kind of platform.

An adapter only translates between a platform's names and formats and the types defined here. It
makes no decisions: no timeout, no retry, no choice of endpoint.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from tamarack_core.endpoint_registry import Endpoint
from tamarack_core.prompt import PrefixBlock, Prompt
from tamarack_core.ruleset import Ruleset
from tamarack_gateway.http_messages import AnswerHead, Headers, Request


class FleetBounds(NamedTuple):
    """Bounds that the platform's operators set for the whole fleet.

    Attributes
    ----------
    revoke_ms
        Milliseconds after which a revoked key must be rejected.
    evacuate_ms
        Milliseconds after which endpoints of an evacuated failure domain must get no more work.
    drain_ms
        Milliseconds for which a leaving endpoint may still get new work.
    grace_ms
        Milliseconds from the signal to stop until the process is killed.
    address_ttl_ms
        Longest time in milliseconds for which callers may use an answer with addresses.
    retry_ratio, retry_slack, retry_window_ms
        Budget of retried requests, for all routers together.
    share_window_ms
        Window in milliseconds in which workspaces' shares are counted.
    warm_up_factor, warm_up_slack
        An endpoint that is warming up may get the rate that it tolerates times the factor, plus the
        slack, in requests a second from all routers together.
    """

    revoke_ms: float = 5_000.0
    evacuate_ms: float = 5_000.0
    drain_ms: float = 2_000.0
    grace_ms: float = 8_000.0
    address_ttl_ms: float = 5_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: float = 10_000.0
    share_window_ms: float = 4_000.0
    warm_up_factor: float = 1.0
    warm_up_slack: float = 0.0


DEFAULT_MEMORY_BYTES = 300_000_000
"""Memory of an ordinary instance."""


class GatewaySettings(NamedTuple):
    """Settings of one router.

    Attributes
    ----------
    callers, readiness, directory
        Addresses for callers, for the platform's readiness checks and for callers that request
        router addresses; empty if not served by this router.
    peers, metrics
        Addresses for other routers and for metrics.
    store
        Address of the platform's store.
    descriptors
        Maximum number of sockets that the process may have open.
    memory_bytes
        Memory that the process may use; a fraction of it is for requests and answers.
    regions
        Region of each failure domain.
    """

    router: str
    failure_domain: str
    callers: str
    readiness: str
    directory: str
    peers: str
    metrics: str
    store: str
    bounds: FleetBounds
    descriptors: int = 1_024
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    regions: Mapping[str, str] = {}


class Sender(NamedTuple):
    """Who sent a request, and where: the first of its `RequestFacts`.

    Attributes
    ----------
    attempt, host, path, wait_ms, key
        As in `RequestFacts`.
    """

    attempt: str
    host: str
    path: str
    wait_ms: float | None
    key: str | None


class RequestFacts(NamedTuple):
    """Facts from the headers of a caller's request.

    Attributes
    ----------
    attempt
        Id of this attempt; each retry by the caller has another id.
    wait_ms
        Milliseconds that the caller waits; None if not given.
    key
        The caller's key; None if there is none, empty if it cannot be read.
    prompt
        The prompt of a generation request; None for other requests.
    last_event
        Id of the last event that the caller received of an interrupted stream.
    resumes
        Id of the attempt that brought the first event of that stream; None if not given.
    """

    attempt: str
    host: str
    path: str
    wait_ms: float | None
    key: str | None
    prompt: Prompt | None
    last_event: int | None
    resumes: str | None = None

    @property
    def takes_up(self) -> bool:
        """Whether it goes on with a stream that another attempt began."""
        return self.last_event is not None or self.resumes is not None


class AnswerFacts(NamedTuple):
    """Facts from the headers of an endpoint's answer.

    Attributes
    ----------
    attempt
        Id of the attempt that it answers; None if not given.
    signed
        Whether it has the endpoint's signature.
    not_run
        Whether it guarantees that the request has not run and never will.
    encoded
        Whether the body has an encoding that was not requested.
    leaving
        Whether the endpoint says that it is shutting down and wants no new requests.
    rest_ms
        Milliseconds for which the endpoint wants no requests from this router; None if it does not
        say so.
    """

    attempt: str | None
    signed: bool
    not_run: bool
    encoded: bool
    leaving: bool = False
    rest_ms: float | None = None


class RequestDialect(Protocol):
    """Headers of requests and answers, on the callers' and the endpoints' side."""

    def sender(self, request: Request) -> Sender | None:
        """Sender of a request, without reading the rest; None if it cannot be parsed."""

    def read(self, request: Request) -> RequestFacts | None:
        """Facts of a request; None if it cannot be parsed."""

    def for_endpoint(
        self,
        request: Request,
        *,
        endpoint: Endpoint,
        workspace: str | None,
        left_ms: float,
        last_event: int | None,
    ) -> bytes:
        """The request as sent to an endpoint."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """Facts of an endpoint's answer."""

    def for_caller(self, head: AnswerHead) -> Headers:
        """Headers of an endpoint's answer as sent to the caller."""

    def refusal(self, attempt: str, retry_after_ms: float | None) -> Headers:
        """Headers of a refusal by the router itself."""


class Inventory(NamedTuple):
    """Prefix blocks that an engine has cached, and its incarnation (None if not given)."""

    parts: list[PrefixBlock]
    life: int | None


class EngineDialect(Protocol):
    """Calls of the router's own to a model engine."""

    def inventory(self, engine: Endpoint) -> bytes:
        """Request for the prefix blocks that an engine has cached."""

    def read_inventory(self, body: bytes) -> Inventory:
        """Decode the answer; raises `ValueError`."""


class Row(NamedTuple):
    """A row of the store.

    Attributes
    ----------
    value
        None if the row was removed; empty if its bytes cannot be decoded.
    """

    table: str
    key: str
    value: bytes | None
    version: int


class RowsPage(NamedTuple):
    """A page of rows.

    Attributes
    ----------
    version
        The store's newest version.
    more
        Whether there are further pages.
    nameless
        Number of rows left out because not even their keys can be read.
    """

    rows: list[Row]
    version: int
    more: bool
    nameless: int = 0


class StoreCall(NamedTuple):
    """One call to the store."""

    method: bytes
    target: bytes
    body: bytes = b""


class StoreDialect(Protocol):
    """Calls and answers of the platform's store."""

    def read(self, table: str, start: str) -> StoreCall:
        """Read rows of a table, starting at key `start`."""

    def watch(self, table: str, after: int, wait_ms: int) -> StoreCall:
        """Wait for changes of a table after a version."""

    def write(
        self, table: str, key: str, value: bytes | None, expected: int | None = None
    ) -> StoreCall:
        """Write or remove one row, if it has the expected version (0: the row does not exist)."""

    def page(self, body: bytes) -> RowsPage:
        """Decode a page of rows; raises `ValueError`."""

    def epoch(self, head: AnswerHead) -> int | None:
        """How often the store has been restored from a copy; None if the answer does not say."""


class Place(NamedTuple):
    """The host that a caller requests addresses for, and where the caller is."""

    host: str
    failure_domain: str
    region: str = ""


class DirectoryDialect(Protocol):
    """Requests of callers for router addresses, and of the platform for readiness."""

    def is_readiness(self, request: Request) -> bool:
        """Whether a request is a readiness check."""

    def place(self, request: Request) -> Place | None:
        """The place of a request for addresses; None for other requests."""

    def addresses(self, addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
        """Headers and body of an answer with addresses."""


class Tables(NamedTuple):
    """Names of the store's tables, and keys in the configuration's table.

    Attributes
    ----------
    evacuation_prefix
        A row whose key is this and the name of a failure domain evacuates that domain.
    """

    configuration: str
    configuration_key: str
    evacuation_prefix: str
    endpoints: str
    routers: str
    quarantine: str
    software_versions: str
    suspects: str


class Site(NamedTuple):
    """Everything that an adapter provides.

    Attributes
    ----------
    read_rules, read_keys, read_endpoint
        Decode a configuration; only its keys with their workspaces, for a configuration that
        cannot be read as a whole; and an endpoint's entry by its key. All raise `ValueError`.
    """

    name: str
    load_settings: Callable[[], GatewaySettings]
    requests: RequestDialect
    engines: EngineDialect
    store: StoreDialect
    directory: DirectoryDialect
    tables: Tables
    read_rules: Callable[[bytes], Ruleset]
    read_keys: Callable[[bytes], dict[str, str]]
    read_endpoint: Callable[[str, bytes], Endpoint]
