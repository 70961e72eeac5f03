"""Each sequence number of a sender is accepted once, also when datagrams arrive out of order."""

import unittest

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import ReplayedDatagramError
from beamloom.protocol.replay import MAXIMUM_SENDERS, WINDOW_SIZE, ReplayGuard

SENDER = NodeId("node-1")


class ReplayGuardTest(unittest.TestCase):
    def test_reordered_datagrams_are_accepted_once_and_replayed_ones_rejected(self) -> None:
        guard = ReplayGuard()
        for sequence in (3, 1, 2):
            guard.check(SENDER, sequence)
        for sequence in (3, 1, 2, 0, -5):
            with self.assertRaises(ReplayedDatagramError):
                guard.check(SENDER, sequence)

    def test_sequence_numbers_below_the_window_are_rejected(self) -> None:
        guard = ReplayGuard()
        guard.check(SENDER, 1 + WINDOW_SIZE)
        with self.assertRaises(ReplayedDatagramError):
            guard.check(SENDER, 1)

    def test_memory_is_bounded(self) -> None:
        guard = ReplayGuard()
        for number in range(MAXIMUM_SENDERS + 10):
            guard.check(NodeId(f"node-{number}"), 1)
        self.assertLessEqual(len(guard._windows), MAXIMUM_SENDERS)
