"""Reports of backends that do not answer openings."""

import unittest

from beamloom.replication.silence_reports import (
    MAXIMUM_BACKENDS,
    MAXIMUM_REPORTS_SENT,
    REPORT_SECONDS,
    UPDATE_STEP_SECONDS,
    SilenceReport,
    SilenceReports,
)


class SilenceReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = SilenceReports()

    def note(self, reporter: str, at: float, now: float, backend: str = "b") -> bool:
        return self.reports.note(SilenceReport(backend, reporter, at), now)

    def test_one_reporter_is_not_enough(self) -> None:
        self.assertFalse(self.note("1", 10.0, 10.0))
        self.assertFalse(self.note("1", 11.5, 11.5))
        self.assertTrue(self.note("2", 11.6, 11.6))

    def test_reports_expire(self) -> None:
        self.note("1", 10.0, 10.0)
        self.assertFalse(self.note("2", 10.0 + REPORT_SECONDS, 10.0 + REPORT_SECONDS))
        self.assertFalse(self.note("3", 1.0, 20.0))
        self.assertEqual(self.reports.recent(20.0), [])

    def test_only_new_reports_are_forwarded(self) -> None:
        self.note("1", 10.0, 10.0)
        self.assertTrue(self.reports.take_unsent())
        self.assertFalse(self.reports.take_unsent())
        self.note("1", 10.0, 10.1)
        self.note("1", 10.0 + UPDATE_STEP_SECONDS / 2, 10.6)
        self.assertFalse(self.reports.take_unsent())
        self.note("1", 10.0 + UPDATE_STEP_SECONDS, 11.0)
        self.assertTrue(self.reports.take_unsent())

    def test_of_a_hundred_reporters_two_are_kept(self) -> None:
        for number in range(100):
            self.note(f"{number}", 10.0, 10.0)
        self.assertEqual(len(self.reports.recent(10.0)), 2)
        self.reports.take_unsent()
        self.assertTrue(self.note("late", 10.0 + UPDATE_STEP_SECONDS, 11.0))
        self.assertIn("late", [report.reporter for report in self.reports.recent(11.0)])

    def test_sent_reports_are_bounded(self) -> None:
        for number in range(MAXIMUM_BACKENDS + 50):
            self.note("1", 10.0, 10.0, backend=f"b{number}")
        self.assertEqual(len(self.reports.recent(10.0)), MAXIMUM_REPORTS_SENT)


if __name__ == "__main__":
    unittest.main()
