"""What nodes tell each other of backends: silent ones, failing ones, and those found dead.

Reports of the first two travel with digests and count only where several nodes made them
(`silence_reports.py`); the last spread at once, and each node checks for itself
(`down_reports.py`).
"""

from __future__ import annotations

from collections.abc import Callable

from beamloom.protocol.view_messages import ViewDigest
from beamloom.replication.down_reports import DownReports
from beamloom.replication.silence_reports import SilenceReport, SilenceReports
from beamloom.units import MILLISECONDS

TELLING_SECONDS = 0.5
"""Reports are told this often at most; hundreds come where much fails."""

Told = list[tuple[str, str, int]]
"""Reports as a digest holds them: backend, reporter, milliseconds since."""


class BackendReports:
    """The reports of one node, whose id is `reporter`, and those that it has heard.

    `on_silent` and `on_failing` hear of backends that enough nodes have reported, since when, and
    the time; `on_sign_of_failure` of each report of a failure, and since when; `on_down` of those
    that another node has found dead.
    """

    def __init__(self, reporter: str) -> None:
        self.on_silent: Callable[[str, float, float], None] = lambda backend, at, now: None
        self.on_failing: Callable[[str, float, float], None] = lambda backend, at, now: None
        self.on_sign_of_failure: Callable[[str, float], None] = lambda backend, at: None
        self.on_down: Callable[[str, float], None] = lambda backend, now: None
        self._reporter = reporter
        self._silent = SilenceReports()
        self._failing = SilenceReports()
        self._down = DownReports()
        self._told_at = float("-inf")

    def note_silent(self, backend: str, now: float) -> None:
        """Note that a backend did not answer an opening of this node; others hear of it soon."""
        self._take_silent(SilenceReport(backend, self._reporter, now), now)

    def note_failing(self, backend: str, now: float) -> None:
        """Note that a backend answered with an error, it seems; others hear of it soon."""
        self._take_failing(SilenceReport(backend, self._reporter, now), now)

    def note_down(self, backend: str) -> None:
        """Note that this node has found a backend dead; others are to hear of it at once."""
        self._down.note(backend)

    def take_digest(self, digest: ViewDigest, now: float) -> None:
        """Take the reports that a peer tells."""
        for backend, reporter, age in digest.silent:
            self._take_silent(SilenceReport(backend, reporter, now - age / MILLISECONDS), now)
        for backend, reporter, age in digest.failing:
            self._take_failing(SilenceReport(backend, reporter, now - age / MILLISECONDS), now)

    def take_down(self, names: list[str], now: float) -> None:
        """Take backends that another node has found dead."""
        for backend in self._down.take(names, now):
            self.on_down(backend, now)

    def take_down_news(self, now: float) -> list[str]:
        """Return once the dead backends that other nodes are to be told of now."""
        return self._down.take_news(now)

    def take_news(self, now: float) -> bool:
        """Return once whether others are to be told now."""
        if now - self._told_at < TELLING_SECONDS:
            return False
        silent, failing = self._silent.take_news(), self._failing.take_news()
        if silent or failing:
            self._told_at = now
        return silent or failing

    def told(self, now: float) -> tuple[Told, Told]:
        """Return what a digest holds of silent and of failing backends."""
        return _told(self._silent, now), _told(self._failing, now)

    def _take_silent(self, report: SilenceReport, now: float) -> None:
        if self._silent.note(report, now):
            self.on_silent(report.backend, report.at, now)

    def _take_failing(self, report: SilenceReport, now: float) -> None:
        self.on_sign_of_failure(report.backend, report.at)
        if self._failing.note(report, now):
            self.on_failing(report.backend, report.at, now)


def _told(reports: SilenceReports, now: float) -> Told:
    return [
        (report.backend, report.reporter, max(0, int((now - report.at) * MILLISECONDS)))
        for report in reports.recent(now)
    ]
