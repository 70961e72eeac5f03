"""The sweep of the flow table finds every expired entry and no removed one."""

import random
import unittest

from beamloom.routing.flow_table import SWEEP_ROWS, FlowTable


class SweepTest(unittest.TestCase):
    def test_one_sweep_finds_exactly_the_expired_entries(self) -> None:
        rng = random.Random(5)
        table = FlowTable()
        deadlines = {rng.getrandbits(60): float(rng.randint(0, 20)) for _ in range(5000)}
        for key, deadline in deadlines.items():
            table.insert(key, 1, 0, deadline, 0.0)
        for key in list(deadlines)[::7]:
            table.remove(key)
            del deadlines[key]
        found: list[int] = []
        for _ in range(-(-5000 // SWEEP_ROWS)):
            found.extend(table.expired(10.0))
        self.assertEqual(sorted(found), sorted(k for k, end in deadlines.items() if end <= 10.0))

    def test_a_reused_row_expires_at_its_new_deadline(self) -> None:
        table = FlowTable()
        table.insert(1, 1, 0, 5.0, 0.0)
        table.remove(1)
        self.assertEqual(table.expired(9.0), [])
        table.insert(2, 1, 0, 20.0, 9.0)
        self.assertEqual(table.expired(19.0), [])
        self.assertEqual(table.expired(20.0), [2])

    def test_the_table_may_grow_during_a_sweep(self) -> None:
        table = FlowTable()
        for key in range(3 * SWEEP_ROWS):
            table.insert(key, 1, 0, 1.0, 0.0)
            if key % SWEEP_ROWS == 0:
                table.expired(0.0)
        self.assertEqual(len(table), 3 * SWEEP_ROWS)


if __name__ == "__main__":
    unittest.main()
