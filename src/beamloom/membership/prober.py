"""Failure detection: one member probed per interval, directly and then through helpers (SWIM)."""

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
IMPROBABLE_FUTURE = float("inf")


@dataclass(slots=True)
class _Probe:
    target: NodeId
    zone: Zone
    incarnation: int
    started: float
    direct_deadline: float
    final_deadline: float
    helpers: tuple[NodeId, ...] = ()
    refusals: set[NodeId] = field(default_factory=set)
    attempt: int = 1


@dataclass(slots=True)
class _Relay:
    asker: NodeId
    asker_probe: int
    target: NodeId
    refusal_due: float
    expires: float


class Prober:
    """Sends probes, answers those of others, and tells the tracker of failed ones."""

    def __init__(self, tracker: MemberTracker, chance: random.Random) -> None:
        self._tracker = tracker
        self._settings = tracker.settings
        self._random = chance
        self._round_trips = RoundTripEstimator(tracker.settings)
        self._ring = ProbeRing(tracker.own_machine.zone, tracker.settings, chance)
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._accused: deque[NodeId] = deque()
        self._next_recheck = IMPROBABLE_FUTURE
        self._last_number = 0
        self._next_probe = IMPROBABLE_FUTURE

    def start(self, now: float) -> None:
        """Begin probing at a random moment within one interval."""
        self._next_probe = now + self._random.random() * self._settings.probe_interval

    def stop(self) -> None:
        """Send no more probes."""
        self._next_probe = IMPROBABLE_FUTURE
        self._probes.clear()
        self._relays.clear()
        self._accused.clear()
        self._next_recheck = IMPROBABLE_FUTURE

    def abandon(self, now: float) -> None:
        """Forget probes under way, without blame: this node did not listen for the answers."""
        self._probes.clear()
        self._relays.clear()
        self._accused.clear()
        self._next_recheck = IMPROBABLE_FUTURE
        if self._next_probe < IMPROBABLE_FUTURE:
            self._next_probe = now + self._settings.probe_interval

    def poll(self, now: float) -> None:
        """Go on with probes and relays that are due, and start the next probe."""
        for number, probe in list(self._probes.items()):
            if now >= probe.direct_deadline and not probe.helpers:
                self._ask_helpers(number, probe, now)
            elif now >= probe.final_deadline:
                self._fail(number, probe, now)
        for number, relay in list(self._relays.items()):
            self._poll_relay(number, relay, now)
        if now >= self._next_recheck:
            self._recheck(now)
        if now >= self._next_probe:
            self._start_probe(now)

    def next_timer(self) -> float:
        """Return when `poll` has something to do; infinity for never."""
        due = self._next_probe
        for probe in self._probes.values():
            due = min(due, probe.final_deadline if probe.helpers else probe.direct_deadline)
        for relay in self._relays.values():
            due = min(due, relay.refusal_due, relay.expires)
        return min(due, self._next_recheck)

    def answer_ping(self, sender: NodeId, ping: Ping) -> None:
        """Acknowledge a ping; a sender that doubts this node is told its state each time."""
        updates = self._tracker.updates_for(sender)
        own_id = self._tracker.own_id
        if any(isinstance(parts, list) and parts[:1] == [own_id] for parts in ping.updates):
            updates = [self._tracker.table.update_of(own_id).encode(), *updates]
        self._send(sender, Acknowledge(ping.probe, updates))

    def answer_request(self, sender: NodeId, request: PingRequest, now: float) -> None:
        """Ping a target for another node."""
        member = self._tracker.table.members.get(NodeId(request.target))
        if member is None or not member.answers or len(self._relays) >= MAXIMUM_RELAYS:
            return
        number = self._new_number()
        target = member.machine.node_id
        refusal_due = now + self._round_trips.timeout(member.machine.zone.name)
        expires = refusal_due + self._settings.probe_timeout_maximum
        self._relays[number] = _Relay(sender, request.probe, target, refusal_due, expires)
        self._send(target, Ping(number, self._tracker.doubts_of(target)))

    def take_acknowledgement(self, sender: NodeId, message: Acknowledge, now: float) -> bool:
        """Take in an answer; return False where no probe of this node waits for it."""
        if message.probe == UNTRACKED_PROBE:
            self._tracker.clear_quiet_suspicion(sender)
            return True
        relay = self._relays.get(message.probe)
        if relay is not None and relay.target == sender:
            del self._relays[message.probe]
            self._send(relay.asker, Acknowledge(relay.asker_probe))
            return True
        probe = self._probes.get(message.probe)
        if probe is None or sender not in {probe.target, *probe.helpers}:
            return False
        del self._probes[message.probe]
        if sender == probe.target:
            self._round_trips.observe(probe.zone.name, now - probe.started)
        self._tracker.health.improve()
        self._tracker.clear_quiet_suspicion(probe.target)
        return True

    def take_refusal(self, sender: NodeId, message: NegativeAcknowledge, now: float) -> bool:
        """Note that a helper is well although the target did not answer it.

        Once all helpers have said so there is nothing more to wait for.
        """
        probe = self._probes.get(message.probe)
        if probe is None or sender not in probe.helpers:
            return False
        probe.refusals.add(sender)
        if len(probe.refusals) == len(probe.helpers):
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
        patience = self._round_trips.timeout(machine.zone.name) * self._tracker.health.factor
        number = self._new_number()
        self._probes[number] = _Probe(
            machine.node_id,
            machine.zone,
            target.incarnation,
            now,
            now + patience,
            now + max(patience, self._interval()),
            attempt=attempt,
        )
        self._tracker.counters.probes_sent += 1
        self._send(machine.node_id, Ping(number, self._tracker.updates_for(machine.node_id)))

    def _ask_helpers(self, number: int, probe: _Probe, now: float) -> None:
        helpers = self._choose_helpers(probe)
        probe.helpers = tuple(member.machine.node_id for member in helpers)
        probe.direct_deadline = IMPROBABLE_FUTURE
        patience = max((self._helper_patience(probe, member) for member in helpers), default=0.0)
        probe.final_deadline = max(probe.final_deadline, now + patience)
        self._send(probe.target, Ping(number, self._tracker.doubts_of(probe.target)))
        for helper in probe.helpers:
            self._send(helper, PingRequest(number, probe.target))

    def _helper_patience(self, probe: _Probe, helper: Member) -> float:
        """Return how long a helper may take to say that it got no answer either."""
        own_wait = self._round_trips.timeout(helper.machine.zone.name)
        near_target = helper.machine.zone.region == probe.zone.region
        return own_wait + (self._settings.probe_timeout_floor if near_target else own_wait)

    def _choose_helpers(self, probe: _Probe) -> list[Member]:
        """Draw helpers near the target, in zones of their own: they share no fate with it."""
        peers = self._tracker.table.peers
        drawn = self._random.sample(peers, min(HELPER_CANDIDATES, len(peers)))
        target_zone = probe.zone
        shared = {self._tracker.own_machine.zone.name, target_zone.name}

        def rank(member: Member) -> tuple[bool, bool, bool]:
            zone = member.machine.zone
            doubtful = member.state is not MemberState.ALIVE
            return (doubtful, zone.region != target_zone.region, zone.name in shared)

        fit = [member for member in drawn if member.machine.node_id != probe.target]
        return sorted(fit, key=rank)[: self._settings.indirect_probes]

    def _fail(self, number: int, probe: _Probe, now: float) -> None:
        del self._probes[number]
        self._tracker.counters.probes_failed += 1
        missing = len(probe.helpers) - len(probe.refusals) if probe.helpers else 1
        if missing > len(probe.refusals):
            self._tracker.health.worsen(missing)
        member = self._tracker.table.members.get(probe.target)
        if member is not None and member.incarnation == probe.incarnation:
            self._tracker.suspect(probe.target, now, probe.refusals)
            if probe.target not in self._accused:
                self._accused.append(probe.target)
            self._next_recheck = min(self._next_recheck, now)
            self._seek_witnesses(member, probe.attempt, now)

    def _seek_witnesses(self, member: Member, attempt: int, now: float) -> None:
        """Probe a suspect again through other helpers, while too few have confirmed it."""
        suspicion = self._tracker.suspicions.get(member.machine.node_id)
        if suspicion is None or suspicion.is_confirmed or attempt >= MAXIMUM_ATTEMPTS:
            return
        self._probe(member, now, attempt + 1)

    def _recheck(self, now: float) -> None:
        """Tell a member that this node suspects it, one by one, until each refutes or is dead."""
        self._next_recheck = IMPROBABLE_FUTURE
        while self._accused:
            target = self._accused.popleft()
            if target not in self._tracker.suspicions:
                continue
            self._accused.append(target)
            self._next_recheck = now + self._settings.recheck_interval
            self._send(target, Ping(UNTRACKED_PROBE, self._tracker.doubts_of(target)))
            return

    def _poll_relay(self, number: int, relay: _Relay, now: float) -> None:
        if now >= relay.expires:
            del self._relays[number]
        elif now >= relay.refusal_due:
            relay.refusal_due = IMPROBABLE_FUTURE
            self._send(relay.asker, NegativeAcknowledge(relay.asker_probe))

    def _new_number(self) -> int:
        self._last_number += 1
        return self._last_number

    def _send(
        self,
        destination: NodeId,
        message: Ping | Acknowledge | PingRequest | NegativeAcknowledge,
    ) -> None:
        self._tracker.outbox.append(SendMessage(destination, message))
