"""Replicas held for other homes: exceptions and base revisions, by partition.

A holder keeps what the home sent until another home has replaced it, until the holder itself
becomes home, or until it is no longer a holder and the home lives.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from beamloom.model.machines import NodeId
from beamloom.protocol.flow_messages import ENDED, PartitionMark
from beamloom.routing.streams import PartitionNote


@dataclass(slots=True)
class HeldPartition:
    """Replicas of one partition.

    `records` maps flow keys to backend numbers; `base` is None until the home told it;
    `unrefreshed` holds, between BEGIN and COMPLETE, the keys that the home has not repeated;
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
        """Yield each partition with what is held of it, over a copy."""
        return iter(list(self._held.items()))

    def get(self, partition: int) -> HeldPartition | None:
        """Return what is held of a partition."""
        return self._held.get(partition)

    def take(self, partition: int) -> HeldPartition | None:
        """Remove and return what is held of a partition."""
        return self._held.pop(partition, None)

    def put(self, sender: NodeId, partition: int, key: int, backend_number: int) -> None:
        """Take one record, or the removal of one."""
        held = self._held.setdefault(partition, HeldPartition(sender))
        held.unrefreshed.discard(key)
        if backend_number == ENDED:
            held.records.pop(key, None)
        else:
            held.records[key] = backend_number

    def mark(self, sender: NodeId, partition: int, note: PartitionNote) -> None:
        """Take what a home says of a whole partition."""
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
        """Drop what two sweeps in a row have found not to be needed: lists of members lag."""
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
