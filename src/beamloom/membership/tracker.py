"""What this node believes of each member: merging, suspicion, refutation and death.

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
QUIET_STATES = frozenset({MemberState.SUSPECT})


class UpdateOutcome(Enum):
    """What became of an update."""

    APPLIED = "applied"
    STALE = "stale"
    UNKNOWN = "unknown"


class MemberTracker:
    """The member list with its suspicion timers and the gossip that follows from it."""

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
        """Store and gossip the node's own state at its incarnation."""
        self.table.put(Member(self.own_machine, self.life_cycle.state, self.incarnation), now)
        self.queue.add(self.table.update_of(self.own_id, with_machine=self.incarnation == 0))

    def take_update(
        self, update: MemberUpdate, now: float, old_news: bool = False
    ) -> UpdateOutcome:
        """Merge what another node says of a member; with `old_news`, pass no newcomers on."""
        if update.node_id == self.own_id:
            return self._hear_of_self(update, now)
        if update.node_id not in self.table.members and update.machine is None:
            gone = update.state >= MemberState.LEFT
            return UpdateOutcome.STALE if gone else UpdateOutcome.UNKNOWN
        change = self.table.apply(update, now)
        if change is None:
            self._confirm(update)
            return UpdateOutcome.STALE
        self._follow(change, update, now)
        if change.before is not None or not old_news:
            self._pass_on(change, update)
        return UpdateOutcome.APPLIED

    def suspect(self, node_id: NodeId, now: float, witnesses: Iterable[NodeId] = ()) -> None:
        """Note that this node's own probe of a member failed.

        `witnesses` are the helpers that got no answer from it either. They count as confirmations
        at this node, so that it need not wait for the suspicion to go round and come back.
        """
        member = self.table.members.get(node_id)
        if member is None or not member.answers:
            return
        if member.state is MemberState.LEAVING:
            self._suspect_quietly(member, now)
            return
        self.counters.suspicions_raised += 1
        update = MemberUpdate(node_id, MemberState.SUSPECT, member.incarnation, self.own_id)
        self.take_update(update, now)
        suspicion = self.suspicions.get(node_id)
        if suspicion is not None:
            for witness in witnesses:
                suspicion.confirm(witness)
            self._deadlines_changed()

    def clear_quiet_suspicion(self, node_id: NodeId) -> None:
        """Drop the suspicion of a leaving member that answered a probe after all."""
        member = self.table.members.get(node_id)
        if member is not None and member.state is MemberState.LEAVING:
            self.suspicions.pop(node_id, None)
            self._deadlines_changed()

    def expire(self, now: float) -> None:
        """Declare dead whom nobody cleared in time, and forget the long gone."""
        deadline = self.next_deadline()
        if deadline is not None and now >= deadline:
            self._expire_suspicions(now)
        self.table.forget_gone(now, self.settings.dead_retention, self.settings.left_retention)
        for node_id in self.flaps.known():
            if node_id not in self.table.members:
                self.flaps.forget(node_id)

    def restart_suspicions(self, now: float) -> None:
        """Give every suspected member its full time again: this node was not listening."""
        for suspicion in self.suspicions.values():
            suspicion.started = now
            suspicion.accusers.clear()
            suspicion.checked = False
        self._deadlines_changed()

    def raise_incarnation(self, above: int, now: float) -> None:
        """Refute what is said of this node by a higher incarnation."""
        self.incarnation = max(self.incarnation, above) + 1
        self.counters.refutations += 1
        self.refutation_pending = True
        self.announce_self(now)

    def updates_for(self, target: NodeId) -> list[WireUpdate]:
        """Return the updates for one datagram; a suspected target hears of it first."""
        return [*self.doubts_of(target), *self.queue.take(len(self.table.peers) + 1)]

    def doubts_of(self, target: NodeId) -> list[WireUpdate]:
        """Return only what a suspected or dead target must hear of itself, to refute it."""
        member = self.table.members.get(target)
        if member is not None and member.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return [self.table.update_of(target).encode()]
        return []

    def next_deadline(self) -> float | None:
        """Return when the next suspicion is to be checked or ends."""
        factor = self.health.factor
        if factor != self._deadline_factor:
            self._deadline_factor = factor
            steps: Iterable[float] = (item.next_step(factor) for item in self.suspicions.values())
            self._next_deadline = min(steps, default=None)
        return self._next_deadline

    def _deadlines_changed(self) -> None:
        # No health factor is 0, so the next call works the deadline out anew.
        self._deadline_factor = 0

    def _hear_of_self(self, update: MemberUpdate, now: float) -> UpdateOutcome:
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
            self._deadlines_changed()

    def _follow(self, change: MemberChange, update: MemberUpdate, now: float) -> None:
        node_id = update.node_id
        after = change.after
        if after.state is MemberState.SUSPECT:
            self.suspicions[node_id] = self._new_suspicion(after, update.accuser, now)
        else:
            self.suspicions.pop(node_id, None)
        self._deadlines_changed()
        doubted = {MemberState.SUSPECT, MemberState.DEAD}
        if change.before is not None and change.before.state in doubted and after.answers:
            self.flaps.record_return(node_id, now)

    def _pass_on(self, change: MemberChange, update: MemberUpdate) -> None:
        after = change.after
        machine = after.machine if change.before is None else None
        accuser = update.accuser if after.state is MemberState.SUSPECT else None
        news = MemberUpdate(update.node_id, after.state, after.incarnation, accuser, machine)
        self.queue.add(news)
        self.death_pending = self.death_pending or after.state is MemberState.DEAD
        self._record(change, "heard")

    def _new_suspicion(self, member: Member, accuser: NodeId | None, now: float) -> Suspicion:
        factor = self.flaps.factor(member.machine.node_id, now)
        if member.machine.zone.region != self.own_machine.zone.region:
            factor *= self.settings.cross_region_suspicion_factor
        minimum, maximum = suspicion_bounds(self.settings, len(self.table.peers) + 1, factor)
        others = max(0, len(self.table.peers) - 1)
        needed = min(self.settings.suspicion_confirmations, max(1, others // 2))
        accusers = set() if accuser is None else {accuser}
        return Suspicion(member.incarnation, now, minimum, maximum, needed, accusers)

    def _suspect_quietly(self, member: Member, now: float) -> None:
        # LEAVING outranks SUSPECT, so only this node's own timer runs, at its full length.
        if member.machine.node_id not in self.suspicions:
            self.suspicions[member.machine.node_id] = self._new_suspicion(member, self.own_id, now)
            self._deadlines_changed()

    def _expire_suspicions(self, now: float) -> None:
        for node_id, suspicion in list(self.suspicions.items()):
            if now >= suspicion.deadline(self.health.factor):
                self._declare_dead(node_id, suspicion, now)
            elif now >= suspicion.next_step(self.health.factor):
                self._check(node_id, suspicion)
        self._deadlines_changed()

    def needs_probe(self, member: Member) -> bool:
        """Return whether a probe of a member could still change what is believed of it."""
        suspicion = self.suspicions.get(member.machine.node_id)
        if suspicion is None:
            return True
        return (
            len(self.suspicions) <= self.settings.crowd_of_suspects and not suspicion.is_confirmed
        )

    def _is_checker(self, node_id: NodeId) -> bool:
        """Return whether this node is among those that ask a suspect on hearsay.

        Drawn by hash over the fleet, so that their number does not grow with it.
        """
        incarnation = self.table.members[node_id].incarnation
        draw = xxh3_64_intdigest(f"{self.own_id}/{node_id}/{incarnation}")
        return draw * (len(self.table.peers) + 1) < self.settings.hearsay_checkers << HASH_BITS

    def _check(self, node_id: NodeId, suspicion: Suspicion) -> None:
        suspicion.checked = True
        if not self._is_checker(node_id):
            return
        self.outbox.append(SendMessage(node_id, Ping(UNTRACKED_PROBE, self.doubts_of(node_id))))

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
        self._record(change, f"no answer to probes of {accusers} nodes, not refuted in time")

    def _record(self, change: MemberChange, reason: str) -> None:
        after = change.after
        before_state = "UNKNOWN" if change.before is None else change.before.state.name
        if after.state in QUIET_STATES or before_state == after.state.name:
            return
        if before_state == MemberState.SUSPECT.name and after.state is MemberState.ALIVE:
            return
        subject = f"member {after.machine.node_id}"
        self.outbox.append(RecordTransition(subject, before_state, after.state.name, reason))
