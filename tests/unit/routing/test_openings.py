"""Opening packets are kept within bounds; taking one frees its room."""

import unittest

from beamloom.routing.openings import KEPT_BYTES, KEPT_FLOWS, KeptOpenings


class KeptOpeningsTest(unittest.TestCase):
    def test_the_oldest_give_way_to_a_bound_in_bytes(self) -> None:
        openings = KeptOpenings()
        half = bytes(KEPT_BYTES // 2)
        for key in (1, 2, 3):
            openings.keep(key, half)
        self.assertIsNone(openings.take(1))
        self.assertEqual(openings.take(2), half)
        openings.keep(4, half)
        self.assertEqual((openings.take(3), openings.take(4)), (half, half))
        self.assertIsNone(openings.take(4))

    def test_a_packet_kept_anew_counts_once(self) -> None:
        openings = KeptOpenings()
        openings.keep(1, bytes(KEPT_BYTES // 2))
        for _ in range(3):
            openings.keep(2, bytes(KEPT_BYTES // 2))
        self.assertIsNotNone(openings.take(1))

    def test_the_oldest_give_way_to_a_bound_in_number(self) -> None:
        openings = KeptOpenings()
        for key in range(KEPT_FLOWS + 2):
            openings.keep(key, b"x")
        kept = [key for key in range(KEPT_FLOWS + 2) if openings.take(key)]
        self.assertEqual(kept, list(range(2, KEPT_FLOWS + 2)))


if __name__ == "__main__":
    unittest.main()
