"""Moving average of the answer times of a backend, as one node observes them.

In a large fleet each node has few pending requests, so the load that it observes says little. A
slow backend is recognized by its answer times, compared with those of the other backends.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

SMOOTHING_FACTOR = 0.25
"""Minimum weight of a new answer in the moving average."""
MINIMUM_SAMPLES = 3
MINIMUM_SLOWDOWN = 2.0
"""Answer times vary: a backend below this ratio does not count as slow."""
MAXIMUM_SLOWDOWN = 3.0
HALF_LIFE_SECONDS = 2.0
"""Half-life of the slowdown since the last answer, as a slow backend gets few requests."""


class AnswerPace:
    """Moving average of the answer times of one backend, in seconds."""

    __slots__ = ("count", "seconds", "updated_at")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.count = 0
        self.updated_at = float("-inf")

    @property
    def has_enough_samples(self) -> bool:
        """Whether the average is based on at least MINIMUM_SAMPLES answers."""
        return self.count >= MINIMUM_SAMPLES

    def note(self, seconds: float, now: float) -> None:
        """Add the time of one answer to the average."""
        self.count += 1
        share = max(SMOOTHING_FACTOR, 1 / self.count)
        self.seconds += share * (seconds - self.seconds)
        self.updated_at = now

    def slowdown(self, typical_seconds: float, now: float) -> float:
        """Return the factor by which the backend is slower than typical; 1 if it is not slow."""
        if not self.has_enough_samples or typical_seconds <= 0:
            return 1.0
        ratio = min(MAXIMUM_SLOWDOWN, self.seconds / typical_seconds)
        if ratio < MINIMUM_SLOWDOWN:
            return 1.0
        half_lives = (now - self.updated_at) / HALF_LIFE_SECONDS
        return 1.0 + (ratio - 1.0) * math.pow(0.5, half_lives)


class AnswerDeadlines:
    """Deadlines of pending requests."""

    def __init__(self) -> None:
        self._deadlines: list[tuple[float, bytes, int]] = []

    @property
    def next_deadline(self) -> float | None:
        """The earliest deadline; None without any."""
        return self._deadlines[0][0] if self._deadlines else None

    def add(self, due_at: float, key: bytes, sequence: int) -> None:
        """Add the deadline of a request, identified by its flow and sequence number."""
        heapq.heappush(self._deadlines, (due_at, key, sequence))

    def pop_due(self, now: float) -> list[tuple[bytes, int]]:
        """Remove and return the requests whose deadline has passed, answered ones included."""
        due = []
        while self._deadlines and self._deadlines[0][0] <= now:
            due.append(heapq.heappop(self._deadlines)[1:])
        return due


def typical_seconds(paces: Iterable[AnswerPace]) -> float:
    """Return the lower median of the averages with enough samples, or 0 without any."""
    known = sorted(pace.seconds for pace in paces if pace.has_enough_samples)
    return known[(len(known) - 1) // 2] if known else 0.0
