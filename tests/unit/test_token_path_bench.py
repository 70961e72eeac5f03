"""The measurement of the token path runs and reports plausible figures."""

import unittest

from beamloom.bench.token_path import measure_token_path


class TokenPathBenchTest(unittest.TestCase):
    def test_it_measures_with_and_without_the_log(self) -> None:
        cost = measure_token_path(packets=1200, rounds=1)
        self.assertGreater(cost.without_log, 0.1)
        self.assertGreater(cost.with_log, 0.1)
