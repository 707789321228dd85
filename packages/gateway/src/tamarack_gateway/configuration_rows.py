"""Applies rows of the store's table of the configuration to the local state."""

from __future__ import annotations

from tamarack_gateway.fleet_state import FleetState
from tamarack_gateway.site import Row, Site
from tamarack_gateway.table_messages import TableChange
from tamarack_gateway.unreadable_rows import RowKind


class ConfigurationRows:
    """Keeps the configuration, the confirmation of its keys, and evacuations up to date.

    Attributes
    ----------
    value
        The configuration in force as it was read; None before the first.
    newest_told
        The newest version that any other router has told of.
    """

    def __init__(self, state: FleetState, site: Site) -> None:
        self._state = state
        self._site = site
        self._rules_version = 0
        self._asked_ms = float("-inf")
        self.value: bytes | None = None
        self.newest_told = 0

    def apply(self, change: TableChange) -> None:
        """Apply changed rows, or the whole table."""
        for row in change.rows:
            if row.key == self._site.tables.configuration_key and row.value is not None:
                self._put_rules(row, row.value, catching_up=change.catching_up)
        self._apply_evacuations(change)
        # Capped at the present: the clock of an earlier incarnation may be ahead, and keys would be
        # trusted for longer by the difference.
        self._asked_ms = max(self._asked_ms, min(change.asked_ms, self._state.clock.now_ms))
        self.confirm_keys()

    def confirm_keys(self) -> None:
        """Confirm the keys as of the last call, if the store is trusted for that time.

        An operator may have revoked a key shortly before the store was restored from a copy, which
        no router, or only another one, has read.
        """
        state, vouching = self._state, self._state.vouching
        if state.rules is None or not state.keys_known or state.rules.version < self.newest_told:
            return
        if vouching.store_trusted(self._asked_ms, state.clock.now_ms):
            state.freshness.confirm(self._asked_ms)

    def put_told(self, value: bytes) -> None:
        """Put the configuration that another router has in force in force, if it is newer."""
        state = self._state
        try:
            rules = self._site.read_rules(value)
        except ValueError as error:
            state.log.event("a configuration that was told cannot be read", reason=str(error))
            return
        known = state.rules.version if state.rules is not None else 0
        if rules.version > known and state.unreadable_rules is None:
            state.log.change("configuration told by another router", version=rules.version)
            state.put_rules(rules)
            self.value = value

    def _apply_evacuations(self, change: TableChange) -> None:
        # The row's presence is the order; its value is not read.
        state, prefix = self._state, self._site.tables.evacuation_prefix
        rows = {r.key.removeprefix(prefix): r for r in change.rows if r.key.startswith(prefix)}
        ordered = [domain for domain, row in rows.items() if row.value is not None]
        ended = [domain for domain, row in rows.items() if row.value is None]
        if change.whole and not change.catching_up:
            ended += state.evacuations.missing_from(ordered)
        for domain in ordered:
            state.evacuate(domain)
        for domain in ended:
            state.restore(domain)

    def _put_rules(self, row: Row, value: bytes, *, catching_up: bool) -> None:
        # A read of the whole table may be seconds old. If the newest version cannot be read, an
        # older row must not restore keys that the newest one revokes.
        state, outdated = self._state, row.version < self._rules_version
        try:
            rules = self._site.read_rules(value)
        except ValueError as error:
            if outdated:
                return
            self._rules_version = row.version
            state.unreadable.note(RowKind.CONFIGURATION, row.key, row.version, str(error))
            state.put_unreadable_rules(str(error), self._read_keys(value))
            return
        known = state.rules.version if state.rules is not None else 0
        from_copy = catching_up and rules.version <= known
        if state.unreadable_rules is not None and (outdated or from_copy):
            return
        self._rules_version = max(self._rules_version, row.version)
        if state.put_rules(rules):
            self.value = value

    def _read_keys(self, value: bytes) -> dict[str, str] | None:
        try:
            return self._site.read_keys(value)
        except ValueError as error:
            self._state.log.event("keys cannot be read and will expire", reason=str(error))
            return None
