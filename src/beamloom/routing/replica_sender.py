"""Replication of exceptions from a home to the replica holders of its partitions.

Exceptions older than `EXCEPTION_AGE_SECONDS` are sent to both holders of their partition, in
batches about every `FLUSH_SECONDS`; when a replicated exception ends, a removal is sent. A new
holder of a partition is sent all its exceptions, between BEGIN and COMPLETE.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from beamloom.model.machines import NodeId
from beamloom.protocol.commands import Command
from beamloom.protocol.flow_messages import ENDED, PartitionMark, ReplicaRecords
from beamloom.routing.flow_table import FlowFlag
from beamloom.routing.hashing import partition_of
from beamloom.routing.home import Home
from beamloom.routing.ownership import Ownership
from beamloom.routing.streams import PartitionMarkEntry, StreamSet

EXCEPTION_AGE_SECONDS = 1.5
FLUSH_SECONDS = 0.5
MAXIMUM_BATCHES_IN_FLIGHT = 4
HOLDERS_PER_PARTITION = 2


class ReplicaSender:
    """Keeps the holders of this node's partitions up to date."""

    def __init__(self, ownership: Ownership, home: Home) -> None:
        self.streams = StreamSet(ReplicaRecords, MAXIMUM_BATCHES_IN_FLIGHT)
        self._ownership = ownership
        self._home = home
        self._holders: dict[int, tuple[NodeId, ...]] = {}
        self._new_exceptions: deque[tuple[float, int]] = deque()
        self._flush_due = 0.0

    def holders(self, partition: int) -> tuple[NodeId, ...]:
        """Return the live nodes that are to hold the replicas of an owned partition."""
        placed = self._ownership.map.holders(partition)
        nodes = (placed.home, placed.first_replica, placed.second_replica)
        others = [node for node in nodes if node is not None and node != self._ownership.node_id]
        return tuple(
            node for node in others[:HOLDERS_PER_PARTITION] if self._ownership.is_reachable(node)
        )

    def members_changed(self) -> None:
        """Send each owned partition in full to its new holders."""
        for peer in {peer for holders in self._holders.values() for peer in holders}:
            if not self._ownership.is_reachable(peer):
                self.streams.forget(peer)
        owned = self._ownership.owned
        self._holders = {key: value for key, value in self._holders.items() if key in owned}
        for partition in owned:
            self.synchronize(partition)

    def synchronize(self, partition: int, resend_all: bool = False) -> None:
        """Send a partition in full to its new holders, or to all of them with `resend_all`."""
        holders = self.holders(partition)
        before = () if resend_all else self._holders.get(partition, ())
        self._holders[partition] = holders
        new = [holder for holder in holders if holder not in before]
        if not new:
            return
        base = self._ownership.owned[partition].base
        records = self._home.records_of(partition)
        for holder in new:
            stream = self.streams.stream(holder)
            stream.openings[partition] = PartitionMarkEntry(PartitionMark.BEGIN, base)
            stream.records.update(records)
            stream.closings[partition] = PartitionMarkEntry(PartitionMark.COMPLETE, base)
        self._mark_replicated(records)

    def base_advanced(self, partition: int, dropped: Iterable[int]) -> None:
        """Resend a partition after its base advanced, without queued records of `dropped` keys."""
        for holder in self._holders.get(partition, ()):
            waiting = self.streams.stream(holder).records
            for key in dropped:
                waiting.pop(key, None)
        self.synchronize(partition, resend_all=True)

    def _mark_replicated(self, keys: Iterable[int]) -> None:
        table = self._home.table
        for key in keys:
            table.flags[table.rows[key]] |= FlowFlag.REPLICATED

    def exception_added(self, key: int, backend_number: int, now: float) -> None:
        """Queue a new exception until it is old enough to be replicated."""
        self._new_exceptions.append((now + EXCEPTION_AGE_SECONDS, key))

    def exception_removed(self, key: int, replicated: bool) -> None:
        """Queue the removal of an exception if it was replicated."""
        if replicated:
            for holder in self._holders.get(partition_of(key), ()):
                self.streams.put(holder, key, ENDED)

    def poll(self, now: float) -> list[Command]:
        """Replicate exceptions that are old enough and send due batches."""
        while self._new_exceptions and self._new_exceptions[0][0] <= now:
            self._replicate(self._new_exceptions.popleft()[1])
        if self._flush_due > now:
            return []
        self._flush_due = now + FLUSH_SECONDS
        return self.streams.flush(now)

    def _replicate(self, key: int) -> None:
        partition = partition_of(key)
        if partition not in self._ownership.owned:
            return
        if key not in self._home.exceptions.get(partition, {}):
            return
        row = self._home.table.rows[key]
        for holder in self._holders.get(partition, ()):
            self.streams.put(holder, key, self._home.table.backend[row])
        self._mark_replicated((key,))

    def acknowledged(self, peer: NodeId, number: int, now: float) -> list[Command]:
        """Handle an acknowledgement and send queued batches at once."""
        self.streams.acknowledge(peer, number)
        return self.streams.flush(now)
