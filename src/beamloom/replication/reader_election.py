"""Elects the nodes that read the store, without a controller.

Nodes with the same members order the candidates of each lease alike (`reader_candidates`), and only
candidates acquire it.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from beamloom.model.machines import Member, MemberState, NodeId
from beamloom.protocol.commands import Command
from beamloom.protocol.events import Event
from beamloom.protocol.messages import Message
from beamloom.replication.configuration_replica import ConfigurationReplica
from beamloom.replication.reader_candidates import candidate_rank
from beamloom.replication.reader_lease import HOLDING, LAPSED, LeaseSnapshot, ReaderLease
from beamloom.replication.store_watch import StoreWatch


@dataclass(frozen=True, slots=True)
class ElectionSnapshot:
    """Whether this node is a reader, and the state of each lease."""

    is_reader: bool
    leases: tuple[LeaseSnapshot, ...]
    watch_failures: int
    listings: int


class ReaderElection:
    """Holds at most one reader lease, and watches the store while it does."""

    def __init__(
        self,
        node_id: NodeId,
        replica: ConfigurationReplica,
        rng: random.Random,
        request_ids: Iterator[int],
        *,
        reader_count: int = 3,
        lease_duration: float = 10.0,
    ) -> None:
        self._node_id = node_id
        self._replica = replica
        self._leases = [
            ReaderLease(number, node_id, lease_duration, rng, request_ids)
            for number in range(reader_count)
        ]
        self._watch = StoreWatch(replica, rng, request_ids)
        self._leaving = False

    @property
    def is_reader(self) -> bool:
        """Whether this node acts as a reader."""
        return self._watch.active

    def update_members(self, members: Sequence[Member], now: float) -> list[Command]:
        """Update the candidate ranks; a leaving node releases its lease."""
        own = [item.state for item in members if item.machine.node_id == self._node_id]
        self._leaving = any(state >= MemberState.LEAVING for state in own)
        for lease in self._leases:
            lease.rank = candidate_rank(lease.number, self._node_id, members)
        return self._release(now) if self._leaving else []

    def handle(self, event: Event, now: float) -> list[Command]:
        """Handle an answer of the store, after checking the lease for expiry."""
        commands = self._check_expiry(now)
        for lease in self._leases:
            commands += lease.handle(event, now)
        commands += self._watch.handle(event, now)
        return commands + self._follow_leases()

    def handle_message(self, sender: NodeId, message: Message, now: float) -> list[Command]:
        """Check the lease for expiry; the election itself uses no messages between nodes."""
        return self._check_expiry(now)

    def poll(self, now: float) -> list[Command]:
        """Run whatever is due, after checking the lease for expiry."""
        commands = self._check_expiry(now)
        busy = [lease for lease in self._leases if lease.state not in {"candidate", LAPSED}]
        for lease in self._leases:
            may_acquire = not self._leaving and not [item for item in busy if item is not lease]
            commands += lease.poll(now, may_acquire)
            if lease.state not in {"candidate", LAPSED} and lease not in busy:
                busy.append(lease)
        commands += self._watch.poll(now)
        return commands + self._follow_leases()

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        busy = [lease for lease in self._leases if lease.state not in {"candidate", LAPSED}]
        idle = [] if self._leaving else self._leases
        timers = [lease.next_timer() for lease in busy or idle]
        timers.append(self._watch.next_timer())
        return min((timer for timer in timers if timer is not None), default=None)

    def snapshot(self) -> ElectionSnapshot:
        """Return the state for status and explanations."""
        leases = tuple(lease.snapshot() for lease in self._leases)
        return ElectionSnapshot(self.is_reader, leases, self._watch.failures, self._watch.listings)

    def _check_expiry(self, now: float) -> list[Command]:
        for lease in self._leases:
            lease.check_expiry(now)
        return self._follow_leases()

    def _follow_leases(self) -> list[Command]:
        """Start or stop the watch to match the leases."""
        held = [lease for lease in self._leases if lease.state == HOLDING]
        if held and not self._watch.active:
            lease = held[0]
            self._replica.directory.record(lease.number, self._node_id, lease.acquired_revision)
            return self._watch.start(lease.number)
        if not held and self._watch.active:
            return self._watch.stop()
        return []

    def _release(self, now: float) -> list[Command]:
        commands: list[Command] = []
        for lease in self._leases:
            commands += lease.release(now)
        return commands + self._follow_leases()
