"""Hysteresis of health checks: a status changes only after several equal outcomes in a row."""

from __future__ import annotations

from beamloom.model.contracts import BackendOperatingStatus

RISE_COUNT = 2
FALL_COUNT = 3


class HealthHysteresis:
    """The status of one backend according to one watcher's own checks.

    `failing` is whether the last check failed, None before the first; the caller sets it.
    """

    __slots__ = ("_candidate", "_streak", "failing", "status")

    def __init__(self) -> None:
        self.status = BackendOperatingStatus.UNKNOWN
        self.failing: bool | None = None
        self._candidate = BackendOperatingStatus.UNKNOWN
        self._streak = 0

    def observe(self, *, healthy: bool, shedding: bool) -> bool:
        """Apply one outcome; return whether the status changed."""
        outcome = _observed_status(healthy, shedding)
        if outcome is self.status:
            self._streak = 0
            return False
        self._streak = self._streak + 1 if outcome is self._candidate else 1
        self._candidate = outcome
        needed = FALL_COUNT if outcome is BackendOperatingStatus.OFFLINE else RISE_COUNT
        if self._streak < needed:
            return False
        self.status = outcome
        self._streak = 0
        return True


def _observed_status(healthy: bool, shedding: bool) -> BackendOperatingStatus:
    if not healthy:
        return BackendOperatingStatus.OFFLINE
    return BackendOperatingStatus.SHEDDING if shedding else BackendOperatingStatus.ONLINE
