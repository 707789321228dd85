"""What the tasks of a router have in common: threads that live as long as the task is open."""

from __future__ import annotations

import threading
from collections.abc import Callable
from types import TracebackType
from typing import Self


class Task:
    """Runs its bodies in threads of their own, from entry until exit.

    Parameters
    ----------
    bodies
        What runs, by the name of its thread; a body returns once the task was asked to end.
    join_s
        Longest wait at exit for each body, in seconds; 0 leaves them to end by themselves, for
        bodies that may stand in a call to another process.
    """

    def __init__(self, bodies: dict[str, Callable[[], None]], *, join_s: float = 0.0) -> None:
        self._join_s = join_s
        self._ending = threading.Event()
        self._threads = [
            threading.Thread(target=body, name=name, daemon=True) for name, body in bodies.items()
        ]

    def __enter__(self) -> Self:
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._ask_to_end()
        if self._join_s:
            for thread in self._threads:
                thread.join(self._join_s)

    @property
    def _alive(self) -> bool:
        return all(thread.is_alive() for thread in self._threads)

    def _ask_to_end(self) -> None:
        """Have the bodies return; those that do not wait on `_ending` are told otherwise."""
        self._ending.set()
