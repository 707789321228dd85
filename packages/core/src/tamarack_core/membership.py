"""Membership by probing with suspicion and incarnation numbers (SWIM, Das et al. 2002)."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

from tamarack_core.actions import Reconnect, Send
from tamarack_core.defaults import (
    FORGET_DEAD_MS,
    GOSSIP_FACTOR,
    PIGGYBACK_LIMIT,
    PROBE_INTERVAL_MS,
    PROBE_TIMEOUT_MS,
    SUSPICION_MS,
    SYNC_MEMBERS,
)
from tamarack_core.protocol import MemberUpdate, Ping, PingAck, PingRelayed, PingRequest

ALIVE, LEAVING, SUSPECT, DEAD = 0, 1, 2, 3
STATE_NAMES = ("alive", "leaving", "suspect", "dead")
INDIRECT_PROBES = 2  # members asked to probe one that does not answer directly
EXPIRY_CHECK_MS = 250


class _Probe(NamedTuple):
    """An unanswered probe."""

    sequence: int
    target: str
    sent_ms: float
    indirect_sent: bool


class _MemberState(NamedTuple):
    """Last update of a member, and monotonic times of its state and of its last message."""

    update: MemberUpdate
    since_ms: float
    heard_ms: float


class Membership:
    """One router's local view of the members of the fleet.

    Parameters
    ----------
    me
        The router's own entry.
    seed
        Seed of the probe order.
    """

    def __init__(self, me: MemberUpdate, *, seed: int = 0) -> None:
        self._me = me
        self._random = random.Random(seed)
        self._known: dict[str, _MemberState] = {}
        self._gossip: dict[str, int] = {}
        self._order: list[str] = []
        self._probes: dict[str, _Probe] = {}
        self._relayed: dict[int, tuple[str, int]] = {}
        self._sequence = 0
        self._next_probe_ms = 0.0
        self._next_expiry_ms = 0.0
        self._changes = 0
        self._updates = 0
        self._usable: list[str] = []
        self._usable_changes = -1

    @property
    def me(self) -> MemberUpdate:
        """The router's own entry."""
        return self._me

    @property
    def changes(self) -> int:
        """Counter that increases whenever a member's state changes."""
        return self._changes

    @property
    def members(self) -> list[MemberUpdate]:
        """All known members, the router itself first."""
        return [self._me, *(known.update for known in self._known.values())]

    @property
    def updates(self) -> int:
        """Counter that increases with every stored update of a member."""
        return self._updates

    @property
    def usable(self) -> list[str]:
        """Members that may dispatch and accept new requests: alive and not leaving."""
        # Read once per ticket. At 1,600 members, building the list each time would cost more than
        # the rest of the work for a ticket, so it is cached until a state changes.
        if self._usable_changes != self._changes:
            self._usable_changes = self._changes
            self._usable = [m.router for m in self.members if m.state == ALIVE]
        return self._usable

    @property
    def reachable(self) -> list[str]:
        """Other members that are neither suspected nor dead."""
        return [n for n, known in self._known.items() if known.update.state in (ALIVE, LEAVING)]

    def find(self, router: str) -> MemberUpdate | None:
        """Entry of a member, None if it is unknown."""
        if router == self._me.router:
            return self._me
        known = self._known.get(router)
        return known.update if known else None

    def cut_off(self, now_ms: float) -> bool:
        """Whether most members known within the last minute are suspected or dead."""
        recent = [
            k for k in self._known.values() if k.update.state != DEAD or self._is_recent(k, now_ms)
        ]
        lost = sum(1 for k in recent if k.update.state in (SUSPECT, DEAD))
        return bool(recent) and lost * 2 > len(recent)

    def update_self(self, *, config_version: int | None = None, room: int | None = None) -> None:
        """Change the router's published entry."""
        me = self._me
        version = me.config_version if config_version is None else config_version
        changed = version != me.config_version
        current_room = me.room if room is None else room
        # Room changes with each request; only changes of a quarter or more are published.
        changed = changed or abs(current_room - me.room) * 4 > max(me.room, 8)
        if not changed:
            return
        self._me = me._replace(
            config_version=version, room=current_room, incarnation=me.incarnation + 1
        )
        self._queue_gossip(me.router)

    def leave(self) -> list[Send]:
        """Publish that this router accepts no new requests, directly to a few members first."""
        self._me = self._me._replace(state=LEAVING, incarnation=self._me.incarnation + 1)
        self._changes += 1
        self._queue_gossip(self._me.router)
        return [self._ping(name) for name in self._sample(SYNC_MEMBERS, exclude="")]

    def join(self, addresses: list[str]) -> list[Send]:
        """Probe seed addresses that belong to no known member."""
        known = {k.update.peer_address for k in self._known.values()} | {self._me.peer_address}
        return [
            Send("", Ping(0, "", [self._me]), address)
            for address in addresses
            if address not in known
        ]

    def tick(self, now_ms: float) -> list[Send | Reconnect]:
        """Probe the next member, and mark silent members as suspect and then dead."""
        sends: list[Send | Reconnect] = []
        for probe in list(self._probes.values()):
            sends.extend(self._check_probe(probe, now_ms))
        if now_ms >= self._next_expiry_ms:
            self._next_expiry_ms = now_ms + EXPIRY_CHECK_MS
            self._advance_states(now_ms)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + PROBE_INTERVAL_MS
            sends.extend(self._start_probe(now_ms))
        return sends

    def probe_now(self, router: str, now_ms: float) -> list[Send]:
        """Probe a member immediately, after an indication that it may be unreachable.

        The regular rotation probes each member once per as many intervals as there are members.
        Until then callers would be sent to a stopped router, where connections are refused.
        """
        known = self._known.get(router)
        if known is None or known.update.state not in (ALIVE, LEAVING) or router in self._probes:
            return []
        return [self._begin_probe(router, now_ms)]

    def record_message(self, router: str, now_ms: float) -> None:
        """Record that a message of a member was received."""
        known = self._known.get(router)
        if known is not None:
            self._known[router] = known._replace(heard_ms=now_ms)

    def ping(self, sender: str, message: Ping, now_ms: float) -> list[Send]:
        """Answer a probe; a sender that was unknown receives a larger sample of members."""
        if message.target not in ("", self._me.router):
            return []
        first_contact = sender not in self._known
        self._apply_updates(message.updates, now_ms)
        known = self._known.get(sender)
        if known is None:
            return []
        limit = SYNC_MEMBERS if first_contact or not message.target else 0
        updates = self._piggyback() + [
            self._known[name].update for name in self._sample(limit, exclude=sender)
        ]
        if known.update.state in (SUSPECT, DEAD):
            updates.append(known.update)
        ack = PingAck(message.sequence, [self._me, *updates])
        return [Send(sender, ack, known.update.peer_address)]

    def ack(self, sender: str, message: PingAck, now_ms: float) -> list[Send]:
        """Process a probe's answer; forward it if the probe was made for another member."""
        self._apply_updates(message.updates, now_ms)
        self._confirm_alive(sender, message.sequence, now_ms)
        waiting = self._relayed.pop(message.sequence, None)
        if waiting is None:
            return []
        requester, sequence = waiting
        return [Send(requester, PingRelayed(sequence, sender))]

    def ping_request(self, sender: str, message: PingRequest) -> list[Send]:
        """Probe a member on behalf of another."""
        self._sequence += 1
        self._relayed[self._sequence] = (sender, message.sequence)
        while len(self._relayed) > 64:
            del self._relayed[next(iter(self._relayed))]
        ping = Ping(self._sequence, message.target, self._piggyback())
        return [Send(message.target, ping, message.peer_address)]

    def relayed(self, message: PingRelayed, now_ms: float) -> None:
        """Process an indirect probe's success."""
        self._confirm_alive(message.target, message.sequence, now_ms)

    def _is_recent(self, known: _MemberState, now_ms: float) -> bool:
        return now_ms - known.since_ms < FORGET_DEAD_MS

    def _confirm_alive(self, router: str, sequence: int, now_ms: float) -> None:
        self.record_message(router, now_ms)
        probe = self._probes.get(router)
        if probe is not None and probe.sequence == sequence:
            del self._probes[router]
        known = self._known.get(router)
        if known is not None and known.update.state == SUSPECT:
            self._store_update(known.update._replace(state=ALIVE), now_ms)

    def _check_probe(self, probe: _Probe, now_ms: float) -> list[Send | Reconnect]:
        waited_ms = now_ms - probe.sent_ms
        if waited_ms >= PROBE_INTERVAL_MS:
            del self._probes[probe.target]
            return list(self._suspect(probe.target, now_ms))
        if waited_ms < PROBE_TIMEOUT_MS or probe.indirect_sent:
            return []
        self._probes[probe.target] = probe._replace(indirect_sent=True)
        known = self._known.get(probe.target)
        if known is None:
            return []
        address = known.update.peer_address
        request = PingRequest(probe.sequence, probe.target, address)
        ping = Ping(probe.sequence, probe.target, [self._me])
        intermediaries = self._sample(INDIRECT_PROBES, exclude=probe.target)
        return [
            Reconnect(probe.target),
            Send(probe.target, ping, address),
            *(Send(name, request) for name in intermediaries),
        ]

    def _suspect(self, router: str, now_ms: float) -> list[Send]:
        """Suspect a member that did not answer, and notify a few other members immediately.

        Other members give out its address to callers until they receive the suspicion. If it
        spread only with regular probes, some would do so for seconds.
        """
        known = self._known.get(router)
        if known is None or known.update.state not in (ALIVE, LEAVING):
            return []
        self._store_update(known.update._replace(state=SUSPECT), now_ms)
        return [self._ping(name) for name in self._sample(SYNC_MEMBERS, exclude=router)]

    def _start_probe(self, now_ms: float) -> list[Send]:
        while self._order:
            target = self._order.pop()
            if target in self._known:
                break
        else:
            self._order = list(self._known)
            self._random.shuffle(self._order)
            if not self._order:
                return []
            target = self._order.pop()
        if target in self._probes:
            return []
        return [self._begin_probe(target, now_ms)]

    def _begin_probe(self, target: str, now_ms: float) -> Send:
        send = self._ping(target)
        self._probes[target] = _Probe(self._sequence, target, now_ms, False)
        return send

    def _ping(self, target: str) -> Send:
        self._sequence += 1
        known = self._known[target]
        updates = [self._me, *self._piggyback()]
        if known.update.state in (SUSPECT, DEAD):
            # A live member refutes the suspicion with a higher incarnation number.
            updates.append(known.update)
        return Send(target, Ping(self._sequence, target, updates), known.update.peer_address)

    def _sample(self, count: int, exclude: str) -> list[str]:
        if not count:
            return []
        names = [n for n in self.reachable if n != exclude]
        return self._random.sample(names, min(count, len(names)))

    def _advance_states(self, now_ms: float) -> None:
        for name, known in list(self._known.items()):
            state = known.update.state
            if state == SUSPECT and now_ms - known.since_ms >= SUSPICION_MS:
                self._store_update(known.update._replace(state=DEAD), now_ms)
            elif state == DEAD and not self._is_recent(known, now_ms):
                del self._known[name]
                self._changes += 1
                self._gossip.pop(name, None)

    def _apply_updates(self, updates: list[MemberUpdate], now_ms: float) -> None:
        for update in updates:
            if update.router == self._me.router:
                self._refute(update)
            else:
                self._merge_update(update, now_ms)

    def _refute(self, update: MemberUpdate) -> None:
        me = self._me
        refutable = update.state in (SUSPECT, DEAD) and update.incarnation >= me.incarnation
        if refutable:
            self._me = me._replace(incarnation=update.incarnation + 1)
            self._queue_gossip(me.router)

    def _merge_update(self, update: MemberUpdate, now_ms: float) -> None:
        known = self._known.get(update.router)
        if known is None:
            if update.state != DEAD:
                self._store_update(update, now_ms)
            return
        old = known.update
        newer = update.incarnation > old.incarnation
        overrides = update.incarnation == old.incarnation and update.state > old.state
        if newer or overrides:
            self._store_update(update, now_ms)

    def _store_update(self, update: MemberUpdate, now_ms: float) -> None:
        self._updates += 1
        old = self._known.get(update.router)
        heard_ms = old.heard_ms if old else now_ms
        same_state = old is not None and old.update.state == update.state
        since_ms = old.since_ms if old is not None and same_state else now_ms
        self._known[update.router] = _MemberState(update, since_ms, heard_ms)
        if not same_state:
            self._changes += 1
        if old is None:
            position = self._random.randint(0, len(self._order))
            self._order.insert(position, update.router)
        self._queue_gossip(update.router)

    def _queue_gossip(self, router: str) -> None:
        self._gossip[router] = GOSSIP_FACTOR * math.ceil(math.log2(len(self._known) + 2))

    def _piggyback(self) -> list[MemberUpdate]:
        names = sorted(self._gossip, key=lambda n: self._gossip[n], reverse=True)[:PIGGYBACK_LIMIT]
        updates = []
        for name in names:
            update = self.find(name)
            self._gossip[name] -= 1
            if self._gossip[name] <= 0:
                del self._gossip[name]
            if update is not None:
                updates.append(update)
        return updates
