"""Replicas held for other homes: exceptions and base revisions, by partition.

A holder keeps the records until a new home has replaced them, until it owns the partition itself,
or until it is no longer a holder and the home is alive.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from beamloom.model.machines import NodeId
from beamloom.protocol.flow_messages import ENDED, PartitionMark
from beamloom.routing.streams import PartitionMarkEntry


@dataclass(slots=True)
class HeldPartition:
    """Replicas of one partition.

    `records` maps flow keys to backend numbers; `base` is None until a mark has set it;
    `unrefreshed` holds, between BEGIN and COMPLETE, the keys that the home has not resent;
    `unneeded` is set once a sweep has found that this node need not hold the partition.
    """

    home: NodeId
    base: int | None = None
    complete: bool = False
    records: dict[int, int] = field(default_factory=dict)
    unrefreshed: set[int] = field(default_factory=set)
    unneeded: bool = False


class ReplicaStore:
    """All partitions that this node holds replicas of."""

    def __init__(self) -> None:
        self._held: dict[int, HeldPartition] = {}

    def __len__(self) -> int:
        return len(self._held)

    @property
    def record_count(self) -> int:
        """How many flows are held for other homes."""
        return sum(len(held.records) for held in self._held.values())

    def items(self) -> Iterator[tuple[int, HeldPartition]]:
        """Yield each partition and its replicas; the store may change meanwhile."""
        return iter(list(self._held.items()))

    def get(self, partition: int) -> HeldPartition | None:
        """Return the replicas of a partition."""
        return self._held.get(partition)

    def take(self, partition: int) -> HeldPartition | None:
        """Remove and return the replicas of a partition."""
        return self._held.pop(partition, None)

    def put(self, sender: NodeId, partition: int, key: int, backend_number: int) -> None:
        """Store one record, or remove it if its backend number is ENDED."""
        held = self._held.setdefault(partition, HeldPartition(sender))
        held.unrefreshed.discard(key)
        if backend_number == ENDED:
            held.records.pop(key, None)
        else:
            held.records[key] = backend_number

    def apply_note(self, sender: NodeId, partition: int, note: PartitionMarkEntry) -> None:
        """Apply a mark that concerns a whole partition."""
        held = self._held.setdefault(partition, HeldPartition(sender))
        if note.mark is PartitionMark.BEGIN:
            held.home = sender
            held.complete = False
            held.unrefreshed = set(held.records)
            held.base = note.base if held.base is None else held.base
        elif note.mark is PartitionMark.PUSHED:
            held.base = note.base if held.base is None else held.base
        elif held.home == sender:
            self._complete(held, note.base)

    def sweep(self, is_needed: Callable[[int, HeldPartition], bool]) -> None:
        """Drop partitions that two sweeps in a row found unneeded, as member lists may lag."""
        for partition, held in self.items():
            if is_needed(partition, held):
                held.unneeded = False
            elif held.unneeded:
                del self._held[partition]
            else:
                held.unneeded = True

    @staticmethod
    def _complete(held: HeldPartition, base: int) -> None:
        for key in held.unrefreshed:
            held.records.pop(key, None)
        held.unrefreshed = set()
        held.base = base
        held.complete = True
