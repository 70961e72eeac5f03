"""What this node newly applied and passes on to random peers, at a bounded rate."""

from __future__ import annotations

from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import ReplicatedChange
from beamloom.replication.change_log import encoded_size
from beamloom.replication.peer_selection import PeerSelection
from beamloom.replication.peer_service import PeerService

GOSSIP_FANOUT = 4
BULK_FANOUT = 2
BULK_BYTES = 500
"""Above this size a push goes to fewer peers, and anti-entropy does the rest."""
PUSH_INTERVAL = 0.05
PUSH_BYTES_PER_SECOND = 2000
MAXIMUM_PUSH_PAUSE = 2.0


class ChangePush:
    """Steps that wait to be pushed; those that gather during a pause go together."""

    def __init__(self, peers: PeerSelection, service: PeerService, now: float) -> None:
        self._peers = peers
        self._service = service
        self._steps: list[ReplicatedChange] = []
        self._to_every_zone = False
        self._due = now

    def add(self, step: ReplicatedChange) -> None:
        """Pass a step on with the next push."""
        self._steps.append(step)

    def include_every_zone(self) -> None:
        """Send the next push to at least one peer in each zone."""
        self._to_every_zone = True

    def next_timer(self) -> float | None:
        """Return when `poll` has something to do."""
        return self._due if self._steps else None

    def poll(self, now: float) -> list[Command]:
        """Push what waits, if the pause after the last push is over."""
        if not self._steps or now < self._due:
            return []
        steps, self._steps = self._steps, []
        size = sum(encoded_size(step) for step in steps)
        peers = self._peers.some(GOSSIP_FANOUT if size <= BULK_BYTES else BULK_FANOUT)
        if self._to_every_zone:
            self._to_every_zone = False
            peers = self._peers.with_every_zone(peers)
        messages = self._service.push(steps)
        pause = size * len(peers) / PUSH_BYTES_PER_SECOND
        self._due = now + max(PUSH_INTERVAL, min(pause, MAXIMUM_PUSH_PAUSE))
        return [SendMessage(peer, message) for peer in peers for message in messages]
