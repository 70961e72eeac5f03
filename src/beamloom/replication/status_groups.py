"""Splits the fleet into about sqrt(n) groups, each with one member that aggregates for it."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections.abc import Iterable, Sequence

import xxhash

from beamloom.model.machines import Member, NodeId

HASH_BITS = 64


class StatusGroups:
    """Groups are arcs of a hash ring; the first member at or after an arc's start aggregates it.

    Nodes with different member lists may choose different aggregators: a report then goes to the
    wrong node, and its sender counts as not in force until the right one requests a report.
    """

    def __init__(self, node_id: NodeId) -> None:
        self._node_id = node_id
        self._hashes: dict[NodeId, int] = {}
        self._ring: list[tuple[int, NodeId]] = []
        self._group_bits = 0
        self.members: frozenset[NodeId] = frozenset()
        self.update(())

    def update(self, members: Sequence[Member]) -> None:
        """Update the groups from the member list; this node always counts as a member."""
        names = {item.machine.node_id for item in members if item.is_reachable} | {self._node_id}
        if names == self.members:
            return
        hashes = {name: self._hashes.get(name) or xxhash.xxh3_64_intdigest(name) for name in names}
        self._hashes = hashes
        self._ring = sorted((value, name) for name, value in hashes.items())
        self._group_bits = round(math.log2(len(names)) / 2)
        self.members = frozenset(names)

    @property
    def aggregators(self) -> list[NodeId]:
        """The aggregator of each group; one node may have several groups."""
        return [self._aggregator(group) for group in range(1 << self._group_bits)]

    @property
    def own_aggregator(self) -> NodeId:
        """The node that this node reports to."""
        return self._aggregator(self._group_of(self._hashes[self._node_id]))

    def aggregators_of(self, names: Iterable[NodeId]) -> set[NodeId]:
        """Return the aggregators of the groups of these members."""
        groups = {self._group_of(self._hashes[name]) for name in names}
        return {self._aggregator(group) for group in groups}

    def members_aggregated_here(self) -> list[NodeId]:
        """Return the members of the groups that this node aggregates."""
        groups = {group for group, name in enumerate(self.aggregators) if name == self._node_id}
        if not groups:
            return []
        return [name for value, name in self._ring if self._group_of(value) in groups]

    def _group_of(self, value: int) -> int:
        return value >> (HASH_BITS - self._group_bits) if self._group_bits else 0

    def _aggregator(self, group: int) -> NodeId:
        start = group << (HASH_BITS - self._group_bits) if self._group_bits else 0
        index = bisect_left(self._ring, (start, NodeId("")))
        return self._ring[index % len(self._ring)][1]
