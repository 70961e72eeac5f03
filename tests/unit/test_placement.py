"""Placement is bounded by weight and moves few slots when one backend changes."""

import unittest
from collections import Counter

from beamloom.model.addresses import SocketAddress
from beamloom.model.contracts import Backend, BackendAdministrativeState, Generation
from beamloom.routing.hashing import SLOT_COUNT
from beamloom.routing.placement import NO_CANDIDATE, build_placement_table


def backend(number: int, weight: int = 100, draining: bool = False) -> Backend:
    state = BackendAdministrativeState.DRAINING if draining else BackendAdministrativeState.ACTIVE
    address = SocketAddress("127.0.0.1", 1000 + number)
    return Backend(f"b{number}", number, address, address, "zone", weight, state)


def generation(*backends: Backend) -> Generation:
    return Generation(1, backends)


class PlacementTest(unittest.TestCase):
    def test_no_backend_takes_more_than_its_share(self) -> None:
        table = build_placement_table(generation(*(backend(number) for number in range(7))))
        counts = Counter(table.first)
        self.assertLessEqual(max(counts.values()), -(-SLOT_COUNT // 7))
        self.assertEqual(len(counts), 7)

    def test_weights_set_the_share(self) -> None:
        table = build_placement_table(generation(backend(1, 100), backend(2, 300)))
        self.assertEqual(Counter(table.first), {1: SLOT_COUNT // 4, 2: SLOT_COUNT * 3 // 4})

    def test_draining_backends_and_an_empty_set_get_nothing(self) -> None:
        table = build_placement_table(generation(backend(1, draining=True)))
        self.assertEqual(set(table.first), {NO_CANDIDATE})

    def test_candidates_differ(self) -> None:
        table = build_placement_table(generation(*(backend(number) for number in range(3))))
        self.assertTrue(all(a != b for a, b in zip(table.first, table.second, strict=True)))

    def test_one_leaving_backend_moves_little_else(self) -> None:
        before = build_placement_table(generation(*(backend(number) for number in range(12))))
        after = build_placement_table(
            generation(backend(0, draining=True), *(backend(number) for number in range(1, 12)))
        )
        moved = sum(
            old != new for old, new in zip(before.first, after.first, strict=True) if old != 0
        )
        self.assertLessEqual(moved, SLOT_COUNT // 10)
