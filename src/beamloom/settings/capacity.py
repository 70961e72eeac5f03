"""What a machine can do, as its settings and its peers tell it, and how it ranks for roles.

Roles (reading the store, answering peers, opening flows at cold backends) go to machines that can
bear them. What is told of a machine may be missing or absurd; then the machine counts as one of the
least, so that it gets no role that it may not be able to bear.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Any, NamedTuple


class Capacity(NamedTuple):
    """Processor (in cores), link (a second, each way), memory and open descriptors of a machine.

    The defaults are those of the least machine that was met: what a machine is taken for that does
    not tell.
    """

    cores: float = 0.05
    link_megabits: float = 5.0
    memory_megabytes: float = 128.0
    descriptors: float = 256.0

    @property
    def rank(self) -> int:
        """How fit the machine is for roles: 0 is the best, `LOWEST_RANK` the least.

        Each doubling of both processor and link makes the rank one better. Neighbouring sizes share
        a rank, so that roles do not move for a small difference.
        """
        steps = math.log2(
            min(self.cores / LEAST.cores, self.link_megabits / LEAST.link_megabits),
        )
        return LOWEST_RANK - max(0, min(LOWEST_RANK, int(steps)))

    @property
    def weight(self) -> int:
        """How many times the roles of the least machine this one can bear."""
        return weight_of_rank(self.rank)


LEAST = Capacity()
MOST = Capacity(4096.0, 1e7, 1e9, 1e8)
"""Beyond these no machine is; what is told beyond them is a mistake."""
LOWEST_RANK = 9
"""Ranks are one decimal digit: nine doublings from the least machine to 0."""


def weight_of_rank(rank: int) -> int:
    """Return how many times the roles of the least machine one of a rank can bear."""
    return 1 << (LOWEST_RANK - rank)


UNITS_ON_THE_WIRE = Capacity(1000.0, 10.0, 1.0, 1.0)
"""Messages tell whole thousandths of a core, tenths of a megabit, megabytes, descriptors."""


class CheckedCapacity(NamedTuple):
    """A capacity that can be relied on, and the names of the fields that were not usable."""

    capacity: Capacity
    unusable: tuple[str, ...]


def check_capacity(told: Sequence[Any]) -> CheckedCapacity:
    """Return what was told, in the order of the fields, with the least in place of the unusable.

    Unusable is what is missing, no number, nought or less, or more than any machine has.
    """
    values = [
        _usable(told[index] if index < len(told) else None, most) for index, most in enumerate(MOST)
    ]
    names = zip(Capacity._fields, values, strict=True)
    unusable = tuple(name for name, value in names if value is None)
    usable = [least if value is None else value for value, least in zip(values, LEAST, strict=True)]
    return CheckedCapacity(Capacity(*usable), unusable)


def _usable(value: Any, most: float) -> float | None:  # noqa: ANN401 - whatever was told
    """Return a number of the range; None for anything else, NaN among it."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if 0 < value <= most else None


def to_wire(capacity: Capacity) -> list[int]:
    """Return a capacity as messages tell it."""
    return [
        max(1, round(value * unit)) for value, unit in zip(capacity, UNITS_ON_THE_WIRE, strict=True)
    ]


def from_wire(told: Any) -> CheckedCapacity:  # noqa: ANN401 - whatever a peer sent
    """Return what a peer told; whatever it sent, the result can be relied on."""
    listed = told if isinstance(told, list | tuple) else ()
    most = to_wire(MOST)
    usable = [_usable(value, limit) for value, limit in zip(listed, most, strict=False)]
    return check_capacity(
        [
            None if value is None else value / unit
            for value, unit in zip(usable, UNITS_ON_THE_WIRE, strict=False)
        ]
    )
