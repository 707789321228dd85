"""A bounded table with a limit per workspace, so that none can evict the entries of others."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class WorkspaceTable(Generic[T]):
    """Values by key, each owned by one workspace.

    A workspace at its limit evicts its own oldest value. A full table evicts the oldest value of
    the workspace that has most values: one that inserts ten thousand keys evicts only its own.

    Parameters
    ----------
    most, most_of_one
        Maximum number of values in total, and per workspace.
    """

    def __init__(self, *, most: int, most_of_one: int) -> None:
        self._most = most
        self._most_of_one = most_of_one
        self._values: dict[str, T] = {}
        self._owners: dict[str, str] = {}
        self._keys: dict[str, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._values)

    def __contains__(self, key: str) -> bool:
        return key in self._values

    def items(self) -> list[tuple[str, T]]:
        """All keys with their values, in insertion order."""
        return list(self._values.items())

    def get(self, key: str) -> T | None:
        """Value of a key; None if it is missing."""
        return self._values.get(key)

    def count(self, workspace: str) -> int:
        """Number of values of a workspace."""
        return len(self._keys.get(workspace, ()))

    def put(self, key: str, workspace: str, value: T) -> list[str]:
        """Insert a value as its workspace's newest; returns the evicted keys."""
        self.pop(key)
        self._values[key] = value
        self._owners[key] = workspace
        own = self._keys.setdefault(workspace, {})
        own[key] = None
        evicted = []
        if len(own) > self._most_of_one:
            evicted.append(next(iter(own)))
        elif len(self._values) > self._most:
            largest = max(self._keys, key=self.count)
            evicted.append(next(iter(self._keys[largest])))
        for oldest in evicted:
            self.pop(oldest)
        return evicted

    def pop(self, key: str) -> T | None:
        """Remove and return a value; None if it is missing."""
        if key not in self._values:
            return None
        workspace = self._owners.pop(key)
        own = self._keys[workspace]
        del own[key]
        if not own:
            del self._keys[workspace]
        return self._values.pop(key)
