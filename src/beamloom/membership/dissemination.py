"""Gossip queue: each update is sent lambda * log(n) times, the least sent first (SWIM, 4.1).

A token bucket limits the rate of update bytes: many simultaneous deaths take longer to gossip
instead of exceeding the traffic budget.
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
"""Queue length above which suspicions are sent after all other updates."""


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
    """Updates still to be gossiped, one for each member: a new one replaces the old."""

    def __init__(self, settings: MembershipSettings) -> None:
        self._multiplier = settings.transmission_multiplier
        self._byte_limit = settings.update_bytes
        self._rate = settings.update_bytes_per_second
        self._burst = settings.update_burst_bytes
        self._tokens = self._burst
        self._filled_at: float | None = None
        self._queue: dict[NodeId, _QueuedUpdate] = {}

    def __len__(self) -> int:
        """Return the number of queued updates."""
        return len(self._queue)

    @property
    def is_long(self) -> bool:
        """Whether suspicions are sent last, and their confirmations are not gossiped."""
        return len(self._queue) > LONG_QUEUE

    @property
    def datagram_ready(self) -> bool:
        """Whether the byte allowance covers a full datagram, or the first `LONG_QUEUE` updates."""
        queued = sum(entry.size for entry in islice(self._queue.values(), LONG_QUEUE))
        return queued > 0 and self._tokens >= min(queued, self._byte_limit)

    def refill(self, now: float) -> None:
        """Add the byte allowance gained since the last call, up to the burst size."""
        if self._filled_at is not None:
            gained = (now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now

    def add(self, update: MemberUpdate) -> None:
        """Queue an update with no transmissions counted yet."""
        self._queue[update.node_id] = _QueuedUpdate(update, update_size(update))

    def _rank(self, entry: _QueuedUpdate) -> tuple[bool, int]:
        # Every node must learn of a death. Suspicions can wait: suspects are pinged directly.
        return (self.is_long and entry.update.state is MemberState.SUSPECT, entry.sent)

    def take(self, members: int) -> list[WireUpdate]:
        """Return the updates for one datagram, in a fleet of `members`, and count them as sent."""
        if not self._queue:
            return []
        limit = max(1, math.ceil(self._multiplier * math.log10(members + 1)))
        remaining = min(float(self._byte_limit), self._tokens)
        chosen: list[WireUpdate] = []
        for entry in sorted(self._queue.values(), key=self._rank):
            if entry.size > remaining or len(chosen) >= MAXIMUM_UPDATES // 2:
                break
            remaining -= entry.size
            self._tokens -= entry.size
            chosen.append(entry.update.encode())
            entry.sent += 1
            if entry.sent >= limit:
                del self._queue[entry.update.node_id]
        return chosen
