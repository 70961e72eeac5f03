"""The gossip queue: its rate limit, and the order in which updates are sent."""

import unittest

from beamloom.membership.dissemination import LONG_QUEUE, UpdateQueue, update_size
from beamloom.membership.settings import MembershipSettings
from beamloom.model.machines import MemberState, NodeId
from beamloom.protocol.membership_messages import MemberUpdate, WireUpdate, decode_update

SETTINGS = MembershipSettings()
MEMBERS = 560


def update(number: int, state: MemberState) -> MemberUpdate:
    accuser = NodeId("node-0000") if state is MemberState.SUSPECT else None
    return MemberUpdate(NodeId(f"node-{number:04d}"), state, 0, accuser)


def states(taken: list[WireUpdate]) -> list[MemberState]:
    return [decode_update(parts).state for parts in taken]


class UpdateQueueTest(unittest.TestCase):
    def test_many_deaths_stay_within_the_rate_limit(self) -> None:
        queue = UpdateQueue(SETTINGS)
        sent = 0
        for step in range(1000):
            queue.refill(step / 100)
            queue.add(update(step, MemberState.DEAD))
            sent += sum(update_size(decode_update(parts)) for parts in queue.take(MEMBERS))
        bound = SETTINGS.update_burst_bytes + 10 * SETTINGS.update_bytes_per_second
        self.assertLessEqual(sent, bound)
        self.assertGreater(sent, 0.9 * bound)

    def test_long_queue_sends_deaths_before_suspicions(self) -> None:
        queue = UpdateQueue(SETTINGS)
        for number in range(LONG_QUEUE):
            queue.add(update(number, MemberState.SUSPECT))
        queue.add(update(LONG_QUEUE, MemberState.DEAD))
        self.assertIs(states(queue.take(MEMBERS))[0], MemberState.DEAD)

    def test_short_queue_sends_the_least_sent_update_first(self) -> None:
        queue = UpdateQueue(SETTINGS)
        queue.add(update(1, MemberState.DEAD))
        queue.take(MEMBERS)
        queue.add(update(2, MemberState.SUSPECT))
        taken = states(queue.take(MEMBERS))
        self.assertEqual(taken, [MemberState.SUSPECT, MemberState.DEAD])

    def test_no_datagram_is_ready_without_byte_allowance(self) -> None:
        queue = UpdateQueue(SETTINGS)
        queue.refill(0.0)
        self.assertFalse(queue.datagram_ready)
        for number in range(200):
            queue.add(update(number, MemberState.DEAD))
        while queue.take(MEMBERS):
            self.assertTrue(len(queue))
        self.assertFalse(queue.datagram_ready)
        queue.refill(10.0)
        self.assertTrue(queue.datagram_ready)


if __name__ == "__main__":
    unittest.main()
