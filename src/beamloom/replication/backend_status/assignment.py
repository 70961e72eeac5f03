"""Assigns two watchers to each backend by rendezvous hashing (Thaler and Ravishankar, 1998).

The candidates are the members that may be home. The first watcher is the candidate with the highest
score. The second is the one with the highest score in another zone, or in the same zone if all
candidates are in it. The result depends only on members and backends, so nodes with the same view
agree. When few members change, only the affected backends are recomputed.
"""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np
import numpy.typing as npt
import xxhash

from beamloom.model.machines import Member, NodeId

HashArray = npt.NDArray[np.uint64]
ROWS_PER_BATCH = 64
MAXIMUM_INCREMENTAL_CHANGES = 8
NO_NODE = np.uint64(0)
_FIRST_MULTIPLIER = np.uint64(0xBF58476D1CE4E5B9)
_SECOND_MULTIPLIER = np.uint64(0x94D049BB133111EB)


def _rendezvous_scores(backend_hashes: HashArray, node_hashes: HashArray) -> HashArray:
    """Return the score of each pair: the splitmix64 finalizer of the xor of both hashes."""
    mixed = backend_hashes[:, None] ^ node_hashes[None, :]
    mixed = (mixed ^ (mixed >> np.uint64(30))) * _FIRST_MULTIPLIER
    mixed = (mixed ^ (mixed >> np.uint64(27))) * _SECOND_MULTIPLIER
    result: HashArray = mixed ^ (mixed >> np.uint64(31))
    return result


class WatcherAssignment:
    """The two watchers of each backend, kept up to date with members and backends."""

    def __init__(self) -> None:
        self._nodes: dict[int, NodeId] = {}
        self._zones: dict[int, str] = {}
        self._backend_numbers: list[int] = []
        self._rows: dict[int, int] = {}
        self._node_hashes: HashArray = np.empty(0, np.uint64)
        self._zone_numbers = np.empty(0, np.int64)
        self._reset_rows([])

    def update_members(self, members: Iterable[Member]) -> bool:
        """Update the candidates; return whether they or their zones changed."""
        zones: dict[int, str] = {}
        nodes: dict[int, NodeId] = {}
        for member in members:
            if member.may_be_home:
                node_hash = xxhash.xxh3_64_intdigest(member.machine.node_id)
                zones[node_hash] = member.machine.zone.name
                nodes[node_hash] = member.machine.node_id
        if zones == self._zones:
            return False
        changed = self._changed_nodes(zones)
        removed = [node for node in changed if node in self._zones]
        added = [node for node in changed if node in zones]
        self._nodes, self._zones = nodes, zones
        self._node_hashes = np.array(list(zones), np.uint64)
        zone_numbers = {name: index for index, name in enumerate(sorted(set(zones.values())))}
        self._zone_numbers = np.array([zone_numbers[zone] for zone in zones.values()], np.int64)
        if len(changed) > MAXIMUM_INCREMENTAL_CHANGES:
            self._compute(np.arange(len(self._backend_numbers)))
        else:
            self._compute(self._affected_rows(added, removed))
        return True

    def update_backends(self, backend_numbers: Iterable[int]) -> None:
        """Replace the set of backends in force."""
        numbers = sorted(backend_numbers)
        if numbers != self._backend_numbers:
            self._reset_rows(numbers)
            self._compute(np.arange(len(numbers)))

    def watchers(self, backend_number: int) -> tuple[NodeId, ...]:
        """Return the first and second watcher of a backend; fewer if there are fewer candidates."""
        row = self._rows[backend_number]
        hashes = (int(self._first[row]), int(self._second[row]))
        return tuple(self._nodes[item] for item in hashes if item in self._nodes)

    def watched_by(self, node_id: NodeId) -> list[int]:
        """Return the numbers of the backends that a node watches."""
        own = np.uint64(xxhash.xxh3_64_intdigest(node_id))
        if int(own) not in self._nodes:
            return []
        rows = np.flatnonzero((self._first == own) | (self._second == own))
        return [self._backend_numbers[row] for row in rows]

    def _changed_nodes(self, zones: dict[int, str]) -> list[int]:
        known = self._zones
        return [node for node in {**known, **zones} if known.get(node) != zones.get(node)]

    def _reset_rows(self, numbers: list[int]) -> None:
        self._backend_numbers = numbers
        self._rows = {number: row for row, number in enumerate(numbers)}
        hashes = [xxhash.xxh3_64_intdigest(number.to_bytes(8, "big")) for number in numbers]
        self._backend_hashes: HashArray = np.array(hashes, np.uint64)
        self._first: HashArray = np.zeros(len(numbers), np.uint64)
        self._second: HashArray = np.zeros(len(numbers), np.uint64)
        self._threshold: HashArray = np.zeros(len(numbers), np.uint64)

    def _affected_rows(self, added: list[int], removed: list[int]) -> npt.NDArray[np.int64]:
        concerned = np.zeros(len(self._backend_numbers), bool)
        for node in removed:
            node_hash = np.uint64(node)
            concerned |= (self._first == node_hash) | (self._second == node_hash)
        if added:
            scores = _rendezvous_scores(self._backend_hashes, np.array(added, np.uint64))
            concerned |= (scores >= self._threshold[:, None]).any(axis=1)
        return np.flatnonzero(concerned)

    def _compute(self, rows: npt.NDArray[np.int64]) -> None:
        for start in range(0, len(rows), ROWS_PER_BATCH):
            self._compute_rows(rows[start : start + ROWS_PER_BATCH])

    def _compute_rows(self, rows: npt.NDArray[np.int64]) -> None:
        """Compute both watchers, and the score below which a new candidate cannot replace one."""
        self._first[rows] = self._second[rows] = self._threshold[rows] = NO_NODE
        if not len(self._node_hashes):
            return
        scores = _rendezvous_scores(self._backend_hashes[rows], self._node_hashes)
        positions = np.arange(len(rows))
        best = scores.argmax(axis=1)
        self._first[rows] = self._node_hashes[best]
        scores[positions, best] = 0
        other_zone = self._zone_numbers[None, :] != self._zone_numbers[best][:, None]
        has_other_zone = other_zone.any(axis=1)
        eligible = np.where(has_other_zone[:, None], other_zone, True)
        scores = np.where(eligible, scores, np.uint64(0))
        second = scores.argmax(axis=1)
        found = scores[positions, second] > 0
        self._second[rows] = np.where(found, self._node_hashes[second], NO_NODE)
        self._threshold[rows] = np.where(has_other_zone, scores[positions, second], NO_NODE)
