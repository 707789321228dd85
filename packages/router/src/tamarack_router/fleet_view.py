"""What the control task lets the listeners see of its state."""

from __future__ import annotations

from typing import Any, NamedTuple

from tamarack_core.configuration import Configuration
from tamarack_core.key_token import KeyToken
from tamarack_core.protocol import MemberUpdate


class FleetView(NamedTuple):
    """A snapshot, replaced whole and never changed.

    Attributes
    ----------
    counts
        Events of the core by name.
    gauges
        Present values by name.
    shares
        Readings per shard dispatched here.
    applied
        When the newest versions came in force here, in milliseconds since the Unix epoch.
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
    """Holds the newest view; assignment of one reference needs no lock."""

    def __init__(self) -> None:
        self._view = FleetView()

    @property
    def view(self) -> FleetView:
        """The newest view."""
        return self._view

    def publish(self, view: FleetView) -> None:
        """Replace the view."""
        self._view = view
