"""Pushes newly applied changes to random peers at a bounded rate."""

from __future__ import annotations

from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import ReplicatedChange
from beamloom.replication.change_log import encoded_size
from beamloom.replication.peer_selection import PeerSelection
from beamloom.replication.peer_service import PeerService

GOSSIP_FANOUT = 4
BULK_FANOUT = 2
BULK_BYTES = 500
"""A larger push goes to `BULK_FANOUT` peers; anti-entropy brings it to the others."""
PUSH_INTERVAL_SECONDS = 0.05
PUSH_BYTES_PER_SECOND = 2000
MAXIMUM_PUSH_PAUSE = 2.0


class ChangePush:
    """Changes to be pushed; those applied during a pause are sent together."""

    def __init__(self, peers: PeerSelection, service: PeerService, now: float) -> None:
        self._peers = peers
        self._service = service
        self._steps: list[ReplicatedChange] = []
        self._to_every_zone = False
        self._next_push_at = now

    def add(self, step: ReplicatedChange) -> None:
        """Include a change in the next push."""
        self._steps.append(step)

    def include_every_zone(self) -> None:
        """Send the next push to at least one peer in each zone."""
        self._to_every_zone = True

    def next_timer(self) -> float | None:
        """Return when `poll` is due next."""
        return self._next_push_at if self._steps else None

    def poll(self, now: float) -> list[Command]:
        """Push the pending changes if the pause after the last push is over."""
        if not self._steps or now < self._next_push_at:
            return []
        steps, self._steps = self._steps, []
        size = sum(encoded_size(step) for step in steps)
        peers = self._peers.sample(GOSSIP_FANOUT if size <= BULK_BYTES else BULK_FANOUT)
        if self._to_every_zone:
            self._to_every_zone = False
            peers = self._peers.cover_zones(peers)
        messages = self._service.push(steps)
        pause = size * len(peers) / PUSH_BYTES_PER_SECOND
        self._next_push_at = now + max(PUSH_INTERVAL_SECONDS, min(pause, MAXIMUM_PUSH_PAUSE))
        return [SendMessage(peer, message) for peer in peers for message in messages]
