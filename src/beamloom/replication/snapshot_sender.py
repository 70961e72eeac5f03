"""Sends snapshots to peers in parts, at a rate that leaves bandwidth for other traffic."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command, SendMessage
from beamloom.protocol.configuration_messages import SnapshotOffered, SnapshotPartSent
from beamloom.replication.configuration_state import ConfigurationState, snapshot_digest

PART_SIZE = 1000
PART_INTERVAL = 0.55
"""Seconds between parts: about 2 KB/s with headers, for all receivers together."""
KEPT_SNAPSHOTS = 2
REUSE_REVISIONS = 256
"""A kept snapshot is offered until it is this many revisions old."""
QUEUE_LIMIT = 16

SnapshotName = tuple[int, bytes]
"""The revision and the digest of a snapshot."""


class SnapshotSender:
    """Keeps the last snapshots built or fetched, and sends requested parts one at a time."""

    def __init__(self) -> None:
        self._snapshots: OrderedDict[SnapshotName, bytes] = OrderedDict()
        self._queue: OrderedDict[tuple[NodeId, SnapshotName, int], None] = OrderedDict()
        self._next_part_at = 0.0
        self._partial: tuple[SnapshotName, Mapping[int, bytes]] | None = None
        self.sent_parts = 0

    def offer(
        self, state: ConfigurationState, revision: int, digest: bytes, oldest_useful: int
    ) -> SnapshotOffered:
        """Return an offer of the named snapshot if this node keeps it, else of a recent one.

        The last snapshot kept is offered unless it is older than `oldest_useful`, older than a
        named one of the current revision or, without a digest, not newer than `revision`. Then a
        new one is built.
        """
        name = (revision, digest)
        if name not in self._snapshots:
            wanted = state.revision if digest and revision == state.revision else 0
            oldest = max(oldest_useful, wanted, 0 if digest else revision + 1)
            name = self._newest(state, oldest)
        part_count = -(-len(self._snapshots[name]) // PART_SIZE)
        return SnapshotOffered(name[0], name[1], part_count)

    @property
    def busy(self) -> bool:
        """Whether the queue is full, so that peers should ask other nodes."""
        return len(self._queue) >= QUEUE_LIMIT

    def keep(self, name: SnapshotName, data: bytes) -> None:
        """Keep a snapshot, so that all peers get identical bytes; the oldest one is evicted."""
        self._snapshots[name] = data
        self._snapshots.move_to_end(name)
        while len(self._snapshots) > KEPT_SNAPSHOTS:
            self._snapshots.popitem(last=False)

    def share(self, name: SnapshotName, parts: Mapping[int, bytes]) -> None:
        """Serve the parts of a snapshot that this node is still fetching."""
        self._partial = (name, parts)

    def request(
        self, sender: NodeId, name: SnapshotName, indexes: Sequence[int], now: float
    ) -> None:
        """Queue parts for a peer; parts beyond the queue limit are ignored."""
        shared = self._partial is not None and self._partial[0] == name
        if name not in self._snapshots and not shared:
            return
        if not self._queue:
            self._next_part_at = max(self._next_part_at, now)
        for index in indexes:
            if len(self._queue) < QUEUE_LIMIT:
                self._queue[sender, name, index] = None

    def poll(self, now: float) -> list[Command]:
        """Return the part that is due."""
        if not self._queue or now < self._next_part_at:
            return []
        (sender, name, index), _ = self._queue.popitem(last=False)
        self._next_part_at = now + PART_INTERVAL
        data = self._part(name, index)
        if not data:
            return []
        self.sent_parts += 1
        return [SendMessage(sender, SnapshotPartSent(name[0], name[1], index, data))]

    def next_timer(self) -> float | None:
        """Return when the next part is due."""
        return self._next_part_at if self._queue else None

    def _part(self, name: SnapshotName, index: int) -> bytes:
        if index < 0:
            return b""
        if name in self._snapshots:
            return self._snapshots[name][index * PART_SIZE : (index + 1) * PART_SIZE]
        if self._partial is not None and self._partial[0] == name:
            return self._partial[1].get(index, b"")
        return b""

    def _newest(self, state: ConfigurationState, oldest: int) -> SnapshotName:
        latest = next(reversed(self._snapshots), None)
        if latest is not None and latest[0] >= oldest:
            return latest
        data = state.encode()
        name = (state.revision, snapshot_digest(data))
        self.keep(name, data)
        return name
