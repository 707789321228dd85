"""Base class of a router's tasks: threads that run while the task's context is open."""

from __future__ import annotations

import threading
from collections.abc import Callable
from types import TracebackType
from typing import Self


class Task:
    """Runs each of its functions in a thread, from entry until exit.

    Parameters
    ----------
    bodies
        Functions by thread name; each returns once the task was asked to end.
    join_s
        Longest wait for each thread at exit, in seconds; 0 does not wait, for functions that may
        block in a call to another process.
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
        """Ask the threads to return; extended by tasks whose threads do not wait on `_ending`."""
        self._ending.set()
