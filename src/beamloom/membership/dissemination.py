"""Gossip queue: each update is sent lambda * log(n) times, the least sent first (SWIM, 4.1)."""

from __future__ import annotations

import math
from dataclasses import dataclass

from beamloom.protocol.membership_messages import MAXIMUM_UPDATES, MemberUpdate, WireUpdate
from beamloom.world.machines import Machine, NodeId

MACHINE_BYTES = 20
IPV4_BYTES = 5
IPV6_BYTES = 17
UPDATE_OVERHEAD_BYTES = 8


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    size: int
    sent: int = 0


def update_size(update: MemberUpdate) -> int:
    """Return an upper estimate of an update's encoded size in bytes."""
    size = len(update.node_id) + UPDATE_OVERHEAD_BYTES
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

    def __init__(self, multiplier: float, byte_limit: int) -> None:
        self._multiplier = multiplier
        self._byte_limit = byte_limit
        self._queue: dict[NodeId, _QueuedUpdate] = {}

    def __len__(self) -> int:
        """Return how many updates wait."""
        return len(self._queue)

    def add(self, update: MemberUpdate) -> None:
        """Queue an update, with its transmissions still to come."""
        self._queue[update.node_id] = _QueuedUpdate(update, update_size(update))

    def take(self, members: int) -> list[WireUpdate]:
        """Return the updates for one datagram and count them as sent."""
        if not self._queue:
            return []
        limit = max(1, math.ceil(self._multiplier * math.log10(members + 1)))
        room = self._byte_limit
        chosen: list[WireUpdate] = []
        for entry in sorted(self._queue.values(), key=lambda entry: entry.sent):
            if entry.size > room or len(chosen) >= MAXIMUM_UPDATES // 2:
                break
            room -= entry.size
            chosen.append(entry.update.encode())
            entry.sent += 1
            if entry.sent >= limit:
                del self._queue[entry.update.node_id]
        return chosen
