"""Deadlines of flows in a hashed timing wheel (Varghese and Lauck, 1987).

Setting and cancelling a deadline takes O(1). A deadline is due at the first tick at or after its
time; one that is more than a turn of the wheel away stays in its slot until that turn.
"""

from __future__ import annotations

import math

TICK_SECONDS = 0.1
SLOT_COUNT = 1024


class DeadlineCapacityError(Exception):
    """The wheel is full; the remedy is to refuse the flow or to raise the wheel's capacity."""


class DeadlineWheel:
    """At most `capacity` deadlines, one for each flow key."""

    def __init__(self, capacity: int, now: float = 0.0) -> None:
        self._capacity = capacity
        self._ticks: dict[int, int] = {}
        self._slots: list[set[int]] = [set() for _ in range(SLOT_COUNT)]
        self._last_tick = math.floor(now / TICK_SECONDS)

    def __len__(self) -> int:
        """Return the number of scheduled deadlines."""
        return len(self._ticks)

    def schedule(self, flow_key: int, at: float) -> None:
        """Set or replace a flow's deadline; raises DeadlineCapacityError if the wheel is full."""
        self.cancel(flow_key)
        if len(self._ticks) >= self._capacity:
            raise DeadlineCapacityError(
                f"{self._capacity} deadlines are scheduled; refuse the flow or raise the capacity"
            )
        tick = max(math.ceil(at / TICK_SECONDS), self._last_tick + 1)
        self._ticks[flow_key] = tick
        self._slots[tick % SLOT_COUNT].add(flow_key)

    def cancel(self, flow_key: int) -> bool:
        """Remove a flow's deadline; returns whether there was one."""
        tick = self._ticks.pop(flow_key, None)
        if tick is None:
            return False
        self._slots[tick % SLOT_COUNT].discard(flow_key)
        return True

    def due(self, now: float) -> list[int]:
        """Remove and return the flows whose deadline has passed, earliest first."""
        current = math.floor(now / TICK_SECONDS)
        if current <= self._last_tick:
            return []
        first = max(self._last_tick + 1, current - SLOT_COUNT + 1)
        self._last_tick = current
        expired: list[tuple[int, int]] = []
        for tick in range(first, current + 1):
            expired.extend(self._expired_in(self._slots[tick % SLOT_COUNT], current))
        expired.sort()
        for tick, flow_key in expired:
            del self._ticks[flow_key]
            self._slots[tick % SLOT_COUNT].discard(flow_key)
        return [flow_key for _, flow_key in expired]

    def _expired_in(self, slot: set[int], current: int) -> list[tuple[int, int]]:
        ticks = self._ticks
        return [(ticks[key], key) for key in slot if ticks[key] <= current]
