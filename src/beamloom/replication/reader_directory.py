"""Holders of the reader leases, exchanged in digests; the highest store revision wins."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from beamloom.model.machines import NodeId

MAXIMUM_LEASES = 8


class ReaderDirectory:
    """The newest known holder of each reader lease."""

    def __init__(self) -> None:
        self._leases: dict[int, tuple[NodeId, int]] = {}

    @property
    def holders(self) -> tuple[NodeId, ...]:
        """The known holders, by lease number."""
        return tuple(self._leases[number][0] for number in sorted(self._leases))

    def record(self, number: int, holder: NodeId, revision: int) -> None:
        """Record the holder of a lease, unless a newer one is known."""
        known = self._leases.get(number)
        if (known is None or known[1] < revision) and 0 <= number < MAXIMUM_LEASES:
            self._leases[number] = (holder, revision)

    def to_lists(self) -> list[list[Any]]:
        """Return the digest field: `[lease number, holder, store revision]` each."""
        return [[number, *self._leases[number]] for number in sorted(self._leases)]

    def merge(self, leases: Iterable[list[Any]]) -> bool:
        """Merge a digest's field; returns whether this node knew a newer holder of any lease."""
        theirs: dict[int, int] = {}
        for number, holder, revision in leases:
            theirs[number] = revision
            self.record(number, NodeId(holder), revision)
        return any(known[1] > theirs.get(number, 0) for number, known in self._leases.items())
