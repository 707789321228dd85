"""What an adapter gives to run the router on one kind of platform.

An adapter translates between a platform's names and formats and the types named here, and decides
nothing: no timeout, no retry, no choice of endpoint.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from tamarack_core.endpoint_book import Endpoint
from tamarack_core.prompt import Prompt, PromptPart
from tamarack_core.ruleset import Ruleset
from tamarack_gateway.http_messages import AnswerHead, Headers, Request


class FleetBounds(NamedTuple):
    """Bounds that the platform's operators set for the whole fleet.

    Attributes
    ----------
    revoke_ms
        Milliseconds after which a key that was taken away must open nothing.
    drain_ms
        Milliseconds for which an endpoint that leaves may still get new work.
    grace_ms
        Milliseconds from the request to stop until the process is killed.
    address_ttl_ms
        Longest time for which callers' address answers may count.
    retry_ratio, retry_slack, retry_window_ms
        Bound on requests that are sent again, for all routers together.
    share_window_ms
        Window in which workspaces' shares are counted.
    """

    revoke_ms: float = 5_000.0
    drain_ms: float = 2_000.0
    grace_ms: float = 8_000.0
    address_ttl_ms: float = 5_000.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window_ms: float = 10_000.0
    share_window_ms: float = 4_000.0


class GatewaySettings(NamedTuple):
    """Settings of one router.

    Attributes
    ----------
    callers, readiness, directory
        Addresses for callers, for the platform's own checks and for callers that ask for
        addresses; empty where this router does not serve it.
    peers, metrics
        Addresses for other routers and for metrics.
    store
        Address of the platform's store.
    descriptors
        Sockets that the process may have open at once.
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


class RequestFacts(NamedTuple):
    """What a caller's headers say.

    Attributes
    ----------
    attempt
        Names this attempt; each repeat by the caller has another name.
    wait_ms
        Milliseconds that the caller waits; None where it does not tell.
    key
        The caller's key; None without one, empty where it cannot be read.
    prompt
        What a generation asks for; None for other requests.
    last_event
        Id of the last event that the caller has of a broken stream.
    """

    attempt: str
    host: str
    path: str
    wait_ms: float | None
    key: str | None
    prompt: Prompt | None
    last_event: int | None


class AnswerFacts(NamedTuple):
    """What an endpoint's headers say.

    Attributes
    ----------
    attempt
        The request that it answers, None where it does not tell.
    signed
        Whether it bears the endpoint's signature.
    not_run
        Whether it promises that the request has not run and never will.
    encoded
        Whether the body is in an encoding that nobody asked for.
    """

    attempt: str | None
    signed: bool
    not_run: bool
    encoded: bool


class RequestDialect(Protocol):
    """Headers of callers and endpoints."""

    def read(self, request: Request) -> RequestFacts | None:
        """What a request says; None where it cannot be understood."""

    def for_endpoint(
        self,
        request: Request,
        *,
        endpoint: Endpoint,
        workspace: str | None,
        left_ms: float,
        last_event: int | None,
    ) -> bytes:
        """The request as an endpoint gets it."""

    def read_answer(self, head: AnswerHead) -> AnswerFacts:
        """What an answer says."""

    def for_caller(self, head: AnswerHead) -> Headers:
        """Headers of an endpoint's answer as the caller gets them."""

    def refusal(self, attempt: str, retry_after_ms: float | None) -> Headers:
        """Headers of an answer of the router's own."""


class Inventory(NamedTuple):
    """Prompt parts that an engine keeps, and in which life; None where it does not tell."""

    parts: list[PromptPart]
    life: int | None


class EngineDialect(Protocol):
    """Calls of a model engine that are no requests of callers."""

    def inventory(self, engine: Endpoint) -> bytes:
        """Ask an engine which prompt parts it keeps."""

    def read_inventory(self, body: bytes) -> Inventory:
        """Decode its answer; raises `ValueError`."""


class Row(NamedTuple):
    """A row of the store.

    Attributes
    ----------
    value
        None where the row was removed; empty where its bytes cannot be read.
    """

    table: str
    key: str
    value: bytes | None
    version: int


class RowsPage(NamedTuple):
    """An answer about rows.

    Attributes
    ----------
    version
        The store's newest.
    nameless
        Rows that were left out since not even their keys can be read.
    """

    rows: list[Row]
    version: int
    more: bool
    nameless: int = 0


class StoreCall(NamedTuple):
    """One call of the store."""

    method: bytes
    target: bytes
    body: bytes = b""


class StoreDialect(Protocol):
    """Calls and answers of the platform's store."""

    def read(self, table: str, start: str) -> StoreCall:
        """Read rows of a table from key `start` on."""

    def watch(self, table: str, after: int, wait_ms: int) -> StoreCall:
        """Wait for changes of a table after a version."""

    def write(
        self, table: str, key: str, value: bytes | None, expected: int | None = None
    ) -> StoreCall:
        """Put or remove one row, if it has the expected version (0: it does not exist)."""

    def page(self, body: bytes) -> RowsPage:
        """Decode an answer about rows; raises `ValueError`."""


class Place(NamedTuple):
    """Who asks for addresses, and for which host."""

    host: str
    failure_domain: str


class DirectoryDialect(Protocol):
    """How callers ask for addresses, and how the platform asks whether a router is ready."""

    def is_readiness(self, request: Request) -> bool:
        """Whether a request asks for readiness."""

    def place(self, request: Request) -> Place | None:
        """Who asks for addresses; None where a request asks for something else."""

    def addresses(self, addresses: list[str], ttl_s: float) -> tuple[Headers, bytes]:
        """Write an answer with addresses."""


class Tables(NamedTuple):
    """Names of the store's tables, and the key of the configuration's row."""

    configuration: str
    configuration_key: str
    endpoints: str
    routers: str
    quarantine: str


class Site(NamedTuple):
    """All that an adapter gives.

    Attributes
    ----------
    read_rules, read_keys, read_endpoint
        Decode a configuration, only the keys of one that cannot be read as a whole with their
        workspaces, and an endpoint's entry by its key; all raise `ValueError`.
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
