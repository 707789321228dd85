"""A registry of message handlers, filled by a decorator."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

H = TypeVar("H", bound=Callable[..., None])


class Handlers:
    """Handler methods by message type."""

    def __init__(self) -> None:
        self._methods: dict[type, Callable[..., None]] = {}

    def handles(self, kind: type) -> Callable[[H], H]:
        """Register the decorated method for a message type."""

        def register(method: H) -> H:
            self._methods[kind] = method
            return method

        return register

    def dispatch(self, task: Any, messages: list[Any]) -> None:
        """Pass each message to its handler; messages without one are ignored."""
        for message in messages:
            method = self._methods.get(type(message))
            if method is not None:
                method(task, message)
