"""Load reports of backends, which lag, freeze and lie: few classes, moved slowly, bounded."""

from __future__ import annotations

import math

CLASS_COUNT = 8
WEIGHT_FLOOR = 0.25
CLASS_STEP = 0.125
NEUTRAL_CLASS = 6
NEUTRAL_LOAD = 0.5
WEIGHT_PER_LOAD = 0.5
SMOOTHING = 0.2
MOVE_INTERVAL = 10.0
STAY_WITHIN = 0.1
FROZEN_AFTER = 60.0


def class_factor(weight_class: int) -> float:
    """Return the factor on a backend's weight: 0.25 for class 0, 1.0 for neutral, 1.125 at most."""
    return WEIGHT_FLOOR + CLASS_STEP * weight_class


class LoadReport:
    """What one backend reports of its load (0 to 1, above 1 when it queues), as a weight class."""

    __slots__ = (
        "_last_value",
        "_moved_at",
        "_smoothed",
        "frozen",
        "unchanged_since",
        "weight_class",
    )

    def __init__(self, now: float, weight_class: int = NEUTRAL_CLASS) -> None:
        self.weight_class = weight_class
        self.frozen = False
        self.unchanged_since = now
        self._last_value = math.nan
        self._smoothed = NEUTRAL_LOAD
        self._moved_at = now

    def observe(self, load: float, now: float) -> None:
        """Take one report; a value that is no load counts as no report."""
        if not math.isfinite(load) or load < 0.0:
            load = NEUTRAL_LOAD
        if load != self._last_value:
            self._last_value = load
            self.unchanged_since = now
        self._smoothed += SMOOTHING * (load - self._smoothed)

    def judge(self, *, others_move: bool, now: float) -> None:
        """Move at most one class, towards neutral if the report froze while others moved."""
        self.frozen = others_move and now - self.unchanged_since >= FROZEN_AFTER
        if now - self._moved_at < MOVE_INTERVAL:
            return
        wanted = self._wanted_class()
        if wanted != self.weight_class:
            self.weight_class += 1 if wanted > self.weight_class else -1
            self._moved_at = now

    def _wanted_class(self) -> int:
        if self.frozen:
            return NEUTRAL_CLASS
        target = 1.0 - WEIGHT_PER_LOAD * (self._smoothed - NEUTRAL_LOAD)
        target = min(class_factor(CLASS_COUNT - 1), max(WEIGHT_FLOOR, target))
        if abs(target - class_factor(self.weight_class)) < STAY_WITHIN:
            return self.weight_class
        return round((target - WEIGHT_FLOOR) / CLASS_STEP)
