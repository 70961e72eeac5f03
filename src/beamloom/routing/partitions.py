"""Partitions: which node is the home of a flow and which nodes hold its replicas.

Rendezvous hashing ranks the members that may be home. The node ranked second is the first replica,
so that after a crash the next home already holds the replicas. The second replica is the best
remaining node outside the home's zone, so that one copy survives the loss of a zone.

A map built from a previous one recomputes only the partitions that a change can affect: about
`3 * PARTITION_COUNT / nodes` for each node that joined or left.
"""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from functools import cached_property

import numpy as np
import numpy.typing as npt

from beamloom.model.machines import Machine, NodeId
from beamloom.routing.hashing import (
    PARTITION_COUNT,
    Scores,
    name_seed,
    rendezvous_matrix,
    rendezvous_scores,
)

NO_NODE = -1
PARTITIONS_PER_CHUNK = 1024
_Indices = npt.NDArray[np.int32]


@dataclass(frozen=True, slots=True)
class PartitionHolders:
    """The home and the replica holders of one partition; None where the fleet is too small."""

    home: NodeId | None
    first_replica: NodeId | None
    second_replica: NodeId | None

    @property
    def replicas(self) -> tuple[NodeId, ...]:
        """The replica holders in order, without those that the fleet is too small for."""
        pair = (self.first_replica, self.second_replica)
        return tuple(node_id for node_id in pair if node_id is not None)


class PartitionMap:
    """Home and replicas of all partitions over one set of machines; immutable once built.

    `previous` saves work if the machines are nearly the same; it does not affect the result.
    """

    def __init__(self, machines: Sequence[Machine], previous: PartitionMap | None = None) -> None:
        self.machines = tuple(sorted(machines, key=lambda machine: machine.node_id))
        self._node_ids: tuple[NodeId, ...] = tuple(item.node_id for item in self.machines)
        self._seeds = np.array([name_seed(node_id) for node_id in self._node_ids], dtype=np.uint64)
        zone_names = {machine.zone.name for machine in self.machines}
        zone_numbers = {name: number for number, name in enumerate(sorted(zone_names))}
        self._zones = np.array([zone_numbers[machine.zone.name] for machine in self.machines])
        self.homes = _no_nodes()
        self.first_replicas = _no_nodes()
        self.second_replicas = _no_nodes()
        if self.machines:
            self._fill(self._copy_unchanged(previous))

    def _copy_unchanged(self, previous: PartitionMap | None) -> _Indices:
        """Copy `previous` where it can be reused and return the partitions to compute."""
        everything = np.arange(PARTITION_COUNT, dtype=np.int32)
        if previous is None or len(previous.machines) < 3 or len(self.machines) < 3:
            return everything
        old = {machine.node_id: machine for machine in previous.machines}
        positions = {node_id: index for index, node_id in enumerate(self._node_ids)}
        if any(item.zone != old.get(item.node_id, item).zone for item in self.machines):
            return everything
        joined = [node_id for node_id in self._node_ids if node_id not in old]
        renumbered = np.array([positions.get(node_id, NO_NODE) for node_id in previous._node_ids])
        columns = [previous.homes, previous.first_replicas, previous.second_replicas]
        self.homes, self.first_replicas, self.second_replicas = (
            renumbered[column].astype(np.int32) for column in columns
        )
        affected = (self.homes < 0) | (self.first_replicas < 0) | (self.second_replicas < 0)
        if joined:
            affected |= self._zones[self.homes] == self._zones[self.second_replicas]
            lowest = previous._lowest_scores()
            for node_id in joined:
                affected |= rendezvous_scores(PARTITION_COUNT, name_seed(node_id)) > lowest
        return np.flatnonzero(affected).astype(np.int32)

    def _lowest_scores(self) -> Scores:
        """Return the lowest score among the three holders of each partition."""
        partitions = np.arange(PARTITION_COUNT)
        columns = (self.homes, self.first_replicas, self.second_replicas)
        scores = [rendezvous_matrix(partitions, self._seeds[column]) for column in columns]
        lowest: Scores = np.minimum(np.minimum(scores[0], scores[1]), scores[2])
        return lowest

    def _fill(self, partitions: _Indices) -> None:
        for start in range(0, len(partitions), PARTITIONS_PER_CHUNK):
            self._fill_chunk(partitions[start : start + PARTITIONS_PER_CHUNK])

    def _fill_chunk(self, partitions: _Indices) -> None:
        scores = rendezvous_matrix(partitions[None, :], self._seeds[:, None])
        columns = np.arange(len(partitions))
        homes = scores.argmax(axis=0)
        self.homes[partitions] = homes
        scores[homes, columns] = 0
        if len(self.machines) > 1:
            first = scores.argmax(axis=0)
            self.first_replicas[partitions] = first
            scores[first, columns] = 0
        if len(self.machines) > 2:
            self.second_replicas[partitions] = self._best_elsewhere(scores, homes)

    def _best_elsewhere(self, scores: Scores, homes: npt.NDArray[np.intp]) -> _Indices:
        """Pick the best remaining node outside the home's zone, or the best of all."""
        same_zone = self._zones[:, None] == self._zones[homes][None, :]
        elsewhere = np.where(same_zone, np.uint64(0), scores)
        best = elsewhere.argmax(axis=0).astype(np.int32)
        none_elsewhere = elsewhere.max(axis=0) == 0
        chosen: _Indices = np.where(none_elsewhere, scores.argmax(axis=0), best).astype(np.int32)
        return chosen

    def _node(self, index: int) -> NodeId | None:
        return None if index == NO_NODE else self._node_ids[index]

    @cached_property
    def _columns(self) -> tuple[list[int], list[int], list[int]]:
        """The three arrays as lists, which are faster to read one by one."""
        return self.homes.tolist(), self.first_replicas.tolist(), self.second_replicas.tolist()

    def holders(self, partition: int) -> PartitionHolders:
        """Return the home and the replica holders of one partition."""
        homes, first, second = self._columns
        return PartitionHolders(
            self._node(homes[partition]),
            self._node(first[partition]),
            self._node(second[partition]),
        )

    def home(self, partition: int) -> NodeId | None:
        """Return the home of one partition, or None when no node may be home."""
        return self._node(int(self.homes[partition]))

    def best_except(self, partition: int, excluded: Collection[NodeId]) -> NodeId | None:
        """Return the first node in a partition's order that is not excluded."""
        if not self.machines:
            return None
        scores = rendezvous_matrix(np.array([partition]), self._seeds)
        order = np.argsort(scores)[::-1].tolist()
        names = (self._node_ids[index] for index in order)
        return next((name for name in names if name not in excluded), None)

    def homes_by_partition(self) -> list[NodeId | None]:
        """Return the home of every partition, in order: the form the hot path reads."""
        names: list[NodeId | None] = [*self._node_ids, None]
        return [names[index] for index in self.homes.tolist()]


def _no_nodes() -> _Indices:
    return np.full(PARTITION_COUNT, NO_NODE, dtype=np.int32)
