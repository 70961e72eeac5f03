"""Reports of backends that do not answer, or answer with errors.

In a large fleet a node opens few flows at a backend, so each node alone would take seconds to
detect a failure, while clients wait. One reporter is not enough, as its own path to the backend may
be broken. Reports expire.
"""

from __future__ import annotations

from typing import NamedTuple

REPORT_SECONDS = 3.0
"""How long a report counts; a backend that is still silent is reported again."""
EXPIRY_INTERVAL_SECONDS = 0.5
REPORTERS_NEEDED = 2
MAXIMUM_BACKENDS = 256
MAXIMUM_REPORTS_SENT = 8
UPDATE_STEP_SECONDS = 1.0
"""A report replaces and is forwarded like a new one only if it is newer by this much."""


class SilenceReport(NamedTuple):
    """At `at`, `backend` did not answer an opening of `reporter`, or answered with an error."""

    backend: str
    reporter: str
    at: float


class SilenceReports:
    """The recent reports that a node made or received."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, float]] = {}
        self._has_unsent = False
        self._expired_at = float("-inf")

    def note(self, report: SilenceReport, now: float) -> bool:
        """Add a report; return whether enough nodes have now reported that backend."""
        if now - report.at >= REPORT_SECONDS:
            return False
        self._expire(now)
        reporters = self._reports.get(report.backend)
        if reporters is None:
            if len(self._reports) >= MAXIMUM_BACKENDS:
                return False
            reporters = self._reports[report.backend] = {}
        if _keep_if_newer(reporters, report):
            self._has_unsent = True
        return len(reporters) >= REPORTERS_NEEDED

    def take_unsent(self) -> bool:
        """Return whether reports were added since the last call."""
        has_unsent, self._has_unsent = self._has_unsent, False
        return has_unsent

    def recent(self, now: float) -> list[SilenceReport]:
        """Return the reports to put into a digest, the latest first."""
        self._expire(now)
        reports = [
            SilenceReport(backend, reporter, at)
            for backend, reporters in self._reports.items()
            for reporter, at in reporters.items()
        ]
        reports.sort(key=lambda report: -report.at)
        return reports[:MAXIMUM_REPORTS_SENT]

    def _expire(self, now: float) -> None:
        if now - self._expired_at < EXPIRY_INTERVAL_SECONDS:
            return
        self._expired_at = now
        kept = {
            backend: {who: at for who, at in reporters.items() if now - at < REPORT_SECONDS}
            for backend, reporters in self._reports.items()
        }
        self._reports = {backend: reporters for backend, reporters in kept.items() if reporters}


def _keep_if_newer(reporters: dict[str, float], report: SilenceReport) -> bool:
    """Add a report; return whether it was new.

    Only REPORTERS_NEEDED reporters are kept; a new one replaces the one with the oldest report.
    """
    replaced: str | None = report.reporter if report.reporter in reporters else None
    if replaced is None and len(reporters) >= REPORTERS_NEEDED:
        replaced = min(reporters, key=lambda reporter: reporters[reporter])
    if replaced is not None:
        if report.at - reporters[replaced] < UPDATE_STEP_SECONDS:
            return False
        del reporters[replaced]
    reporters[report.reporter] = report.at
    return True
