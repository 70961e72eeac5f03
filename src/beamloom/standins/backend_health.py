"""Health reports of a backend, which injected faults can delay, freeze or falsify."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace


@dataclass(frozen=True, slots=True)
class BackendHealth:
    """One report; `load` is the number of running and queued requests per slot."""

    healthy: bool
    shedding: bool
    draining: bool
    load: float


@dataclass(frozen=True, slots=True)
class HealthFaults:
    """Faults of health reports.

    Reports are `lag` seconds old; `frozen` repeats the last one; `load` and `healthy` replace the
    true values unless they are None.
    """

    lag: float = 0.0
    frozen: bool = False
    load: float | None = None
    healthy: bool | None = None


class HealthReporter:
    """Derives reports from true states and the configured faults."""

    def __init__(self) -> None:
        self.faults = HealthFaults()
        self._history: deque[tuple[float, BackendHealth]] = deque()
        self._last: BackendHealth | None = None

    def observe(self, now: float, health: BackendHealth) -> None:
        """Record a true state for later reports with a lag."""
        if not self.faults.lag:
            self._history.clear()
        if not self._history or self._history[-1][1] != health:
            self._history.append((now, health))
        self._discard_before(now - self.faults.lag)

    def report(self, now: float, health: BackendHealth) -> BackendHealth:
        """Record the true state and return the report of the health endpoint."""
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

    def _discard_before(self, time: float) -> None:
        while len(self._history) > 1 and self._history[1][0] <= time:
            self._history.popleft()
