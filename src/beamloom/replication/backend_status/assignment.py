"""Which nodes watch which backend: rendezvous hashing over the members that may be home.

The first watcher is the member of the highest score, the second the highest in another zone (in
any zone where there is no other). A pure function of members and backends (Thaler and Ravishankar,
1998); after a change of members only the backends that it concerns are computed anew.
"""

from __future__ import annotations

from collections.abc import Iterable

import numpy as np
import numpy.typing as npt
import xxhash

from beamloom.model.machines import Member, NodeId

HashArray = npt.NDArray[np.uint64]
ROWS_AT_ONCE = 64
INCREMENTAL_CHANGES = 8
NO_NODE = np.uint64(0)
_FIRST_MULTIPLIER = np.uint64(0xBF58476D1CE4E5B9)
_SECOND_MULTIPLIER = np.uint64(0x94D049BB133111EB)


def _scores(backend_hashes: HashArray, node_hashes: HashArray) -> HashArray:
    """Return the score of each pair: the finaliser of splitmix64 over the xor of both hashes."""
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
        self._numbers: list[int] = []
        self._rows: dict[int, int] = {}
        self._node_hashes: HashArray = np.empty(0, np.uint64)
        self._zone_numbers = np.empty(0, np.int64)
        self._set_rows([])

    def update_members(self, members: Iterable[Member]) -> bool:
        """Take the members; returns whether the set that may be home, or a zone, changed."""
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
        if len(changed) > INCREMENTAL_CHANGES:
            self._compute(np.arange(len(self._numbers)))
        else:
            self._compute(self._concerned_rows(added, removed))
        return True

    def update_backends(self, backend_numbers: Iterable[int]) -> None:
        """Take the backends in force."""
        numbers = sorted(backend_numbers)
        if numbers != self._numbers:
            self._set_rows(numbers)
            self._compute(np.arange(len(numbers)))

    def watchers(self, backend_number: int) -> tuple[NodeId, ...]:
        """Return the first and second watcher of a backend, fewer where members are lacking."""
        row = self._rows[backend_number]
        hashes = (int(self._first[row]), int(self._second[row]))
        return tuple(self._nodes[item] for item in hashes if item in self._nodes)

    def watched_by(self, node_id: NodeId) -> list[int]:
        """Return the numbers of the backends that a node watches."""
        own = np.uint64(xxhash.xxh3_64_intdigest(node_id))
        if int(own) not in self._nodes:
            return []
        rows = np.flatnonzero((self._first == own) | (self._second == own))
        return [self._numbers[row] for row in rows]

    def _changed_nodes(self, zones: dict[int, str]) -> list[int]:
        known = self._zones
        return [node for node in {**known, **zones} if known.get(node) != zones.get(node)]

    def _set_rows(self, numbers: list[int]) -> None:
        self._numbers = numbers
        self._rows = {number: row for row, number in enumerate(numbers)}
        hashes = [xxhash.xxh3_64_intdigest(number.to_bytes(8, "big")) for number in numbers]
        self._backend_hashes: HashArray = np.array(hashes, np.uint64)
        self._first: HashArray = np.zeros(len(numbers), np.uint64)
        self._second: HashArray = np.zeros(len(numbers), np.uint64)
        self._threshold: HashArray = np.zeros(len(numbers), np.uint64)

    def _concerned_rows(self, added: list[int], removed: list[int]) -> npt.NDArray[np.int64]:
        concerned = np.zeros(len(self._numbers), bool)
        for node in removed:
            node_hash = np.uint64(node)
            concerned |= (self._first == node_hash) | (self._second == node_hash)
        if added:
            scores = _scores(self._backend_hashes, np.array(added, np.uint64))
            concerned |= (scores >= self._threshold[:, None]).any(axis=1)
        return np.flatnonzero(concerned)

    def _compute(self, rows: npt.NDArray[np.int64]) -> None:
        for start in range(0, len(rows), ROWS_AT_ONCE):
            self._compute_rows(rows[start : start + ROWS_AT_ONCE])

    def _compute_rows(self, rows: npt.NDArray[np.int64]) -> None:
        """Fill in both watchers, and the score below which a new member changes nothing."""
        self._first[rows] = self._second[rows] = self._threshold[rows] = NO_NODE
        if not len(self._node_hashes):
            return
        scores = _scores(self._backend_hashes[rows], self._node_hashes)
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
