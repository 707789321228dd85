"""Prompt of a generation as a router knows it: sizes and prefix blocks."""

from __future__ import annotations

from typing import NamedTuple


class PrefixBlock(NamedTuple):
    """A prefix block: consecutive prompt tokens that requests may share.

    Attributes
    ----------
    key
        Model and name of the block. An engine can use a cached block only if it also caches all
        blocks before it.
    tokens
        Size in tokens.
    """

    key: str
    tokens: int

    @property
    def name(self) -> str:
        """The name without the model."""
        return self.key.rpartition("/")[2]


class Prompt(NamedTuple):
    """The prompt of one generation.

    Attributes
    ----------
    tokens_in
        Prompt tokens.
    max_tokens_out
        Maximum number of generated tokens.
    parts
        Its prefix blocks in order; the last one belongs to the request or its session alone.
    """

    tokens_in: int
    max_tokens_out: int
    parts: tuple[PrefixBlock, ...]

    @property
    def anchor(self) -> PrefixBlock | None:
        """The largest block that other requests may share; it selects the preferred engine."""
        return max(self.parts[:-1], key=lambda part: part.tokens, default=None)

    @property
    def shared_names(self) -> tuple[str, ...]:
        """Names of all blocks but the last one, whatever the model."""
        return tuple(dict.fromkeys(part.name for part in self.parts[:-1]))

    @property
    def charge(self) -> float:
        """Tokens charged to a workspace's share: prompt tokens once, generated tokens twice."""
        return self.tokens_in + 2.0 * self.max_tokens_out


def block_key(model: str, part: str) -> str:
    """Key of a prefix block; it includes the model, as models cannot share cached blocks."""
    return f"{model}/{part}"


def blocks_of(model: str, parts: list[tuple[str, int]]) -> tuple[PrefixBlock, ...]:
    """Prefix blocks of a prompt with their keys, in order."""
    return tuple(PrefixBlock(block_key(model, part), tokens) for part, tokens in parts)
