"""The buffer of opening packets keeps to its limits of packets and bytes."""

import unittest

from beamloom.routing.packet_buffers import (
    MAXIMUM_OPENING_BYTES,
    MAXIMUM_OPENING_PACKETS,
    OpeningPacketBuffer,
)


class OpeningPacketBufferTest(unittest.TestCase):
    def test_the_oldest_are_dropped_at_the_limit_of_bytes(self) -> None:
        openings = OpeningPacketBuffer()
        half = bytes(MAXIMUM_OPENING_BYTES // 2)
        for key in (1, 2, 3):
            openings.keep(key, half)
        self.assertIsNone(openings.take(1))
        self.assertEqual(openings.take(2), half)
        openings.keep(4, half)
        self.assertEqual((openings.take(3), openings.take(4)), (half, half))
        self.assertIsNone(openings.take(4))

    def test_a_replaced_packet_counts_once(self) -> None:
        openings = OpeningPacketBuffer()
        openings.keep(1, bytes(MAXIMUM_OPENING_BYTES // 2))
        for _ in range(3):
            openings.keep(2, bytes(MAXIMUM_OPENING_BYTES // 2))
        self.assertIsNotNone(openings.take(1))

    def test_the_oldest_are_dropped_at_the_limit_of_packets(self) -> None:
        openings = OpeningPacketBuffer()
        for key in range(MAXIMUM_OPENING_PACKETS + 2):
            openings.keep(key, b"x")
        kept = [key for key in range(MAXIMUM_OPENING_PACKETS + 2) if openings.take(key)]
        self.assertEqual(kept, list(range(2, MAXIMUM_OPENING_PACKETS + 2)))


if __name__ == "__main__":
    unittest.main()
