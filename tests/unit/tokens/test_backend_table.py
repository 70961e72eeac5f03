"""Cost of large updates of the backend table, and removal of old backends."""

import time
import unittest

from beamloom.routing.tokens.backend_table import GONE_BACKEND_SECONDS, BackendTable
from tests.unit.tokens.builders import backend

LARGEST_FLEET = 4400


class BackendTableTest(unittest.TestCase):
    def test_update_time_grows_linearly_with_the_list(self) -> None:
        """Guards against an update that scans all other backends."""
        small, large = self.cost(LARGEST_FLEET // 8), self.cost(LARGEST_FLEET)
        self.assertLess(large, 25 * small)

    def cost(self, count: int) -> float:
        """Return the minimum processor time of several runs, in seconds."""
        records = [backend(number, f"service-{number % 360}") for number in range(1, count + 1)]
        costs = []
        for _ in range(5):
            table = BackendTable()
            began = time.process_time()
            for revision, record in enumerate(records):
                table.update(record, revision, now=0.0)
            costs.append(time.process_time() - began)
            self.assertEqual(len(table), count)
        return min(costs)

    def test_backends_gone_for_long_are_removed(self) -> None:
        table = BackendTable()
        table.update(backend(1), 1, now=0.0)
        table.update(backend(2), 2, now=0.0)
        table.remove(backend(1).name, now=10.0)
        table.update(backend(3), 3, now=9.0 + GONE_BACKEND_SECONDS)
        self.assertEqual(len(table), 3)
        table.update(backend(4), 4, now=10.0 + GONE_BACKEND_SECONDS)
        self.assertEqual(len(table), 3)
        self.assertEqual({held.record.identity for held in table.all()}, {2, 3, 4})
