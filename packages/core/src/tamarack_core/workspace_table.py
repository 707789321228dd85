"""A bounded table of which no workspace can take the others' room."""

from __future__ import annotations

from typing import Generic, TypeVar

T = TypeVar("T")


class WorkspaceTable(Generic[T]):
    """Values by key, each of one workspace.

    Where a workspace has as many as it may, its own oldest value yields. Where the table is full,
    the oldest value of the workspace that has most does: one that fills the table with ten thousand
    keys pushes out only its own.

    Parameters
    ----------
    most, most_of_one
        Values in all, and of one workspace.
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
        """All keys with their values, in the order in which they were put first."""
        return list(self._values.items())

    def get(self, key: str) -> T | None:
        """The value of a key; None without one."""
        return self._values.get(key)

    def count(self, workspace: str) -> int:
        """How many values a workspace has."""
        return len(self._keys.get(workspace, ()))

    def put(self, key: str, workspace: str, value: T) -> list[str]:
        """Put a value, as its workspace's newest; returns the keys that yielded."""
        self.pop(key)
        self._values[key] = value
        self._owners[key] = workspace
        own = self._keys.setdefault(workspace, {})
        own[key] = None
        yielded = []
        if len(own) > self._most_of_one:
            yielded.append(next(iter(own)))
        elif len(self._values) > self._most:
            largest = max(self._keys, key=self.count)
            yielded.append(next(iter(self._keys[largest])))
        for oldest in yielded:
            self.pop(oldest)
        return yielded

    def pop(self, key: str) -> T | None:
        """Take a value out; None where there is none."""
        if key not in self._values:
            return None
        workspace = self._owners.pop(key)
        own = self._keys[workspace]
        del own[key]
        if not own:
            del self._keys[workspace]
        return self._values.pop(key)
