"""Exponential backoff with equal jitter, and with full jitter for many concurrent callers."""

from __future__ import annotations

import random

BASE_DELAY = 0.5
MAXIMUM_DELAY = 3.5
"""Below the 4 s within which a change must be in force, even the first one after an outage."""


class Backoff:
    """Delays between attempts, drawn from the upper half of a bound that doubles."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._attempts = 0

    def next_delay(self) -> float:
        """Return the seconds to wait before the next attempt."""
        bound = min(MAXIMUM_DELAY, BASE_DELAY * 2**self._attempts)
        self._attempts = min(self._attempts + 1, 16)
        return self._rng.uniform(bound / 2, bound)

    def reset(self) -> None:
        """Start from the shortest delay again, after a success."""
        self._attempts = 0


class FullJitter:
    """Pauses drawn from zero to a bound that doubles from `2 * first` to `longest` seconds.

    Source: Brooker 2015, "Exponential Backoff And Jitter". `failures` counts calls of `next_pause`
    since the last `reset`.
    """

    def __init__(self, first: float, longest: float, rng: random.Random) -> None:
        self.failures = 0
        self._first = first
        self._longest = longest
        self._rng = rng

    def next_pause(self, shared_seconds: float = 0.0) -> float:
        """Record a failure; return the seconds to wait before the next attempt.

        `shared_seconds` is the longest pause where many callers use the same server. If it
        exceeds `longest`, the pause is drawn from half to all of it, from the first failure on.
        """
        self.failures += 1
        if shared_seconds > self._longest:
            return self._rng.uniform(shared_seconds / 2, shared_seconds)
        bound = min(self._longest, self._first * 2 ** min(self.failures, 8))
        return self._rng.uniform(0.0, bound)

    def reset(self) -> None:
        """Start from the shortest pause again, after a success."""
        self.failures = 0
