"""A heap of keyed timers that re-arms a timer without searching the heap."""

from __future__ import annotations

import heapq
from collections.abc import Hashable
from itertools import count
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)


class TimerHeap(Generic[Key]):
    """At most one time per key, in seconds; replaced entries are dropped at the top of the heap."""

    def __init__(self) -> None:
        self._times: dict[Key, float] = {}
        self._heap: list[tuple[float, int, Key]] = []
        self._sequence = count()

    def arm(self, key: Key, when: float | None) -> None:
        """Set the timer of `key`, or remove it if `when` is None."""
        if when is None:
            self._times.pop(key, None)
        elif self._times.get(key) != when:
            self._times[key] = when
            heapq.heappush(self._heap, (when, next(self._sequence), key))

    def next_time(self) -> float | None:
        """Return the earliest time, or None if no timer is armed."""
        while self._heap and self._times.get(self._heap[0][2]) != self._heap[0][0]:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> list[Key]:
        """Remove the timers that are due and return their keys, earliest first."""
        due: list[Key] = []
        while (when := self.next_time()) is not None and when <= now:
            key = heapq.heappop(self._heap)[2]
            del self._times[key]
            due.append(key)
        return due
