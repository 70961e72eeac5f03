"""Two tests for test_run.py, one of which fails; the runner does not find this module."""

import unittest


class ExamplesTest(unittest.TestCase):
    def test_that_passes(self) -> None:
        self.assertTrue(True)

    def test_that_fails(self) -> None:
        self.fail("expected failure")
