"""Maps the load that a backend reports to a weight class.

Reports may be late, frozen or wrong, so the class has few values and changes in single steps.
"""

from __future__ import annotations

import math

CLASS_COUNT = 8
MINIMUM_FACTOR = 0.25
FACTOR_STEP = 0.125
NEUTRAL_CLASS = 6
NEUTRAL_LOAD = 0.5
FACTOR_PER_LOAD = 0.5
SMOOTHING = 0.2
CLASS_CHANGE_INTERVAL_SECONDS = 10.0
CLASS_HYSTERESIS = 0.1
FROZEN_AFTER_SECONDS = 60.0


def class_factor(weight_class: int) -> float:
    """Return the factor on a backend's weight: 0.25 for class 0, 1.0 for neutral, 1.125 at most."""
    return MINIMUM_FACTOR + FACTOR_STEP * weight_class


class LoadTracker:
    """Smooths one backend's reported load (0 to 1, above 1 if it queues) into a weight class."""

    __slots__ = (
        "_class_changed_at",
        "_last_value",
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
        self._class_changed_at = now

    def observe(self, load: float, now: float) -> None:
        """Add one report; a negative or non-finite load counts as `NEUTRAL_LOAD`."""
        if not math.isfinite(load) or load < 0.0:
            load = NEUTRAL_LOAD
        if load != self._last_value:
            self._last_value = load
            self.unchanged_since = now
        self._smoothed += SMOOTHING * (load - self._smoothed)

    def update_class(self, *, others_changing: bool, now: float) -> None:
        """Move at most one class, towards neutral if the report is frozen while others change."""
        self.frozen = others_changing and now - self.unchanged_since >= FROZEN_AFTER_SECONDS
        if now - self._class_changed_at < CLASS_CHANGE_INTERVAL_SECONDS:
            return
        target_class = self._target_class()
        if target_class != self.weight_class:
            self.weight_class += 1 if target_class > self.weight_class else -1
            self._class_changed_at = now

    def _target_class(self) -> int:
        if self.frozen:
            return NEUTRAL_CLASS
        target = 1.0 - FACTOR_PER_LOAD * (self._smoothed - NEUTRAL_LOAD)
        target = min(class_factor(CLASS_COUNT - 1), max(MINIMUM_FACTOR, target))
        if abs(target - class_factor(self.weight_class)) < CLASS_HYSTERESIS:
            return self.weight_class
        return round((target - MINIMUM_FACTOR) / FACTOR_STEP)
