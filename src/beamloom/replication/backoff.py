"""Exponential backoff with equal jitter."""

from __future__ import annotations

import random

BASE_DELAY = 0.5
MAXIMUM_DELAY = 3.5
"""Below the 4 s within which a change must be in force, also the first one after an outage."""


class Backoff:
    """Delays between attempts, drawn from half to the whole of a bound that doubles."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._attempts = 0

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt."""
        bound = min(MAXIMUM_DELAY, BASE_DELAY * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return self._chance.uniform(bound / 2, bound)

    def reset(self) -> None:
        """Start from the shortest delay again, after a success."""
        self._attempts = 0
