"""The comparison of a site's days with their baseline."""

import sys
import unittest
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "tools"))

from regression import NOISE_WORTH, DayChange, compare, read_worths

OUTPUT = """
day                  own/srv  score  worth served refused failed  weakest part
quiet-1                 8/18   0.76  0.970  0.999   0.000  0.000  worst windows 0.99
fresh-c844              8/18   1.00  0.963  0.992   0.000  0.000  worst windows 0.90
GATE passed
"""


class RegressionTest(unittest.TestCase):
    def test_worths_are_parsed_from_the_output(self) -> None:
        self.assertEqual(read_worths(OUTPUT), {"quiet-1": 0.970, "fresh-c844": 0.963})

    def test_only_a_drop_above_the_noise_counts(self) -> None:
        for change, fell in ((0.0, False), (NOISE_WORTH - 0.001, False), (0.006, True)):
            with self.subTest(change=change):
                self.assertIs(DayChange("site", "day", 0.9, 0.9 - change).fell, fell)

    def test_a_day_without_a_baseline_did_not_fall(self) -> None:
        changes = compare("site", read_worths(OUTPUT), {"site": {"quiet-1": 0.99}})
        self.assertEqual([change.fell for change in changes], [True, False])
        self.assertIn("FELL", changes[0].row)
        self.assertNotIn("FELL", changes[1].row)


if __name__ == "__main__":
    unittest.main()
