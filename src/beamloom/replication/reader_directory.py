"""Who holds the reader leases, as digests tell it; the highest store revision wins."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from beamloom.model.machines import NodeId

MAXIMUM_LEASES = 8


class ReaderDirectory:
    """The newest holder known of each reader lease."""

    def __init__(self) -> None:
        self._leases: dict[int, tuple[NodeId, int]] = {}

    @property
    def holders(self) -> tuple[NodeId, ...]:
        """The holders known, by lease number."""
        return tuple(self._leases[number][0] for number in sorted(self._leases))

    def learn(self, number: int, holder: NodeId, revision: int) -> None:
        """Take what the store said of a lease."""
        known = self._leases.get(number)
        if (known is None or known[1] < revision) and 0 <= number < MAXIMUM_LEASES:
            self._leases[number] = (holder, revision)

    def to_lists(self) -> list[list[Any]]:
        """Return the digest field: `[lease number, holder, store revision]` each."""
        return [[number, *self._leases[number]] for number in sorted(self._leases)]

    def merge(self, leases: Iterable[list[Any]]) -> bool:
        """Take a digest's field; returns whether this node knew a newer holder than the digest."""
        theirs: dict[int, int] = {}
        for number, holder, revision in leases:
            theirs[number] = revision
            self.learn(number, NodeId(holder), revision)
        return any(known[1] > theirs.get(number, 0) for number, known in self._leases.items())
