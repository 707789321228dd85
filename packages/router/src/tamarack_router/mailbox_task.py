"""A task with one thread that receives messages from other tasks."""

from __future__ import annotations

from collections.abc import Callable

from tamarack_router.mailbox import Mailbox
from tamarack_router.messages import Stop
from tamarack_router.task import Task

# Longest wait for the loop to handle `Stop`; one iteration takes milliseconds.
STOP_WAIT_S = 2.0


class MailboxTask(Task):
    """Runs a loop that reads a mailbox until it receives `Stop`.

    Parameters
    ----------
    loop
        Returns once `_stopped` is set, which the handler of `Stop` does.
    """

    def __init__(self, name: str, loop: Callable[[], None], mailbox: Mailbox) -> None:
        super().__init__({name: loop}, join_s=STOP_WAIT_S)
        self._mailbox = mailbox
        self._stopped = False

    @property
    def mailbox(self) -> Mailbox:
        """Mailbox for messages to this task."""
        return self._mailbox

    @property
    def failed(self) -> bool:
        """Whether the task has ended without a request to stop."""
        return not self._stopped and not self._alive

    def _ask_to_end(self) -> None:
        self._mailbox.put(Stop())
