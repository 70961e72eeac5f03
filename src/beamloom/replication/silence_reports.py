"""Which backends do not answer, or with errors, as far as nodes have told each other lately.

In a large fleet a node opens few flows at a backend, so each node by itself would need seconds, and
clients' time, to find out what others know. One node's word is not enough: its own way to the
backend may be cut. Reports run out by themselves.
"""

from __future__ import annotations

from typing import NamedTuple

REPORT_SECONDS = 3.0
"""How long a report counts; a backend that still does not answer is reported again."""
FORGET_EACH_SECONDS = 0.5
REPORTERS_NEEDED = 2
MAXIMUM_BACKENDS = 256
REPORTS_TOLD = 8
NEWS_SECONDS = 1.0
"""A report is passed on if it is new, or newer by so much than what was known."""


class SilenceReport(NamedTuple):
    """A node found that a backend did not answer an opening, or with an error; `at` in seconds."""

    backend: str
    reporter: str
    at: float


class SilenceReports:
    """What a node knows of such reports, its own among them."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, float]] = {}
        self._news = False
        self._forgot_at = float("-inf")

    def note(self, report: SilenceReport, now: float) -> bool:
        """Take a report; return whether enough nodes have now reported that backend."""
        if now - report.at >= REPORT_SECONDS:
            return False
        self._forget_old(now)
        reporters = self._reports.get(report.backend)
        if reporters is None:
            if len(self._reports) >= MAXIMUM_BACKENDS:
                return False
            reporters = self._reports[report.backend] = {}
        if _take(reporters, report):
            self._news = True
        return len(reporters) >= REPORTERS_NEEDED

    def take_news(self) -> bool:
        """Return once whether there is something that others may not know."""
        news, self._news = self._news, False
        return news

    def recent(self, now: float) -> list[SilenceReport]:
        """Return the reports that others are to be told, the latest first."""
        self._forget_old(now)
        reports = [
            SilenceReport(backend, reporter, at)
            for backend, reporters in self._reports.items()
            for reporter, at in reporters.items()
        ]
        reports.sort(key=lambda report: -report.at)
        return reports[:REPORTS_TOLD]

    def _forget_old(self, now: float) -> None:
        if now - self._forgot_at < FORGET_EACH_SECONDS:
            return
        self._forgot_at = now
        kept = {
            backend: {who: at for who, at in reporters.items() if now - at < REPORT_SECONDS}
            for backend, reporters in self._reports.items()
        }
        self._reports = {backend: reporters for backend, reporters in kept.items() if reporters}


def _take(reporters: dict[str, float], report: SilenceReport) -> bool:
    """Keep a report if it is news; the latest of REPORTERS_NEEDED reporters are enough."""
    replaced: str | None = report.reporter if report.reporter in reporters else None
    if replaced is None and len(reporters) >= REPORTERS_NEEDED:
        replaced = min(reporters, key=lambda reporter: reporters[reporter])
    if replaced is not None:
        if report.at - reporters[replaced] < NEWS_SECONDS:
            return False
        del reporters[replaced]
    reporters[report.reporter] = report.at
    return True
