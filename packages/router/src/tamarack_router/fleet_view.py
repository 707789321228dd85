"""Snapshot of the control task's state for the listeners."""

from __future__ import annotations

from typing import Any, NamedTuple

from tamarack_core.configuration import Configuration
from tamarack_core.key_token import KeyToken
from tamarack_core.protocol import MemberUpdate


class FleetView(NamedTuple):
    """An immutable snapshot; a new one replaces it as a whole.

    Attributes
    ----------
    counts
        Events of the core by name.
    gauges
        Current values by name.
    shares
        Fair-share state of each shard that this router dispatches.
    terms
        Dispatching router and its term, by shard.
    applied
        Time at which this router applied each recent configuration version, in milliseconds
        since the Unix epoch.
    """

    config: Configuration = Configuration()
    ready: bool = False
    isolated: bool = False
    leaving: bool = False
    store_up: bool = False
    members: list[MemberUpdate] = []
    token: KeyToken = KeyToken("", 0, 0)
    counts: dict[str, int] = {}
    gauges: dict[str, float] = {}
    shares: dict[str, list[dict[str, Any]]] = {}
    terms: dict[str, str] = {}
    applied: dict[int, int] = {}


class ViewHolder:
    """Holds the newest view; replacing one reference is atomic and needs no lock."""

    def __init__(self) -> None:
        self._view = FleetView()

    @property
    def view(self) -> FleetView:
        """The newest view."""
        return self._view

    def publish(self, view: FleetView) -> None:
        """Replace the view."""
        self._view = view
