"""Failure domains that an operator has evacuated: their endpoints get no work."""

from __future__ import annotations

from collections.abc import Iterable


class Evacuations:
    """Evacuated failure domains, and when others were last restored."""

    def __init__(self) -> None:
        self._since_ms: dict[str, float] = {}
        self._restored_ms: dict[str, float] = {}

    def __bool__(self) -> bool:
        return bool(self._since_ms)

    @property
    def domains(self) -> dict[str, float]:
        """Evacuated failure domains, with the time at which this router learned of each."""
        return dict(self._since_ms)

    def covers(self, domain: str) -> bool:
        """Whether a failure domain is evacuated."""
        return domain in self._since_ms

    def restored_ms(self, domain: str) -> float:
        """When a failure domain was last restored; minus infinity if it never was."""
        return self._restored_ms.get(domain, float("-inf"))

    def begin(self, domain: str, now_ms: float) -> bool:
        """Evacuate a failure domain; returns whether this is a change."""
        if domain in self._since_ms:
            return False
        self._since_ms[domain] = now_ms
        return True

    def end(self, domain: str, now_ms: float) -> bool:
        """Restore a failure domain; returns whether this is a change."""
        if self._since_ms.pop(domain, None) is None:
            return False
        self._restored_ms[domain] = now_ms
        return True

    def missing_from(self, domains: Iterable[str]) -> list[str]:
        """Evacuated failure domains that a complete list does not name."""
        return sorted(self._since_ms.keys() - set(domains))
