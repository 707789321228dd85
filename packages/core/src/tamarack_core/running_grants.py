"""Grants in use at a dispatcher, and the endpoint slots that they occupy."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from tamarack_core.endpoint_pool import EndpointPool
from tamarack_core.router_accounts import RouterAccounts


class Running(NamedTuple):
    """A grant in use."""

    request: str
    router: str
    workspace: str
    endpoint: str
    charged: float
    granted_ms: float


class RunningGrants:
    """Grants in use by request; each occupies one slot of its endpoint.

    Parameters
    ----------
    pool
        The shard's endpoints.
    routers
        Accounts that count grants by router.
    """

    def __init__(self, pool: EndpointPool, routers: RouterAccounts) -> None:
        self._pool = pool
        self._routers = routers
        self._grants: dict[str, Running] = {}
        self._by_workspace: Counter[str] = Counter()

    def __len__(self) -> int:
        return len(self._grants)

    @property
    def workspaces(self) -> set[str]:
        """Workspaces with a grant in use."""
        return {grant.workspace for grant in self._grants.values()}

    def find(self, request: str) -> Running | None:
        """Grant of a request, None if it has none."""
        return self._grants.get(request)

    def of_workspace(self, workspace: str) -> int:
        """Number of grants in use by a workspace."""
        return self._by_workspace[workspace]

    def of_router(self, router: str) -> list[Running]:
        """Grants in use by a router."""
        return [grant for grant in self._grants.values() if grant.router == router]

    def take(self, grant: Running, prefix: int = 0) -> None:
        """Add a grant; an earlier grant of the same request is released."""
        before = self._grants.get(grant.request)
        if before is not None:
            self.release(before, before.granted_ms)
        self._grants[grant.request] = grant
        self._by_workspace[grant.workspace] += 1
        self._routers.running[grant.router] += 1
        self._pool.take(grant.endpoint, grant.granted_ms, prefix=prefix)

    def charge(self, grant: Running, charged: float) -> None:
        """Set the total charge of a grant."""
        self._grants[grant.request] = grant._replace(charged=charged)

    def release(self, grant: Running, now_ms: float, *, failed: bool = False) -> None:
        """Remove a grant and free its slot."""
        del self._grants[grant.request]
        self._by_workspace[grant.workspace] -= 1
        self._routers.running[grant.router] -= 1
        self._pool.release(grant.endpoint, now_ms, failed=failed)
