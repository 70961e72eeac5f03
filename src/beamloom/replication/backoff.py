"""Exponential backoff with full jitter."""

from __future__ import annotations

import random

BASE_DELAY = 0.5
MAXIMUM_DELAY = 15.0


class Backoff:
    """Delays between attempts, drawn from 0 to a bound that doubles (full jitter)."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._attempts = 0

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt."""
        bound = min(MAXIMUM_DELAY, BASE_DELAY * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return self._chance.uniform(0.0, bound)

    def reset(self) -> None:
        """Start from the shortest delay again, after a success."""
        self._attempts = 0
