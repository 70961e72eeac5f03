"""The membership component: which nodes are in the fleet and which are reachable, without I/O.

Implements SWIM (Das, Gupta, Motivala 2002) with extensions of Lifeguard (Dadgar, Phillips, Currey
2018). See docs/design/membership.md.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import replace

from beamloom.membership.prober import Prober
from beamloom.membership.settings import MembershipSettings
from beamloom.membership.snapshot import MembershipSnapshot
from beamloom.membership.synchronizer import Synchronizer
from beamloom.membership.tracker import MemberTracker
from beamloom.membership.view import MembershipView
from beamloom.model.addresses import SocketAddress
from beamloom.model.machines import Machine, MemberState, NodeId
from beamloom.protocol.commands import Command, RecordTransition, SendMessage
from beamloom.protocol.membership_messages import (
    Acknowledge,
    Gossip,
    JoinRequest,
    MemberRequest,
    NegativeAcknowledge,
    Ping,
    PingRequest,
    StateDigest,
    StateExchange,
    StatePage,
    StateRequest,
)
from beamloom.protocol.messages import Message

NEVER = float("inf")
DEATH_NOTICE_INTERVAL_SECONDS = 1.0


class MembershipCore:
    """One node's instance of the membership protocol; all times are in seconds.

    The destination of a `SendMessage` is a control address, or the id of a member whose control
    address is in `view`. The view keeps dead members for `dead_retention`: some messages go to
    them, so that both sides of a network split find each other again once it heals.
    """

    def __init__(
        self,
        machine: Machine,
        seeds: Sequence[SocketAddress],
        settings: MembershipSettings,
        rng: random.Random,
    ) -> None:
        self._settings = settings
        self._rng = rng
        self._outbox: list[Command] = []
        self._tracker = MemberTracker(machine, settings, self._outbox)
        self._prober = Prober(self._tracker, rng)
        self._synchronizer = Synchronizer(self._tracker, seeds, rng)
        self._next_gossip = NEVER
        self._death_notices: dict[NodeId, float] = {}
        self._running = False

    @property
    def view(self) -> MembershipView:
        """The member list; a new object with a higher version after each change."""
        return self._tracker.table.view

    def start(self, now: float) -> list[Command]:
        """Start joining through the seeds, probing and gossiping."""
        self._running = True
        self._tracker.announce_self(now)
        self._prober.start(now)
        self._synchronizer.start(now)
        self._next_gossip = now + self._settings.gossip_interval
        return self._take_commands()

    def become_alive(self, now: float) -> list[Command]:
        """Announce that this node has its configuration and may be assigned partitions."""
        self._change_state("become_alive", "configuration is in force", now)
        return self._take_commands()

    def leave(self, now: float) -> list[Command]:
        """Announce a planned leave: this node stays reachable but is assigned no partitions."""
        self._change_state("leave", "planned stop", now)
        return self._take_commands()

    def leave_complete(self, now: float) -> list[Command]:
        """Announce to `leave_peers` random peers that this node has left, and stop."""
        if self._change_state("complete", "hand-over is complete", now):
            self._send_own_state(self._settings.leave_peers)
            self.stop()
        return self._take_commands()

    def stop(self) -> None:
        """Stop all timers and ignore further messages."""
        self._running = False
        self._next_gossip = NEVER
        self._prober.stop()
        self._synchronizer.stop()

    def machines_listed(
        self, live: Sequence[Machine], leaving: Sequence[Machine], now: float
    ) -> list[Command]:
        """Record the platform's list, which may be outdated, as addresses for join requests."""
        self._synchronizer.machines_listed(live)
        return self._take_commands()

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Handle one message from an authenticated sender."""
        if not self._running:
            return []
        self._detect_pause(now)
        self._tracker.queue.refill(now)
        if not self._dispatch(sender, message, now):
            self._tracker.counters.unexpected_messages += 1
        self._check_sender(sender, message, now)
        self._send_refutation()
        self._gossip_death()
        return self._take_commands()

    def poll(self, now: float) -> list[Command]:
        """Run the timers that are due."""
        if not self._running:
            return []
        self._detect_pause(now)
        self._tracker.queue.refill(now)
        self._tracker.expire(now)
        self._prober.poll(now)
        self._synchronizer.poll(now)
        if now >= self._next_gossip:
            self._gossip(now)
        self._gossip_death()
        return self._take_commands()

    def next_timer(self) -> float | None:
        """Return when to call `poll` next; None while stopped."""
        if not self._running:
            return None
        due = min(self._prober.next_timer(), self._synchronizer.next_timer(), self._next_gossip)
        suspicion = self._tracker.next_deadline()
        return due if suspicion is None else min(due, suspicion)

    def snapshot(self) -> MembershipSnapshot:
        """Return the current state and a copy of the counters."""
        tracker = self._tracker
        states = Counter(member.state for member in tracker.table.members.values())
        return MembershipSnapshot(
            state=tracker.life_cycle.state,
            incarnation=tracker.incarnation,
            view_version=self.view.version,
            synchronized=self._synchronizer.synchronized,
            members_by_state=states,
            health_score=tracker.health.score,
            suspicions=len(tracker.suspicions),
            updates_queued=len(tracker.queue),
            counters=replace(tracker.counters),
        )

    def _dispatch(self, sender: NodeId, message: Message, now: float) -> bool:
        if isinstance(message, (Ping, Acknowledge, PingRequest, Gossip)):
            self._synchronizer.merge_updates(sender, message.updates, now)
        match message:
            case JoinRequest():
                return self._synchronizer.answer_join(sender, message, now)
            case StatePage():
                self._synchronizer.handle_page(sender, message, now)
            case StateExchange():
                self._synchronizer.handle_exchange(sender, message, now)
            case Acknowledge():
                return self._prober.handle_acknowledgement(sender, message, now)
            case NegativeAcknowledge():
                return self._prober.handle_negative_acknowledgement(sender, message, now)
            case Gossip():
                return True
            case _:
                return self._answer(sender, message, now)
        return True

    def _answer(self, sender: NodeId, message: Message, now: float) -> bool:
        if sender not in self._tracker.table.members:
            return False
        match message:
            case Ping():
                self._prober.answer_ping(sender, message)
            case PingRequest():
                self._prober.answer_ping_request(sender, message, now)
            case StateRequest():
                self._synchronizer.answer_state_request(sender, message, now)
            case StateDigest():
                self._synchronizer.answer_digest(sender, message, now)
            case MemberRequest():
                self._synchronizer.answer_member_request(sender, message)
            case _:
                return False
        return True

    def _check_sender(self, sender: NodeId, message: Message, now: float) -> None:
        """Request the entry of an unknown sender; notify a sender that is recorded as dead."""
        member = self._tracker.table.members.get(sender)
        if member is None:
            self._tracker.counters.unknown_senders += 1
            peers = self._tracker.table.peers
            if peers:
                peer = self._rng.choice(peers).machine.node_id
                self._synchronizer.request_members(peer, [sender], now)
            return
        if member.state is not MemberState.DEAD or isinstance(message, Ping):
            return
        if now - self._death_notices.get(sender, -NEVER) >= DEATH_NOTICE_INTERVAL_SECONDS:
            self._death_notices[sender] = now
            notice = self._tracker.table.update_of(sender).encode()
            self._outbox.append(SendMessage(sender, Gossip([notice])))

    def _detect_pause(self, now: float) -> None:
        """Handle a pause of this process, seen as a timer overdue by `pause_threshold`.

        Answers may have been missed, so probes are cancelled and suspicions restarted. After a
        pause of `suspicion_multiplier` probe intervals this node raises its incarnation, as others
        may suspect it.
        """
        due = self.next_timer()
        if due is None or now - due < self._settings.pause_threshold:
            return
        self._tracker.counters.pauses += 1
        self._prober.cancel_probes(now)
        self._tracker.health.worsen(1)
        self._tracker.restart_suspicions(now)
        self._synchronizer.resume_after_pause(now)
        self._next_gossip = now + self._settings.gossip_interval
        if now - due >= self._settings.suspicion_multiplier * self._settings.probe_interval:
            self._tracker.raise_incarnation(self._tracker.incarnation, now)

    def _gossip(self, now: float) -> None:
        self._next_gossip = now + self._settings.gossip_interval
        for node_id, sent_at in list(self._death_notices.items()):
            if now - sent_at >= DEATH_NOTICE_INTERVAL_SECONDS:
                del self._death_notices[node_id]
        self._gossip_to(1)

    def _gossip_to(self, count: int) -> None:
        peers = self._tracker.table.peers
        for member in self._rng.sample(peers, min(count, len(peers))):
            if self._tracker.queue.datagram_ready:
                peer = member.machine.node_id
                self._outbox.append(SendMessage(peer, Gossip(self._tracker.updates_for(peer))))

    def _gossip_death(self) -> None:
        """Gossip a death at once, within the rate limit: packets sent to a dead node are lost."""
        if self._tracker.death_pending:
            self._tracker.death_pending = False
            self._gossip_to(self._settings.death_peers)

    def _send_refutation(self) -> None:
        if self._tracker.refutation_pending:
            self._tracker.refutation_pending = False
            self._send_own_state(self._settings.refutation_peers)

    def _send_own_state(self, count: int) -> None:
        peers = self._tracker.table.peers
        recipients = self._rng.sample(peers, min(count, len(peers)))
        update = self._tracker.table.update_of(self._tracker.own_id).encode()
        for member in recipients:
            self._outbox.append(SendMessage(member.machine.node_id, Gossip([update])))

    def _change_state(self, trigger: str, reason: str, now: float) -> bool:
        before = self._tracker.life_cycle.state
        if not self._tracker.life_cycle.fire(trigger):
            return False
        self._tracker.announce_self(now)
        after = self._tracker.life_cycle.state
        subject = f"member {self._tracker.own_id}"
        self._outbox.append(RecordTransition(subject, before.name, after.name, reason))
        return True

    def _take_commands(self) -> list[Command]:
        commands = self._outbox[:]
        self._outbox.clear()
        return commands
