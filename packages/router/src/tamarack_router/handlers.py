"""A registry of the methods that handle a task's messages, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

H = TypeVar("H", bound=Callable[..., None])


class Handlers:
    """Methods by the type of message that they handle."""

    def __init__(self) -> None:
        self._methods: dict[type, Callable[..., None]] = {}

    def handles(self, kind: type) -> Callable[[H], H]:
        """Enter a method for a type of message."""

        def register(method: H) -> H:
            self._methods[kind] = method
            return method

        return register

    def dispatch(self, task: Any, messages: list[Any]) -> None:
        """Hand each message to its method; messages that none handles are passed over."""
        for message in messages:
            method = self._methods.get(type(message))
            if method is not None:
                method(task, message)
