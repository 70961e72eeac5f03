"""Each sequence number of a sender is taken once, also when datagrams arrive out of order."""

import unittest

from beamloom.model.machines import NodeId
from beamloom.protocol.errors import ReplayedDatagramError
from beamloom.protocol.replay import MAXIMUM_SENDERS, WINDOW_SIZE, ReplayGuard

SENDER = NodeId("node-1")


class ReplayGuardTest(unittest.TestCase):
    def test_reordered_datagrams_pass_once_and_replayed_ones_never(self) -> None:
        guard = ReplayGuard()
        for sequence in (3, 1, 2):
            guard.check(SENDER, sequence)
        for sequence in (3, 1, 2, 0, -5):
            with self.assertRaises(ReplayedDatagramError):
                guard.check(SENDER, sequence)

    def test_what_lies_too_far_back_is_refused(self) -> None:
        guard = ReplayGuard()
        guard.check(SENDER, 1 + WINDOW_SIZE)
        with self.assertRaises(ReplayedDatagramError):
            guard.check(SENDER, 1)

    def test_memory_is_bounded(self) -> None:
        guard = ReplayGuard()
        for number in range(MAXIMUM_SENDERS + 10):
            guard.check(NodeId(f"node-{number}"), 1)
        self.assertLessEqual(len(guard._windows), MAXIMUM_SENDERS)
