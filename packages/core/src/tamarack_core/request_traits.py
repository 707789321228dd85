"""Traits by which requests that crash endpoints are recognized.

A request has a trait of its own, its fingerprint, and one for each prefix block of its prompt that
other requests may share. Which trait crashes an endpoint is not known beforehand.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from functools import lru_cache
from hashlib import blake2b

BLOCK_PREFIX = "block-"
SEPARATOR = "+"
"""Separates the traits in the name of a combination; no trait contains it."""

PLAIN_NAME = re.compile(r"[0-9A-Za-z]{1,20}")
"""Block names that are used as they are, so that an operator recognizes them."""

MOST_BLOCKS = 32
"""Maximum number of blocks of one request that are considered."""

MOST_COMBINED = 6
"""Maximum number of traits in a combination; its name fits into the key of a row."""


@lru_cache(maxsize=4_096)
def block_trait(name: str) -> str:
    """Trait of a prefix block; names that are long or not alphanumeric are hashed."""
    if PLAIN_NAME.fullmatch(name) is None:
        name = blake2b(name.encode(), digest_size=10).hexdigest()
    return BLOCK_PREFIX + name


def block_traits(names: Iterable[str]) -> tuple[str, ...]:
    """Traits of the shared prefix blocks of one prompt."""
    return tuple(block_trait(name) for name in names)[:MOST_BLOCKS]


def is_block(trait: str) -> bool:
    """Whether a trait is that of a prefix block."""
    return trait.startswith(BLOCK_PREFIX)


def trait_kind(name: str) -> str:
    """Kind of a trait or combination for operators: `request` or `block`."""
    return "block" if is_block(name) else "request"


def combined(traits: Iterable[str]) -> str:
    """Name of a combination of traits, the same in whatever order they are given."""
    return SEPARATOR.join(sorted(traits)[:MOST_COMBINED])


def traits_in(name: str) -> frozenset[str]:
    """The traits of a combination, given its name."""
    return frozenset(name.split(SEPARATOR))
