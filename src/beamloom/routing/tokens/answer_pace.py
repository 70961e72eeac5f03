"""How long a backend takes to answer, from the flows of one node: a moving average that ages.

Load as a node sees it tells little where each of many nodes has few requests under way. A backend
that has become slow shows in its answers, which are compared with those of its service's others.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable

NEWEST_SHARE = 0.25
"""Weight of one answer in the average, once there are a few."""
SAMPLES_NEEDED = 3
LEAST_SLOWNESS = 2.0
"""Answers vary; below this ratio a backend counts as usual."""
MOST_SLOWNESS = 3.0
HALF_LIFE_SECONDS = 2.0
"""A backend that gets no requests any more is believed to be slow for so long, half of it."""


class AnswerPace:
    """The answers of one backend; times are in seconds."""

    __slots__ = ("count", "noted_at", "seconds")

    def __init__(self) -> None:
        self.seconds = 0.0
        self.count = 0
        self.noted_at = float("-inf")

    @property
    def known(self) -> bool:
        """Whether there were enough answers to tell."""
        return self.count >= SAMPLES_NEEDED

    def note(self, seconds: float, now: float) -> None:
        """Take the time that one answer took."""
        self.count += 1
        share = max(NEWEST_SHARE, 1 / self.count)
        self.seconds += share * (seconds - self.seconds)
        self.noted_at = now

    def slowness(self, typical_seconds: float, now: float) -> float:
        """Return how many times slower than typical the backend is; 1 where it is not slow."""
        if not self.known or typical_seconds <= 0:
            return 1.0
        ratio = min(MOST_SLOWNESS, self.seconds / typical_seconds)
        if ratio < LEAST_SLOWNESS:
            return 1.0
        half_lives = (now - self.noted_at) / HALF_LIFE_SECONDS
        return 1.0 + (ratio - 1.0) * math.pow(0.5, half_lives)


class DueAnswers:
    """Requests without an answer, each with the time at which its answer will be overdue."""

    def __init__(self) -> None:
        self._waiting: list[tuple[float, bytes, int]] = []

    @property
    def next_at(self) -> float | None:
        """When the first of them will be overdue; None without any."""
        return self._waiting[0][0] if self._waiting else None

    def expect(self, due_at: float, key: bytes, sequence: int) -> None:
        """Wait for the answer to the request of a flow that ends with a sequence number."""
        heapq.heappush(self._waiting, (due_at, key, sequence))

    def take(self, now: float) -> list[tuple[bytes, int]]:
        """Return once those whose time is over; some may have been answered meanwhile."""
        taken = []
        while self._waiting and self._waiting[0][0] <= now:
            taken.append(heapq.heappop(self._waiting)[1:])
        return taken


def typical_seconds(paces: Iterable[AnswerPace]) -> float:
    """Return the median of the averages that are known, the lower one of two; 0 without any."""
    known = sorted(pace.seconds for pace in paces if pace.known)
    return known[(len(known) - 1) // 2] if known else 0.0
