"""What a router knows of a generation before it runs."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A run of prompt tokens that requests may share.

    Attributes
    ----------
    key
        Names the part and the model. An engine can only use a kept part when it keeps all that
        stands before it, too.
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


def part_key(model: str, part: str) -> str:
    """Name a part by the model that read it: what one model has read is of no use to another."""
    return f"{model}/{part}"


def parts_of(model: str, parts: list[tuple[str, int]]) -> tuple[PromptPart, ...]:
    """Parts of a prompt under their keys, in order."""
    return tuple(PromptPart(part_key(model, part), tokens) for part, tokens in parts)
