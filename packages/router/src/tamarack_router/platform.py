"""HTTP clients of the platform's services (protocol: docs/platform.md)."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import quote

import urllib3

from tamarack_client.http_pool import HttpPool

READ_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5


class PlatformError(Exception):
    """A call to a platform service failed.

    Attributes
    ----------
    effect_unknown
        Whether the call may have taken effect although it failed.
    """

    def __init__(self, message: str, *, effect_unknown: bool = False) -> None:
        super().__init__(message)
        self.effect_unknown = effect_unknown


class Row(NamedTuple):
    """A row of the table service with its row version."""

    key: str
    version: int
    value: Any


class Condition(NamedTuple):
    """Requires that a row has this version; zero requires that it is absent."""

    table: str
    key: str
    version: int


class Write(NamedTuple):
    """A row to write, or to delete if the value is None."""

    table: str
    key: str
    value: Any


class TableService:
    """Client of the transactional table service."""

    def __init__(self, base_url: str, *, pool_size: int = 4) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = HttpPool(
            maxsize=pool_size,
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def read(self, table: str, key: str) -> Row | None:
        """Read one row; return None if it is absent."""
        status, body = self._call("GET", f"/tables/{table}/rows/{quote(key, safe='')}")
        if status == 404:
            return None
        _check_status(status, 200)
        return _row(body)

    def scan(self, table: str, after: str, limit: int = 200) -> list[Row]:
        """Read rows whose keys sort after `after`, in key order."""
        path = f"/tables/{table}/rows?after={quote(after, safe='')}&limit={limit}"
        status, body = self._call("GET", path)
        _check_status(status, 200)
        if not isinstance(body, dict) or not isinstance(body.get("rows"), list):
            raise PlatformError("The answer holds no rows.")
        return [_row(row) for row in body["rows"]]

    def transact(self, conditions: list[Condition], writes: list[Write]) -> bool:
        """Write all rows if all conditions hold; return False if one does not.

        Raises
        ------
        PlatformError
            With `effect_unknown` if the writes may have taken effect.
        """
        body = {
            "conditions": [condition._asdict() for condition in conditions],
            "writes": [write._asdict() for write in writes],
        }
        status, _ = self._call("POST", "/transact", body)
        if status == 409:
            return False
        _check_status(status, 200)
        return True

    def _call(self, method: str, path: str, body: Any = None) -> tuple[int, Any]:
        data = None if body is None else json.dumps(body).encode()
        try:
            response = self._http.fetch(method, self._base_url + path, body=data)
        except urllib3.exceptions.NewConnectionError as error:
            raise PlatformError("The table service cannot be reached.") from error
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError("The table service did not answer.", effect_unknown=True) from error
        if response.status in (429, 503):
            raise PlatformError("The table service refused the call.")
        try:
            return response.status, json.loads(response.data or b"null")
        except json.JSONDecodeError as error:
            raise PlatformError("The answer was not JSON.", effect_unknown=True) from error


class ObjectStore:
    """Client of the object store."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url.rstrip("/")
        self._http = HttpPool(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def put(self, name: str, data: bytes) -> None:
        """Store an object under a name."""
        self._call("PUT", name, data)

    def get(self, name: str) -> bytes | None:
        """Read an object; return None if it is absent."""
        return self._call("GET", name, None)

    def _call(self, method: str, name: str, data: bytes | None) -> bytes | None:
        url = f"{self._base_url}/objects/{quote(name, safe='/')}"
        try:
            response = self._http.fetch(method, url, body=data)
        except urllib3.exceptions.HTTPError as error:
            raise PlatformError("The object store did not answer.") from error
        if response.status == 404:
            return None
        _check_status(response.status, 200)
        return response.data


class InstanceList:
    """Client of the platform's list of live and leaving instances, which may be out of date."""

    def __init__(self, base_url: str) -> None:
        self._url = f"{base_url.rstrip('/')}/instances"
        self._http = HttpPool(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
        )

    def read(self) -> list[dict[str, str]]:
        """Read the instances with name, kind, address, peer_address and state."""
        try:
            response = self._http.fetch("GET", self._url)
            _check_status(response.status, 200)
            instances: list[dict[str, str]] = json.loads(response.data)["instances"]
        except (urllib3.exceptions.HTTPError, ValueError, KeyError, TypeError) as error:
            raise PlatformError("The instance list did not answer.") from error
        return instances


def _row(value: Any) -> Row:
    try:
        return Row(value["key"], value["version"], value["value"])
    except (KeyError, TypeError) as error:
        raise PlatformError("The answer holds no row.") from error


def _check_status(status: int, wanted: int) -> None:
    if status != wanted:
        raise PlatformError(f"The platform answered {status}.", effect_unknown=status >= 500)
