"""Partitions: which node is the home of a flow and which nodes hold its replicas.

Rendezvous hashing over the members that may be home. The overall second is the first replica, so
that after a crash the next home is the node that holds the replicas already; the second replica
is the best node of another zone than the home's, so that a zone's loss leaves one copy.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt

from beamloom.routing.hashing import PARTITION_COUNT, name_seed, rendezvous_scores
from beamloom.world.machines import Machine, NodeId

NO_NODE = -1
_Indices = npt.NDArray[np.int32]


@dataclass(frozen=True, slots=True)
class PartitionHolders:
    """The home and the replica holders of one partition; None where the fleet is too small."""

    home: NodeId | None
    first_replica: NodeId | None
    second_replica: NodeId | None


class PartitionMap:
    """Home and replicas of all partitions over one set of machines; never changed once built."""

    def __init__(self, machines: Sequence[Machine]) -> None:
        self.machines = tuple(sorted(machines, key=lambda machine: machine.node_id))
        self._node_ids: tuple[NodeId, ...] = tuple(item.node_id for item in self.machines)
        self.homes = _no_nodes()
        self.first_replicas = _no_nodes()
        self.second_replicas = _no_nodes()
        if self.machines:
            self._fill()

    def _fill(self) -> None:
        scores = np.stack(
            [rendezvous_scores(PARTITION_COUNT, name_seed(node_id)) for node_id in self._node_ids]
        )
        self.homes = scores.argmax(axis=0).astype(np.int32)
        columns = np.arange(PARTITION_COUNT)
        scores[self.homes, columns] = 0
        if len(self.machines) > 1:
            self.first_replicas = scores.argmax(axis=0).astype(np.int32)
            scores[self.first_replicas, columns] = 0
        if len(self.machines) > 2:
            self.second_replicas = self._best_elsewhere(scores)

    def _best_elsewhere(self, scores: npt.NDArray[np.uint64]) -> _Indices:
        """Pick the best remaining node outside the home's zone, or the best of all."""
        zone_names = sorted({machine.zone.name for machine in self.machines})
        zones = np.array([zone_names.index(machine.zone.name) for machine in self.machines])
        same_zone = zones[:, None] == zones[self.homes][None, :]
        elsewhere = np.where(same_zone, np.uint64(0), scores)
        best = elsewhere.argmax(axis=0).astype(np.int32)
        none_elsewhere = elsewhere.max(axis=0) == 0
        chosen: _Indices = np.where(none_elsewhere, scores.argmax(axis=0), best).astype(np.int32)
        return chosen

    def _node(self, index: int) -> NodeId | None:
        return None if index == NO_NODE else self._node_ids[index]

    def holders(self, partition: int) -> PartitionHolders:
        """Return the home and the replica holders of one partition."""
        return PartitionHolders(
            self._node(int(self.homes[partition])),
            self._node(int(self.first_replicas[partition])),
            self._node(int(self.second_replicas[partition])),
        )

    def home(self, partition: int) -> NodeId | None:
        """Return the home of one partition, or None when no node may be home."""
        return self._node(int(self.homes[partition]))

    def homes_by_partition(self) -> list[NodeId | None]:
        """Return the home of every partition, in order: the form the hot path reads."""
        names: list[NodeId | None] = [*self._node_ids, None]
        return [names[index] for index in self.homes.tolist()]


def _no_nodes() -> _Indices:
    return np.full(PARTITION_COUNT, NO_NODE, dtype=np.int32)
