"""What a backend's health endpoint says: the truth, or a late, frozen or false report."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class BackendHealth:
    """One report; `load` is the requests that run or wait, as a share of the slots."""

    healthy: bool
    shedding: bool
    draining: bool
    load: float


@dataclass(frozen=True, slots=True)
class HealthFaults:
    """How reports mislead: `lag` in seconds, `frozen` repeats the last, `load` replaces it."""

    lag: float = 0.0
    frozen: bool = False
    load: float | None = None
    healthy: bool | None = None


class HealthReporter:
    """Turns true states into reports under the faults asked for."""

    def __init__(self) -> None:
        self.faults = HealthFaults()
        self._history: deque[tuple[float, BackendHealth]] = deque()
        self._last: BackendHealth | None = None

    def observe(self, now: float, health: BackendHealth) -> None:
        """Note a true state, so that a lagging report can be given later."""
        if not self.faults.lag:
            self._history.clear()
        if not self._history or self._history[-1][1] != health:
            self._history.append((now, health))
        self._forget_before(now - self.faults.lag)

    def report(self, now: float, health: BackendHealth) -> BackendHealth:
        """Return what the endpoint says now."""
        self.observe(now, health)
        if self.faults.frozen and self._last is not None:
            return self._last
        report = self._history[0][1]
        if self.faults.load is not None:
            report = replace(report, load=self.faults.load)
        if self.faults.healthy is not None:
            report = replace(report, healthy=self.faults.healthy)
        self._last = report
        return report

    def _forget_before(self, time: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time:
            self._history.popleft()
