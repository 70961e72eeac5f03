"""Exchange of reports on backends between nodes: silent ones, failing ones and dead ones.

Reports of silent and failing backends travel in digests and count only if several nodes made them
(`silence_reports.py`). Those of dead backends are sent at once, and each receiver checks the
backend itself (`down_reports.py`).
"""

from __future__ import annotations

from collections.abc import Callable

from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.down_reports import DownReports
from beamloom.replication.silence_reports import SilenceReport, SilenceReports
from beamloom.units import MILLISECONDS

ANNOUNCE_INTERVAL_SECONDS = 0.5
"""Shortest interval between announcements of new reports; there are hundreds where much fails."""

EncodedReports = list[tuple[str, str, int]]
"""Reports in the form of a digest: backend, reporter, age in milliseconds."""


class BackendReports:
    """The reports of one node, whose id is `reporter`, and those received from others.

    `on_silent` and `on_failing` are called with a backend that enough nodes have reported, the time
    of the report and the current time; `on_failure_report` with each failing backend reported and
    the time of the report; `on_down` with a backend that another node has found dead and the
    current time.
    """

    def __init__(self, reporter: str) -> None:
        self.on_silent: Callable[[str, float, float], None] = lambda backend, at, now: None
        self.on_failing: Callable[[str, float, float], None] = lambda backend, at, now: None
        self.on_failure_report: Callable[[str, float], None] = lambda backend, at: None
        self.on_down: Callable[[str, float], None] = lambda backend, now: None
        self._reporter = reporter
        self._silent = SilenceReports()
        self._failing = SilenceReports()
        self._down = DownReports()
        self._announced_at = float("-inf")

    def note_silent(self, backend: str, now: float) -> None:
        """Report that a backend did not answer an opening of this node."""
        self._add_silent(SilenceReport(backend, self._reporter, now), now)

    def note_failing(self, backend: str, now: float) -> None:
        """Report that a backend appears to have answered with an error."""
        self._add_failing(SilenceReport(backend, self._reporter, now), now)

    def note_down(self, backend: str) -> None:
        """Report that this node has found a backend dead."""
        self._down.note(backend)

    def add_digest(self, digest: ViewDigest, sent_at: float, now: float) -> None:
        """Add the reports of a peer's digest, whose ages count from `sent_at`."""
        for backend, reporter, age in digest.silent:
            self._add_silent(SilenceReport(backend, reporter, sent_at - age / MILLISECONDS), now)
        for backend, reporter, age in digest.failing:
            self._add_failing(SilenceReport(backend, reporter, sent_at - age / MILLISECONDS), now)

    def add_down_reports(self, names: list[str], now: float) -> None:
        """Add reports of dead backends from another node."""
        for backend in self._down.take(names, now):
            self.on_down(backend, now)

    def take_unsent_down(self, now: float) -> list[str]:
        """Return the dead backends to announce now, each report once."""
        return self._down.take_unsent(now)

    def take_unsent(self, now: float) -> bool:
        """Return whether new reports are to be announced now, and regard them as announced."""
        if now - self._announced_at < ANNOUNCE_INTERVAL_SECONDS:
            return False
        silent, failing = self._silent.take_unsent(), self._failing.take_unsent()
        if silent or failing:
            self._announced_at = now
        return silent or failing

    def for_digest(self, now: float) -> tuple[EncodedReports, EncodedReports]:
        """Return the reports of silent and of failing backends for a digest."""
        return _encode(self._silent, now), _encode(self._failing, now)

    def _add_silent(self, report: SilenceReport, now: float) -> None:
        if self._silent.note(report, now):
            self.on_silent(report.backend, report.at, now)

    def _add_failing(self, report: SilenceReport, now: float) -> None:
        self.on_failure_report(report.backend, report.at)
        if self._failing.note(report, now):
            self.on_failing(report.backend, report.at, now)


def _encode(reports: SilenceReports, now: float) -> EncodedReports:
    return [
        (report.backend, report.reporter, max(0, int((now - report.at) * MILLISECONDS)))
        for report in reports.recent(now)
    ]
