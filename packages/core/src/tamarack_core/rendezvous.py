"""Rendezvous hashing: every router that knows the same members prefers the same one."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, member: str) -> int:
    """Weight of `member` for `key`; the highest wins."""
    return xxhash.xxh64_intdigest(f"{key}\x00{member}".encode())


def draw(key: str) -> float:
    """Number in [0, 1) that is the same for `key` at all routers."""
    return xxhash.xxh64_intdigest(key.encode()) / 2**64


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Members in order of preference for `key`."""
    return sorted(members, key=lambda member: score(key, member), reverse=True)


def winner(key: str, members: Iterable[str]) -> str | None:
    """The preferred member for `key`, None without members."""
    return max(members, key=lambda member: score(key, member), default=None)
