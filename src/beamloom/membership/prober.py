"""Failure detection: one member is probed per interval, directly and then by helpers (SWIM)."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

from beamloom.membership.health import RoundTripEstimator
from beamloom.membership.probe_ring import ProbeRing
from beamloom.membership.tracker import MemberTracker
from beamloom.model.machines import Member, MemberState, NodeId
from beamloom.model.zones import Zone
from beamloom.protocol.commands import SendMessage
from beamloom.protocol.membership_messages import (
    UNTRACKED_PROBE,
    Acknowledge,
    NegativeAcknowledge,
    Ping,
    PingRequest,
)

MAXIMUM_RELAYS = 64
MAXIMUM_ATTEMPTS = 3
HELPER_CANDIDATES = 12
NEVER = float("inf")


@dataclass(slots=True)
class _Probe:
    target: NodeId
    zone: Zone
    incarnation: int
    started: float
    direct_deadline: float
    final_deadline: float
    helpers: tuple[NodeId, ...] = ()
    nacks: set[NodeId] = field(default_factory=set)
    attempt: int = 1


@dataclass(slots=True)
class _Relay:
    requester: NodeId
    requester_probe: int
    target: NodeId
    nack_due: float
    expires: float


class Prober:
    """Sends probes, answers those of other nodes, and reports failed ones to the tracker."""

    def __init__(self, tracker: MemberTracker, rng: random.Random) -> None:
        self._tracker = tracker
        self._settings = tracker.settings
        self._rng = rng
        self._round_trips = RoundTripEstimator(tracker.settings)
        self._ring = ProbeRing(tracker.own_machine.zone, tracker.settings, rng)
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._recheck_queue: deque[NodeId] = deque()
        self._next_recheck = NEVER
        self._last_number = 0
        self._next_probe = NEVER

    def start(self, now: float) -> None:
        """Start probing at a random time within one interval."""
        self._next_probe = now + self._rng.random() * self._settings.probe_interval

    def stop(self) -> None:
        """Stop probing and relaying, and drop what is in progress."""
        self._next_probe = NEVER
        self._probes.clear()
        self._relays.clear()
        self._recheck_queue.clear()
        self._next_recheck = NEVER

    def cancel_probes(self, now: float) -> None:
        """Cancel probes, relays and rechecks, as answers to them may have been missed.

        Their targets are not suspected, and the next probe starts after a full interval.
        """
        self._probes.clear()
        self._relays.clear()
        self._recheck_queue.clear()
        self._next_recheck = NEVER
        if self._next_probe < NEVER:
            self._next_probe = now + self._settings.probe_interval

    def poll(self, now: float) -> None:
        """Advance the probes and relays that are due, and start the next probe."""
        for number, probe in list(self._probes.items()):
            if now >= probe.direct_deadline and not probe.helpers:
                self._send_ping_requests(number, probe, now)
            elif now >= probe.final_deadline:
                self._handle_failed_probe(number, probe, now)
        for number, relay in list(self._relays.items()):
            self._poll_relay(number, relay, now)
        if now >= self._next_recheck:
            self._recheck(now)
        if now >= self._next_probe:
            self._start_probe(now)

    def next_timer(self) -> float:
        """Return when `poll` is due next; infinity if it is not."""
        due = self._next_probe
        for probe in self._probes.values():
            due = min(due, probe.final_deadline if probe.helpers else probe.direct_deadline)
        for relay in self._relays.values():
            due = min(due, relay.nack_due, relay.expires)
        return min(due, self._next_recheck)

    def answer_ping(self, sender: NodeId, ping: Ping) -> None:
        """Acknowledge a ping, with this node's own state if the ping has an update about it."""
        updates = self._tracker.updates_for(sender)
        own_id = self._tracker.own_id
        if any(isinstance(parts, list) and parts[:1] == [own_id] for parts in ping.updates):
            updates = [self._tracker.table.update_of(own_id).encode(), *updates]
        self._send(sender, Acknowledge(ping.probe, updates))

    def answer_ping_request(self, sender: NodeId, request: PingRequest, now: float) -> None:
        """Ping a target on behalf of another node."""
        member = self._tracker.table.members.get(NodeId(request.target))
        if member is None or not member.is_reachable or len(self._relays) >= MAXIMUM_RELAYS:
            return
        number = self._new_number()
        target = member.machine.node_id
        nack_due = now + self._round_trips.timeout(member.machine.zone.name)
        expires = nack_due + self._settings.probe_timeout_maximum
        self._relays[number] = _Relay(sender, request.probe, target, nack_due, expires)
        self._send(target, Ping(number, self._tracker.updates_to_refute(target)))

    def handle_acknowledgement(self, sender: NodeId, message: Acknowledge, now: float) -> bool:
        """Handle an acknowledgement; return False if it matches no probe or relay in progress."""
        if message.probe == UNTRACKED_PROBE:
            self._tracker.clear_local_suspicion(sender)
            return True
        relay = self._relays.get(message.probe)
        if relay is not None and relay.target == sender:
            del self._relays[message.probe]
            self._send(relay.requester, Acknowledge(relay.requester_probe))
            return True
        probe = self._probes.get(message.probe)
        if probe is None or sender not in {probe.target, *probe.helpers}:
            return False
        del self._probes[message.probe]
        if sender == probe.target:
            self._round_trips.observe(probe.zone.name, now - probe.started)
        self._tracker.health.improve()
        self._tracker.clear_local_suspicion(probe.target)
        return True

    def handle_negative_acknowledgement(
        self, sender: NodeId, message: NegativeAcknowledge, now: float
    ) -> bool:
        """Record that a helper is reachable but got no answer from the target.

        Once all helpers have sent this, the probe fails without waiting for its deadline. Returns
        False if the message matches no probe.
        """
        probe = self._probes.get(message.probe)
        if probe is None or sender not in probe.helpers:
            return False
        probe.nacks.add(sender)
        if len(probe.nacks) == len(probe.helpers):
            probe.final_deadline = min(probe.final_deadline, now)
        return True

    def _start_probe(self, now: float) -> None:
        self._next_probe = now + self._interval()
        target = self._ring.next_target(self._tracker.table, self._tracker.needs_probe)
        if target is not None:
            self._probe(target, now)

    def _interval(self) -> float:
        return self._settings.probe_interval * self._tracker.health.factor

    def _probe(self, target: Member, now: float, attempt: int = 1) -> None:
        machine = target.machine
        timeout = self._round_trips.timeout(machine.zone.name) * self._tracker.health.factor
        number = self._new_number()
        self._probes[number] = _Probe(
            machine.node_id,
            machine.zone,
            target.incarnation,
            now,
            now + timeout,
            now + max(timeout, self._interval()),
            attempt=attempt,
        )
        self._tracker.counters.probes_sent += 1
        self._send(machine.node_id, Ping(number, self._tracker.updates_for(machine.node_id)))

    def _send_ping_requests(self, number: int, probe: _Probe, now: float) -> None:
        helpers = self._choose_helpers(probe)
        probe.helpers = tuple(member.machine.node_id for member in helpers)
        probe.direct_deadline = NEVER
        timeout = max((self._helper_timeout(probe, member) for member in helpers), default=0.0)
        probe.final_deadline = max(probe.final_deadline, now + timeout)
        self._send(probe.target, Ping(number, self._tracker.updates_to_refute(probe.target)))
        for helper in probe.helpers:
            self._send(helper, PingRequest(number, probe.target))

    def _helper_timeout(self, probe: _Probe, helper: Member) -> float:
        """Return how long to wait for a helper's answer, including its own wait for the target."""
        helper_timeout = self._round_trips.timeout(helper.machine.zone.name)
        near_target = helper.machine.zone.region == probe.zone.region
        return helper_timeout + (
            self._settings.probe_timeout_floor if near_target else helper_timeout
        )

    def _choose_helpers(self, probe: _Probe) -> list[Member]:
        """Choose helpers, from a random sample of the peers.

        Alive members are preferred, then those of the target's region, then those outside the zones
        of this node and the target, which fail independently of both.
        """
        peers = self._tracker.table.peers
        sample = self._rng.sample(peers, min(HELPER_CANDIDATES, len(peers)))
        target_zone = probe.zone
        shared = {self._tracker.own_machine.zone.name, target_zone.name}

        def rank(member: Member) -> tuple[bool, bool, bool]:
            zone = member.machine.zone
            not_alive = member.state is not MemberState.ALIVE
            return (not_alive, zone.region != target_zone.region, zone.name in shared)

        candidates = [member for member in sample if member.machine.node_id != probe.target]
        return sorted(candidates, key=rank)[: self._settings.indirect_probes]

    def _handle_failed_probe(self, number: int, probe: _Probe, now: float) -> None:
        del self._probes[number]
        self._tracker.counters.probes_failed += 1
        missing = len(probe.helpers) - len(probe.nacks) if probe.helpers else 1
        if missing > len(probe.nacks):
            self._tracker.health.worsen(missing)
        member = self._tracker.table.members.get(probe.target)
        if member is not None and member.incarnation == probe.incarnation:
            self._tracker.suspect(probe.target, now, probe.nacks)
            if probe.target not in self._recheck_queue:
                self._recheck_queue.append(probe.target)
            self._next_recheck = min(self._next_recheck, now)
            self._probe_again(member, probe.attempt, now)

    def _probe_again(self, member: Member, attempt: int, now: float) -> None:
        """Probe an unconfirmed suspect again, with new helpers, up to `MAXIMUM_ATTEMPTS` times."""
        suspicion = self._tracker.suspicions.get(member.machine.node_id)
        if suspicion is None or suspicion.is_confirmed or attempt >= MAXIMUM_ATTEMPTS:
            return
        self._probe(member, now, attempt + 1)

    def _recheck(self, now: float) -> None:
        """Ping the next member that this node suspects after a failed probe.

        The ping carries the suspicion, so that the member can refute it. Members take turns until
        their suspicions end.
        """
        self._next_recheck = NEVER
        while self._recheck_queue:
            target = self._recheck_queue.popleft()
            if target not in self._tracker.suspicions:
                continue
            self._recheck_queue.append(target)
            self._next_recheck = now + self._settings.recheck_interval
            self._send(target, Ping(UNTRACKED_PROBE, self._tracker.updates_to_refute(target)))
            return

    def _poll_relay(self, number: int, relay: _Relay, now: float) -> None:
        if now >= relay.expires:
            del self._relays[number]
        elif now >= relay.nack_due:
            relay.nack_due = NEVER
            self._send(relay.requester, NegativeAcknowledge(relay.requester_probe))

    def _new_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _send(
        self,
        destination: NodeId,
        message: Ping | Acknowledge | PingRequest | NegativeAcknowledge,
    ) -> None:
        self._tracker.outbox.append(SendMessage(destination, message))
