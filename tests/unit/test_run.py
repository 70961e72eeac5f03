"""Failures of known red tests are reported; every other failure fails the run."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from tests import run

MODULE = "tests.unit.examples_for_run"
RED = f"{MODULE}.ExamplesTest.test_that_fails"


class KnownRedTest(unittest.TestCase):
    def test_a_failure_that_is_not_listed_fails_the_run(self) -> None:
        result = run.run_module(MODULE)
        self.assertEqual((result.passed, result.failed, result.known_red), (1, 1, ()))

    def test_a_listed_failure_is_reported_and_does_not_fail_the_run(self) -> None:
        result = run.run_module(MODULE, (RED,))
        self.assertEqual((result.passed, result.failed, result.known_red), (1, 0, (RED,)))
        self.assertIn("test_that_fails", result.report)

    def test_an_entry_for_another_test_does_not_excuse_a_failure(self) -> None:
        self.assertEqual(run.run_module(MODULE, (f"{MODULE}.Other.test",)).failed, 1)

    def test_entries_are_read_and_incomplete_ones_are_rejected(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "KNOWN-RED.txt"
            with mock.patch.object(run, "KNOWN_RED", path):
                self.assertEqual(run.read_known_red(), ())
                path.write_text(f"{RED}: a cause, issue 9; its command, seed 3\n")
                self.assertEqual(run.read_known_red(), (RED,))
                for entry in ("a", "a: b", "a: b, issue 9", "a: b; command", "a: issue; command"):
                    path.write_text(f"{RED}: a cause, issue 9; its command\n{entry}\n")
                    with self.assertRaises(SystemExit):
                        run.read_known_red()


if __name__ == "__main__":
    unittest.main()
