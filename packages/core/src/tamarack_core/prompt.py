"""What a router knows of a generation before it runs."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A run of prompt tokens that requests may share.

    Attributes
    ----------
    key
        Names the part together with all parts before it and the model: an engine can only use a
        kept part when it keeps what stands before it, too.
    tokens
        Its size.
    """

    key: str
    tokens: int


class Prompt(NamedTuple):
    """The prompt of one generation.

    Attributes
    ----------
    tokens_in
        Prompt tokens.
    max_tokens_out
        Tokens that it may generate at the most.
    parts
        Its parts in order; the last one is the request's or its session's own.
    """

    tokens_in: int
    max_tokens_out: int
    parts: tuple[PromptPart, ...]

    @property
    def anchor(self) -> PromptPart | None:
        """The largest part that other requests may share; it decides where the prompt belongs."""
        return max(self.parts[:-1], key=lambda part: part.tokens, default=None)

    @property
    def charge(self) -> float:
        """Tokens that count against a workspace's share: read once, generated twice."""
        return self.tokens_in + 2.0 * self.max_tokens_out


def parts_of(model: str, parts: list[tuple[str, int]]) -> tuple[PromptPart, ...]:
    """Name each part by the model and all parts up to it."""
    named = []
    path = model
    for part, tokens in parts:
        path = f"{path}/{part}"
        named.append(PromptPart(path, tokens))
    return tuple(named)
