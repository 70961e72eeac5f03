"""Failures that `beamloom fuzz` found, each with the seed of its search."""

import unittest

from beamloom.fuzzing.steps import Step, run_steps
from beamloom.fuzzing.subjects.fleet import FleetSubject


class RegressionTest(unittest.TestCase):
    def test_fleet_seed_1_streams_opened_while_a_fleet_starts(self) -> None:
        """Two nodes considered themselves the home of a flow, and its second packet was reset."""
        steps = (
            Step("begin", {"seed": 50, "nodes": 4, "failures": False}),
            Step("open_streams", {"service": 0, "count": 10}),
        )
        self.assertIsNone(run_steps("fleet", FleetSubject, steps))


if __name__ == "__main__":
    unittest.main()
