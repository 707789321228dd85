"""Owns a router's background tasks: none ends without a log line, a count and a restart."""

from __future__ import annotations

import asyncio
import traceback
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from types import TracebackType
from typing import Any

from tamarack_core.clock import Clock
from tamarack_core.restart_policy import RestartPolicy
from tamarack_gateway.decision_log import DecisionLog

MAX_TRACEBACK_FRAMES = 12
MAX_TRACEBACK_CHARS = 2_000
"""Bounds of a traceback in a log line: its innermost frames and last characters."""

LINE_MS = 1_000.0
"""Minimum time between two log lines about failures of one name; all are counted."""


class OwnedTask:
    """A task of a `TaskOwner`.

    Attributes
    ----------
    once
        Whether the task may return; otherwise its return is a failure.
    """

    def __init__(self, name: str, run: Callable[[], Awaitable[None]], *, once: bool) -> None:
        self.name = name
        self.run = run
        self.once = once
        self.policy = RestartPolicy()
        self.task: asyncio.Task[None]

    def cancel(self) -> None:
        """End the task for good."""
        self.task.cancel()


class TaskOwner:
    """All background tasks of a process, as an asynchronous context manager.

    A task that ends is restarted after a pause. If that does not help, the owner gives up, and the
    process should end.

    Attributes
    ----------
    failures
        Number of failures by the name of the task or callback.
    on_give_up
        Called once when the owner gives up.
    """

    def __init__(self, clock: Clock, log: DecisionLog) -> None:
        self._clock = clock
        self._log = log
        self._tasks: set[OwnedTask] = set()
        self._down: set[OwnedTask] = set()
        self._logged_ms: dict[str, float] = {}
        self._give_up_reason: str | None = None
        self.failures: Counter[str] = Counter()
        self.on_give_up: Callable[[], None] = _ignore

    async def __aenter__(self) -> TaskOwner:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.cancel(list(self._tasks))

    @property
    def down(self) -> list[str]:
        """Names of tasks that have ended and do not run again yet."""
        return sorted(one.name for one in self._down)

    @property
    def complete(self) -> bool:
        """Whether all tasks run."""
        return not self._down

    @property
    def give_up_reason(self) -> str | None:
        """Why the process should end; None while restarts may help."""
        return self._give_up_reason

    def start(
        self, name: str, run: Callable[[], Awaitable[None]], *, once: bool = False
    ) -> OwnedTask:
        """Start a task; `run` is called again for each restart."""
        owned = OwnedTask(name, run, once=once)
        self._tasks.add(owned)
        owned.task = asyncio.ensure_future(self._supervise(owned))
        return owned

    async def cancel(self, tasks: Iterable[OwnedTask]) -> None:
        """Cancel tasks and wait until they have ended."""
        running = [owned.task for owned in tasks]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)

    def record_failure(self, name: str, error: BaseException, **facts: Any) -> None:
        """Log and count an exception that would otherwise vanish."""
        self.failures[name] += 1
        now_ms = self._clock.now_ms
        if now_ms - self._logged_ms.get(name, float("-inf")) < LINE_MS:
            return
        self._logged_ms[name] = now_ms
        self._log.event(
            "a background task failed",
            task=name,
            error=repr(error)[:MAX_TRACEBACK_CHARS],
            so_far=self.failures[name],
            **facts,
            traceback=_traceback(error),
        )

    def record_context(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Exception handler of the event loop: failures of callbacks and of requests' tasks."""
        message = str(context.get("message", ""))
        error = context.get("exception") or RuntimeError(message)
        self.record_failure("event loop", error, message=message)

    async def _supervise(self, owned: OwnedTask) -> None:
        try:
            while await self._run(owned):
                pass
        finally:
            self._tasks.discard(owned)
            if self._give_up_reason is None:
                self._down.discard(owned)

    async def _run(self, owned: OwnedTask) -> bool:
        """Run a task until it ends, and wait for its restart; returns whether it is restarted."""
        started_ms = self._clock.now_ms
        self._down.discard(owned)
        try:
            await owned.run()
            if owned.once:
                return False
            error: BaseException = RuntimeError("the task returned")
        except asyncio.CancelledError as cancelled:
            task = asyncio.current_task()
            if task is None or task.cancelling():
                raise
            error = cancelled
        except Exception as exception:
            error = exception
        self._down.add(owned)
        pause_ms = owned.policy.pause_ms(self._clock.now_ms - started_ms)
        self.record_failure(owned.name, error, restart_ms=pause_ms)
        if pause_ms is None:
            self._give_up(owned.name, error)
            return False
        await asyncio.sleep(pause_ms / 1000)
        return True

    def _give_up(self, name: str, error: BaseException) -> None:
        if self._give_up_reason is None:
            self._give_up_reason = f"{name} fails again and again: {error!r}"[:MAX_TRACEBACK_CHARS]
            self._log.event("the process ends", reason=self._give_up_reason)
            self.on_give_up()


def _traceback(error: BaseException) -> str:
    lines = traceback.format_exception(error, limit=-MAX_TRACEBACK_FRAMES)
    return "".join(lines)[-MAX_TRACEBACK_CHARS:]


def _ignore() -> None:
    """Default of `TaskOwner.on_give_up`: does nothing."""
