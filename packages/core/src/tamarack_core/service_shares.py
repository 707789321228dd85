"""Fair shares of workspaces at each service of model engines."""

from __future__ import annotations

from collections.abc import Collection

from tamarack_core.workspace_shares import WorkspaceShares


class ServiceShares:
    """Demand and service of workspaces, counted separately for each service.

    Engines of one service do not serve requests of another. If they were counted together, a
    workspace far beyond its share at a busy service would be refused at idle engines of others.

    Parameters
    ----------
    window_ms, started_ms
        As in `WorkspaceShares`.
    """

    def __init__(self, window_ms: float, started_ms: float = float("-inf")) -> None:
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._shares: dict[str, WorkspaceShares] = {}

    def of(self, service: str) -> WorkspaceShares:
        """Shares at one service, created on first use."""
        if service not in self._shares:
            self._shares[service] = WorkspaceShares(self._window_ms, self._started_ms)
        return self._shares[service]

    def keep(self, services: Collection[str]) -> None:
        """Drop all services except these."""
        self._shares = {name: self._shares[name] for name in self._shares if name in services}
