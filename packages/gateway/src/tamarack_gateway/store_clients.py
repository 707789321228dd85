"""Connections of one router's tasks to the store, and single calls on connections of their own."""

from __future__ import annotations

from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row, RowsPage, StoreDialect
from tamarack_gateway.store_client import StoreClient, StoreError
from tamarack_gateway.store_epoch import StoreEpoch


class StoreClients:
    """Creates clients of the store, and counts and closes them.

    Parameters
    ----------
    epoch
        Updated with the epoch that each answer names.
    """

    def __init__(self, state: FleetState, dialect: StoreDialect, epoch: StoreEpoch) -> None:
        self._state = state
        self._dialect = dialect
        self._epoch = epoch
        self._clients: list[StoreClient] = []
        self._closed_calls = 0

    @property
    def calls(self) -> int:
        """Number of calls made to the store."""
        return self._closed_calls + sum(client.calls for client in self._clients)

    @property
    def epoch(self) -> int:
        """How often the store has been restored from a copy, as far as this router knows."""
        return self._epoch.current

    def create(self) -> StoreClient:
        """A client for one task."""
        state = self._state
        client = StoreClient(lambda: state.settings.store, self._dialect, state.clock, self._epoch)
        self._clients.append(client)
        return client

    async def read(self, table: str) -> list[Row] | None:
        """Read all rows of a table; None if that failed."""
        client = self.create()
        try:
            return (await client.read_all(table)).rows
        except StoreError as error:
            self._state.log.event("reading a table failed", reason=str(error), table=table)
            return None
        finally:
            self._release(client)

    async def changes(self, table: str, after: int) -> RowsPage | None:
        """Read the changes of a table after a version, without waiting; None if that failed."""
        client = self.create()
        try:
            return await client.watch(table, after, 0.0)
        except StoreError:
            return None
        finally:
            self._release(client)

    async def write(
        self,
        table: str,
        key: str,
        value: bytes | None,
        *,
        what: str,
        client: StoreClient | None = None,
    ) -> bool:
        """Write or remove one row; returns whether that succeeded.

        `what` names the row in the log. Without a client of the caller's, the call has a connection
        of its own.
        """
        used = client or self.create()
        try:
            await used.call(self._dialect.write(table, key, value))
        except StoreError as error:
            self._state.log.event(f"writing {what} failed", reason=str(error), row=key)
            return False
        finally:
            if client is None:
                self._release(used)
        return True

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients:
            client.close()

    def _release(self, client: StoreClient) -> None:
        client.close()
        self._clients.remove(client)
        self._closed_calls += client.calls
