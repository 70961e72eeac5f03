"""Membership state as seen by this node: merging of updates, suspicion, refutation and death.

Sources: SWIM (Das, Gupta, Motivala 2002) for incarnations and suspicion; Lifeguard (Dadgar,
Phillips, Currey 2018) for confirmations and the local health multiplier.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from xxhash import xxh3_64_intdigest

from beamloom.membership.dissemination import UpdateQueue
from beamloom.membership.health import LocalHealth
from beamloom.membership.life_cycle import LifeCycle
from beamloom.membership.member_table import MemberChange, MemberTable
from beamloom.membership.settings import MembershipSettings
from beamloom.membership.snapshot import MembershipCounters
from beamloom.membership.suspicion import FlapHistory, Suspicion, suspicion_bounds
from beamloom.model.machines import Machine, Member, MemberState, NodeId
from beamloom.protocol.commands import Command, RecordTransition, SendMessage
from beamloom.protocol.membership_messages import UNTRACKED_PROBE, MemberUpdate, Ping, WireUpdate

HASH_BITS = 64
UNRECORDED_STATES = frozenset({MemberState.SUSPECT})


class UpdateOutcome(Enum):
    """Result of merging an update; UNKNOWN if the member is new and the update has no machine."""

    APPLIED = "applied"
    STALE = "stale"
    UNKNOWN = "unknown"


class MemberTracker:
    """The member list with its suspicion timers and its gossip queue."""

    def __init__(
        self, machine: Machine, settings: MembershipSettings, outbox: list[Command]
    ) -> None:
        self.settings = settings
        self.outbox = outbox
        self.own_machine = machine
        self.own_id = machine.node_id
        self.incarnation = 0
        self.life_cycle = LifeCycle()
        self.table = MemberTable(Member(machine, MemberState.JOINING, 0))
        self.queue = UpdateQueue(settings)
        self.health = LocalHealth(settings.health_maximum)
        self.counters = MembershipCounters()
        self.suspicions: dict[NodeId, Suspicion] = {}
        self.flaps = FlapHistory(settings)
        self.refutation_pending = False
        self.death_pending = False
        self._next_deadline: float | None = None
        self._deadline_factor = 0

    def announce_self(self, now: float) -> None:
        """Store and gossip this node's own state at its current incarnation."""
        self.table.put(Member(self.own_machine, self.life_cycle.state, self.incarnation), now)
        self.queue.add(self.table.update_of(self.own_id, with_machine=self.incarnation == 0))

    def merge_update(
        self, update: MemberUpdate, now: float, from_page: bool = False
    ) -> UpdateOutcome:
        """Merge an update of a member; with `from_page`, new members are not gossiped."""
        if update.node_id == self.own_id:
            return self._merge_own_update(update, now)
        if update.node_id not in self.table.members and update.machine is None:
            has_left = update.state >= MemberState.LEFT
            return UpdateOutcome.STALE if has_left else UpdateOutcome.UNKNOWN
        change = self.table.apply(update, now)
        if change is None:
            self._confirm(update)
            return UpdateOutcome.STALE
        self._update_suspicion(change, update, now)
        if change.before is not None or not from_page:
            self._gossip_change(change, update)
        return UpdateOutcome.APPLIED

    def suspect(self, node_id: NodeId, now: float, helpers: Iterable[NodeId] = ()) -> None:
        """Record that this node's own probe of a member failed.

        `helpers` are those that got no answer from the member either. They count as confirmations
        at this node, without waiting for their own suspicions to arrive by gossip.
        """
        member = self.table.members.get(node_id)
        if member is None or not member.is_reachable:
            return
        if member.state is MemberState.LEAVING:
            self._suspect_locally(member, now)
            return
        self.counters.suspicions_raised += 1
        update = MemberUpdate(node_id, MemberState.SUSPECT, member.incarnation, self.own_id)
        self.merge_update(update, now)
        suspicion = self.suspicions.get(node_id)
        if suspicion is not None:
            for helper in helpers:
                suspicion.confirm(helper)
            self._invalidate_deadline()

    def clear_local_suspicion(self, node_id: NodeId) -> None:
        """Remove the suspicion of a leaving member that answered a probe."""
        member = self.table.members.get(node_id)
        if member is not None and member.state is MemberState.LEAVING:
            self.suspicions.pop(node_id, None)
            self._invalidate_deadline()

    def expire(self, now: float) -> None:
        """Run due suspicion timers, and remove members whose retention is over.

        A due timer pings the suspect, if this node is one of its checkers, or declares it dead.
        """
        deadline = self.next_deadline()
        if deadline is not None and now >= deadline:
            self._expire_suspicions(now)
        self.table.remove_expired(now, self.settings.dead_retention, self.settings.left_retention)
        for node_id in self.flaps.members():
            if node_id not in self.table.members:
                self.flaps.remove(node_id)

    def restart_suspicions(self, now: float) -> None:
        """Restart all suspicions without their accusers, as refutations may have been missed."""
        for suspicion in self.suspicions.values():
            suspicion.started = now
            suspicion.accusers.clear()
            suspicion.checked = False
        self._invalidate_deadline()

    def raise_incarnation(self, above: int, now: float) -> None:
        """Announce this node at an incarnation higher than `above`, to refute older updates."""
        self.incarnation = max(self.incarnation, above) + 1
        self.counters.refutations += 1
        self.refutation_pending = True
        self.announce_self(now)

    def updates_for(self, target: NodeId) -> list[WireUpdate]:
        """Return the updates for one datagram, first the target's own if it has to refute it."""
        return [*self.updates_to_refute(target), *self.queue.take(len(self.table.peers) + 1)]

    def updates_to_refute(self, target: NodeId) -> list[WireUpdate]:
        """Return the target's own entry if it is suspected or dead, so that it can refute that."""
        member = self.table.members.get(target)
        if member is not None and member.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return [self.table.update_of(target).encode()]
        return []

    def next_deadline(self) -> float | None:
        """Return when the next ping of a suspect, or the next end of a suspicion, is due."""
        factor = self.health.factor
        if factor != self._deadline_factor:
            self._deadline_factor = factor
            steps: Iterable[float] = (item.next_action(factor) for item in self.suspicions.values())
            self._next_deadline = min(steps, default=None)
        return self._next_deadline

    def _invalidate_deadline(self) -> None:
        # Health factors are at least 1, so `next_deadline` recomputes the value.
        self._deadline_factor = 0

    def _merge_own_update(self, update: MemberUpdate, now: float) -> UpdateOutcome:
        own_state = self.life_cycle.state
        if own_state is MemberState.LEFT:
            return UpdateOutcome.STALE
        if (update.incarnation, update.state) <= (self.incarnation, own_state):
            return UpdateOutcome.STALE
        self.health.worsen(1)
        self.raise_incarnation(update.incarnation, now)
        return UpdateOutcome.APPLIED

    def _confirm(self, update: MemberUpdate) -> None:
        known = self.table.members.get(update.node_id)
        suspicion = self.suspicions.get(update.node_id)
        if suspicion is None or known is None or update.accuser is None:
            return
        same = (update.state, update.incarnation) == (known.state, suspicion.incarnation)
        if same and suspicion.confirm(update.accuser):
            if not self.queue.is_long:
                self.queue.add(update)
            self._invalidate_deadline()

    def _update_suspicion(self, change: MemberChange, update: MemberUpdate, now: float) -> None:
        node_id = update.node_id
        after = change.after
        if after.state is MemberState.SUSPECT:
            self.suspicions[node_id] = self._new_suspicion(after, update.accuser, now)
        else:
            self.suspicions.pop(node_id, None)
        self._invalidate_deadline()
        suspected = {MemberState.SUSPECT, MemberState.DEAD}
        if change.before is not None and change.before.state in suspected and after.is_reachable:
            self.flaps.record_return(node_id, now)

    def _gossip_change(self, change: MemberChange, update: MemberUpdate) -> None:
        after = change.after
        machine = after.machine if change.before is None else None
        accuser = update.accuser if after.state is MemberState.SUSPECT else None
        gossiped = MemberUpdate(update.node_id, after.state, after.incarnation, accuser, machine)
        self.queue.add(gossiped)
        self.death_pending = self.death_pending or after.state is MemberState.DEAD
        self._record(change, "membership update received")

    def _new_suspicion(self, member: Member, accuser: NodeId | None, now: float) -> Suspicion:
        factor = self.flaps.factor(member.machine.node_id, now)
        if member.machine.zone.region != self.own_machine.zone.region:
            factor *= self.settings.cross_region_suspicion_factor
        minimum, maximum = suspicion_bounds(self.settings, len(self.table.peers) + 1, factor)
        others = max(0, len(self.table.peers) - 1)
        confirmations_needed = min(self.settings.suspicion_confirmations, max(1, others // 2))
        accusers = set() if accuser is None else {accuser}
        return Suspicion(member.incarnation, now, minimum, maximum, confirmations_needed, accusers)

    def _suspect_locally(self, member: Member, now: float) -> None:
        # LEAVING takes precedence over SUSPECT: the suspicion is not gossiped, and only this node's
        # own timer runs.
        if member.machine.node_id not in self.suspicions:
            self.suspicions[member.machine.node_id] = self._new_suspicion(member, self.own_id, now)
            self._invalidate_deadline()

    def _expire_suspicions(self, now: float) -> None:
        for node_id, suspicion in list(self.suspicions.items()):
            if now >= suspicion.deadline(self.health.factor):
                self._declare_dead(node_id, suspicion, now)
            elif now >= suspicion.next_action(self.health.factor):
                self._ping_suspect(node_id, suspicion)
        self._invalidate_deadline()

    def needs_probe(self, member: Member) -> bool:
        """Return whether regular probes should include a member.

        Suspects are included until confirmed, and only while few members are suspected.
        """
        suspicion = self.suspicions.get(member.machine.node_id)
        if suspicion is None:
            return True
        return (
            len(self.suspicions) <= self.settings.maximum_probed_suspects
            and not suspicion.is_confirmed
        )

    def _is_checker(self, node_id: NodeId) -> bool:
        """Return whether this node is to ping a suspect before the suspicion expires.

        A hash selects `suspect_checkers` nodes on average, whatever the fleet size.
        """
        incarnation = self.table.members[node_id].incarnation
        draw = xxh3_64_intdigest(f"{self.own_id}/{node_id}/{incarnation}")
        return draw * (len(self.table.peers) + 1) < self.settings.suspect_checkers << HASH_BITS

    def _ping_suspect(self, node_id: NodeId, suspicion: Suspicion) -> None:
        suspicion.checked = True
        if not self._is_checker(node_id):
            return
        self.outbox.append(
            SendMessage(node_id, Ping(UNTRACKED_PROBE, self.updates_to_refute(node_id)))
        )

    def _declare_dead(self, node_id: NodeId, suspicion: Suspicion, now: float) -> None:
        del self.suspicions[node_id]
        update = MemberUpdate(node_id, MemberState.DEAD, suspicion.incarnation)
        change = self.table.apply(update, now)
        if change is None:
            return
        self.counters.deaths_declared += 1
        self.queue.add(update)
        self.death_pending = True
        accusers = len(suspicion.accusers)
        self._record(change, f"no answer to probes by {accusers} nodes, not refuted in time")

    def _record(self, change: MemberChange, reason: str) -> None:
        after = change.after
        before_state = "UNKNOWN" if change.before is None else change.before.state.name
        if after.state in UNRECORDED_STATES or before_state == after.state.name:
            return
        if before_state == MemberState.SUSPECT.name and after.state is MemberState.ALIVE:
            return
        subject = f"member {after.machine.node_id}"
        self.outbox.append(RecordTransition(subject, before_state, after.state.name, reason))
