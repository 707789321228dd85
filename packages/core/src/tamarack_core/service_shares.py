"""Shares of workspaces at each service of model engines."""

from __future__ import annotations

from collections.abc import Collection

from tamarack_core.workspace_shares import WorkspaceShares


class ServiceShares:
    """Counts of what workspaces ask for and get, apart for each service.

    Engines of one service do nothing for the requests of another. Counted together, a workspace
    that is far ahead at a busy service would be refused at the free engines of the others.

    Parameters
    ----------
    window_ms, started_ms
        As of `WorkspaceShares`.
    """

    def __init__(self, window_ms: float, started_ms: float = float("-inf")) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._shares: dict[str, WorkspaceShares] = {}

    def of(self, service: str) -> WorkspaceShares:
        """Shares at one service."""
        if service not in self._shares:
            self._shares[service] = WorkspaceShares(self._window_ms, self._started_ms)
        return self._shares[service]

    def keep(self, services: Collection[str]) -> None:
        """Forget all services but these."""
        self._shares = {name: self._shares[name] for name in self._shares if name in services}
