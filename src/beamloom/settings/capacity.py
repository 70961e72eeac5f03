"""The capacity of machines, from settings files and peers' messages, and their rank for roles.

Roles (reading the store, answering peers, opening flows at cold backends) go to machines with the
capacity for them. A missing or implausible value is replaced by the minimum, so that a machine of
unknown capacity gets no role that may overload it.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any, NamedTuple


class Capacity(NamedTuple):
    """Processor, link (per second and direction), memory and file descriptors of a machine.

    The defaults are the minimum, which stands in for unknown values.
    """

    cores: float = 0.05
    link_megabits: float = 5.0
    memory_megabytes: float = 128.0
    descriptors: float = 256.0

    @property
    def rank(self) -> int:
        """The machine's rank for roles: 0 is the best, `LOWEST_RANK` the worst.

        The rank improves by one with each doubling of both processor and link. Similar machines
        share a rank, so that roles do not move because of a small difference.
        """
        steps = math.log2(
            min(self.cores / LEAST.cores, self.link_megabits / LEAST.link_megabits),
        )
        return LOWEST_RANK - max(0, min(LOWEST_RANK, int(steps)))

    @property
    def weight(self) -> int:
        """How many times as many roles as the minimum machine this one can take."""
        return weight_of_rank(self.rank)


LEAST = Capacity()
MAXIMUM_CAPACITY = Capacity(4096.0, 1e7, 1e9, 1e8)
"""Larger values are treated as mistakes."""
LOWEST_RANK = 9
"""Ranks are one decimal digit: nine doublings lead from the minimum to rank 0."""


def weight_of_rank(rank: int) -> int:
    """Return how many times as many roles as the minimum machine one of this rank can take."""
    return 1 << (LOWEST_RANK - rank)


WIRE_SCALE = Capacity(1000.0, 10.0, 1.0, 1.0)
"""Messages carry integers: thousandths of a core, tenths of a megabit, megabytes, descriptors."""


class CheckedCapacity(NamedTuple):
    """A capacity of usable values, and the names of the fields that had to be replaced."""

    capacity: Capacity
    unusable: tuple[str, ...]


def check_capacity(values: Sequence[Any]) -> CheckedCapacity:
    """Return the capacity with these values, in field order, and the minimum for unusable ones.

    A value is unusable if it is missing, not a number, not above 0 or above `MAXIMUM_CAPACITY`.
    """
    usable = [
        _usable(values[index] if index < len(values) else None, maximum)
        for index, maximum in enumerate(MAXIMUM_CAPACITY)
    ]
    names = zip(Capacity._fields, usable, strict=True)
    unusable = tuple(name for name, value in names if value is None)
    filled = [
        minimum if value is None else value for value, minimum in zip(usable, LEAST, strict=True)
    ]
    return CheckedCapacity(Capacity(*filled), unusable)


def _usable(value: Any, maximum: float) -> float | None:  # noqa: ANN401 - unchecked input
    """Return a number in the range; None for anything else, including NaN."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 < value <= maximum else None


def to_wire(capacity: Capacity) -> list[int]:
    """Return a capacity in the units of messages."""
    return [max(1, round(value * unit)) for value, unit in zip(capacity, WIRE_SCALE, strict=True)]


def from_wire(values: Any) -> CheckedCapacity:  # noqa: ANN401 - unchecked input of a peer
    """Return the capacity that a peer sent; unusable values are replaced by the minimum."""
    listed = values if isinstance(values, list | tuple) else ()
    maximum = to_wire(MAXIMUM_CAPACITY)
    usable = [_usable(value, limit) for value, limit in zip(listed, maximum, strict=False)]
    return check_capacity(
        [
            None if value is None else value / unit
            for value, unit in zip(usable, WIRE_SCALE, strict=False)
        ]
    )
