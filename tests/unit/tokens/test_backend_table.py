"""The backend table at the size to design for, and what it forgets."""

import time
import unittest

from beamloom.routing.tokens.backend_table import GONE_BACKEND_SECONDS, BackendTable
from tests.unit.tokens.builders import backend

LARGEST_FLEET = 4400


class BackendTableTest(unittest.TestCase):
    def test_a_list_costs_time_in_proportion_to_its_length(self) -> None:
        """Found by a sweep of 300 nodes: each record looked at all others."""
        small, large = self.cost(LARGEST_FLEET // 8), self.cost(LARGEST_FLEET)
        self.assertLess(large, 25 * small)

    def cost(self, count: int) -> float:
        """Return the least processor time of a few tries, in seconds."""
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

    def test_what_has_been_gone_for_long_is_forgotten(self) -> None:
        table = BackendTable()
        table.update(backend(1), 1, now=0.0)
        table.update(backend(2), 2, now=0.0)
        table.remove(backend(1).name, now=10.0)
        table.update(backend(3), 3, now=9.0 + GONE_BACKEND_SECONDS)
        self.assertEqual(len(table), 3)
        table.update(backend(4), 4, now=10.0 + GONE_BACKEND_SECONDS)
        self.assertEqual(len(table), 3)
        self.assertEqual({held.record.identity for held in table.all()}, {2, 3, 4})
