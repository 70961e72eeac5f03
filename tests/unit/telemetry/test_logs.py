"""Log lines are limited per subject, and suppressed lines are counted."""

import io
import json
import unittest

import structlog

from beamloom.telemetry.log_format import LogFormat
from beamloom.telemetry.logs import (
    LINES_PER_WINDOW,
    MAXIMUM_SUBJECTS,
    WINDOW_SECONDS,
    LineLimit,
    configure_logs,
)


class LineLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.limit = LineLimit(lambda: self.now)

    def passes(self, subject: str) -> dict[str, object] | None:
        try:
            return dict(self.limit(None, "info", {"event": "state_changed", "subject": subject}))
        except structlog.DropEvent:
            return None

    def test_lines_of_a_flapping_subject_are_suppressed_and_counted(self) -> None:
        passed = [self.passes("a") for _ in range(LINES_PER_WINDOW + 5)]
        self.assertEqual(passed[LINES_PER_WINDOW:], [None] * 5)
        self.assertIsNotNone(self.passes("b"))
        self.now = WINDOW_SECONDS
        line = self.passes("a")
        assert line is not None
        self.assertEqual(line["suppressed_lines"], 5)
        self.assertEqual(self.limit.counters["suppressed"], 5)

    def test_many_subjects_take_bounded_memory(self) -> None:
        for number in range(3 * MAXIMUM_SUBJECTS):
            self.passes(str(number))
        self.assertLessEqual(len(self.limit._windows), MAXIMUM_SUBJECTS)


class ConfigureLogsTest(unittest.TestCase):
    def test_tracebacks_leave_out_the_values_of_variables(self) -> None:
        self.addCleanup(structlog.reset_defaults)
        for log_format in LogFormat:
            stream = io.StringIO()
            configure_logs(log_format, stream)
            try:
                key = "secret".upper()
                raise ValueError(len(key))
            except ValueError:
                structlog.get_logger().exception("fault", subject="x")
            with self.subTest(log_format):
                self.assertIn("Traceback", stream.getvalue())
                self.assertNotIn("SECRET", stream.getvalue())
            if log_format is LogFormat.JSON:
                self.assertEqual(json.loads(stream.getvalue())["subject"], "x")
