import random
import unittest
from collections import Counter

from beamloom.model.machines import MemberState, NodeId
from beamloom.replication.backend_status.assignment import WatcherAssignment
from tests.unit.backend_status.fleet import make_member

NUMBERS = range(1, 201)


def assign_watchers(members: list) -> WatcherAssignment:
    assignment = WatcherAssignment()
    assignment.update_backends(NUMBERS)
    assignment.update_members(members)
    return assignment


class WatcherAssignmentTest(unittest.TestCase):
    def test_number_of_watchers_is_limited_by_the_number_of_members(self) -> None:
        self.assertEqual(assign_watchers([]).watchers(1), ())
        self.assertEqual(assign_watchers([make_member(0)]).watchers(1), ("node-0",))
        self.assertEqual(assign_watchers([make_member(0)]).watched_by(NodeId("node-9")), [])
        one_zone = assign_watchers([make_member(0, zones=1), make_member(1, zones=1)])
        self.assertEqual(set(one_zone.watchers(1)), {"node-0", "node-1"})

    def test_leaving_members_watch_no_backend(self) -> None:
        leaving = make_member(0, state=MemberState.LEAVING)
        self.assertEqual(assign_watchers([leaving, make_member(1)]).watchers(5), ("node-1",))

    def test_watchers_are_in_different_zones_and_evenly_spread(self) -> None:
        assignment = assign_watchers([make_member(index) for index in range(20)])
        counts: Counter[str] = Counter()
        for number in NUMBERS:
            first, second = assignment.watchers(number)
            zones = {int(node.split("-")[1]) % 3 for node in (first, second)}
            self.assertEqual(len(zones), 2)
            counts.update((first, second))
        self.assertLess(max(counts.values()), 2.5 * 2 * len(NUMBERS) / 20)

    def test_incremental_updates_give_the_same_result_as_a_full_computation(self) -> None:
        rng = random.Random(3)
        for zones in (1, 2, 3):
            present: dict[int, object] = {}
            incremental = assign_watchers([])
            for _ in range(60):
                index = rng.randrange(12)
                if index in present:
                    del present[index]
                else:
                    present[index] = make_member(index, zones)
                incremental.update_members(list(present.values()))
                expected = assign_watchers(list(present.values()))
                for number in NUMBERS:
                    self.assertEqual(incremental.watchers(number), expected.watchers(number))


if __name__ == "__main__":
    unittest.main()
