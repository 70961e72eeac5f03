"""Exponential backoff: with equal jitter, and with full jitter where many callers start at once."""

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


class FullJitter:
    """Pauses drawn from zero to a bound that doubles from `2 * first` to `longest` seconds.

    Source: Brooker 2015, "Exponential Backoff And Jitter". `failures` counts those in a row.
    """

    def __init__(self, first: float, longest: float, chance: random.Random) -> None:
        self.failures = 0
        self._first = first
        self._longest = longest
        self._chance = chance

    def next_pause(self, shared_seconds: float = 0.0) -> float:
        """Note a failure; return the seconds to wait before the next attempt.

        `shared_seconds` is the pause of one caller among many that each notice for all: where it
        is the longer one, the pause is that from the first failure on, or down to half of it.
        """
        self.failures += 1
        if shared_seconds > self._longest:
            return self._chance.uniform(shared_seconds / 2, shared_seconds)
        bound = min(self._longest, self._first * 2 ** min(self.failures, 8))
        return self._chance.uniform(0.0, bound)

    def reset(self) -> None:
        """Start from the shortest pause again, after a success."""
        self.failures = 0
