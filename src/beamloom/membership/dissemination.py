"""Gossip queue: each update is sent lambda * log(n) times, the least sent first (SWIM, 4.1).

A token bucket bounds the bytes of updates, so that many deaths at once cost time and not budget.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from itertools import islice

from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import Machine, MemberState, NodeId
from beamloom.protocol.membership_messages import MAXIMUM_UPDATES, MemberUpdate, WireUpdate

MACHINE_BYTES = 20
IPV4_BYTES = 5
IPV6_BYTES = 17
UPDATE_OVERHEAD_BYTES = 5
LONG_QUEUE = 12
"""Updates from which on suspicions wait behind all else."""


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    size: int
    sent: int = 0


def update_size(update: MemberUpdate) -> int:
    """Return an upper estimate of an update's encoded size in bytes."""
    size = len(update.node_id) + UPDATE_OVERHEAD_BYTES
    size += (update.incarnation.bit_length() + 7) // 8
    if update.accuser is not None:
        size += len(update.accuser) + 2
    if update.machine is not None:
        size += _machine_size(update.machine)
    return size


def _machine_size(machine: Machine) -> int:
    addresses = (machine.data_address, machine.peer_address, machine.control_address)
    hosts = {address.host for address in addresses}
    host_bytes = sum(IPV6_BYTES if ":" in host else IPV4_BYTES for host in hosts)
    names = len(machine.zone.name) + len(machine.zone.region)
    return MACHINE_BYTES + names + host_bytes


class UpdateQueue:
    """Updates that are still to be passed on; a newer one of the same member replaces it."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._multiplier = settings.transmission_multiplier
        self._byte_limit = settings.update_bytes
        self._rate = settings.update_bytes_per_second
        self._burst = settings.update_burst_bytes
        self._tokens = self._burst
        self._filled_at: float | None = None
        self._queue: dict[NodeId, _QueuedUpdate] = {}

    def __len__(self) -> int:
        """Return how many updates wait."""
        return len(self._queue)

    @property
    def is_long(self) -> bool:
        """Whether so many updates wait that each is worth less repetition."""
        return len(self._queue) > LONG_QUEUE

    @property
    def fills_datagram(self) -> bool:
        """Whether the rate allows a datagram of updates alone, full or with all that wait."""
        waiting = sum(entry.size for entry in islice(self._queue.values(), LONG_QUEUE))
        return waiting > 0 and self._tokens >= min(waiting, self._byte_limit)

    def refill(self, now: float) -> None:
        """Let the byte allowance grow with time."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, with its transmissions still to come."""
        self._queue[update.node_id] = _QueuedUpdate(update, update_size(update))

    def _rank(self, entry: _QueuedUpdate) -> tuple[bool, int]:
        # A death must reach everybody; a suspicion matters to the suspect, who is told directly.
        return (self.is_long and entry.update.state is MemberState.SUSPECT, entry.sent)

    def take(self, members: int) -> list[WireUpdate]:
        """Return the updates for one datagram and count them as sent."""
        if not self._queue:
            return []
        limit = max(1, math.ceil(self._multiplier * math.log10(members + 1)))
        room = min(float(self._byte_limit), self._tokens)
        chosen: list[WireUpdate] = []
        for entry in sorted(self._queue.values(), key=self._rank):
            if entry.size > room or len(chosen) >= MAXIMUM_UPDATES // 2:
                break
            room -= entry.size
            self._tokens -= entry.size
            chosen.append(entry.update.encode())
            entry.sent += 1
            if entry.sent >= limit:
                del self._queue[entry.update.node_id]
        return chosen
