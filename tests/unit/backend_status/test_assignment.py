import random
import unittest
from collections import Counter

from beamloom.model.machines import MemberState, NodeId
from beamloom.replication.backend_status.assignment import WatcherAssignment
from tests.unit.backend_status.fleet import make_member

NUMBERS = range(1, 201)


def fresh(members: list) -> WatcherAssignment:
    assignment = WatcherAssignment()
    assignment.update_backends(NUMBERS)
    assignment.update_members(members)
    return assignment


class WatcherAssignmentTest(unittest.TestCase):
    def test_few_or_no_members_leave_fewer_watchers(self) -> None:
        self.assertEqual(fresh([]).watchers(1), ())
        self.assertEqual(fresh([make_member(0)]).watchers(1), ("node-0",))
        self.assertEqual(fresh([make_member(0)]).watched_by(NodeId("node-9")), [])
        one_zone = fresh([make_member(0, zones=1), make_member(1, zones=1)])
        self.assertEqual(set(one_zone.watchers(1)), {"node-0", "node-1"})

    def test_members_that_may_not_be_home_watch_nothing(self) -> None:
        leaving = make_member(0, state=MemberState.LEAVING)
        self.assertEqual(fresh([leaving, make_member(1)]).watchers(5), ("node-1",))

    def test_watchers_differ_in_zone_and_the_load_is_spread(self) -> None:
        assignment = fresh([make_member(index) for index in range(20)])
        counts: Counter[str] = Counter()
        for number in NUMBERS:
            first, second = assignment.watchers(number)
            zones = {int(node.split("-")[1]) % 3 for node in (first, second)}
            self.assertEqual(len(zones), 2)
            counts.update((first, second))
        self.assertLess(max(counts.values()), 2.5 * 2 * len(NUMBERS) / 20)

    def test_any_order_of_changes_gives_the_same_as_a_fresh_start(self) -> None:
        source = random.Random(3)
        for zones in (1, 2, 3):
            present: dict[int, object] = {}
            kept = fresh([])
            for _ in range(60):
                index = source.randrange(12)
                if index in present:
                    del present[index]
                else:
                    present[index] = make_member(index, zones)
                kept.update_members(list(present.values()))
                expected = fresh(list(present.values()))
                for number in NUMBERS:
                    self.assertEqual(kept.watchers(number), expected.watchers(number))


if __name__ == "__main__":
    unittest.main()
