"""The control budget bounds the bytes of every window and starves no priority."""

import unittest
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from beamloom.model.machines import NodeId
from beamloom.protocol.codec import KeyRing, encode_datagram
from beamloom.protocol.commands import SendMessage
from beamloom.protocol.messages import MESSAGE_TYPES, Message, Priority, register_message
from beamloom.replication.budget import NETWORK_HEADER_SIZE, WINDOW_SECONDS, ControlBudget

NODE = NodeId("node-0123")


@dataclass(frozen=True, slots=True)
class Filler(Message):
    number: int
    body: bytes


FILLERS = {
    priority: register_message(9100 + priority, priority)(
        type(f"Filler{priority.name}", (Filler,), {})
    )
    for priority in Priority
}


def tearDownModule() -> None:
    for priority in Priority:
        MESSAGE_TYPES.pop(9100 + priority)


def filler(priority: Priority, number: int, size: int, destination: str = "b") -> SendMessage:
    return SendMessage(NodeId(destination), FILLERS[priority](number, bytes(size)))


def run_to(budget: ControlBudget, start: float, end: float) -> list[tuple[float, object]]:
    """Release whenever the budget's timer is due; return each batch with its time."""
    sent: list[tuple[float, object]] = []
    now = start
    while now <= end:
        sent.extend((now, batch) for batch in budget.release(now))
        timer = budget.next_timer()
        if timer is None:
            break
        now = max(timer, now + 1e-4)
    return sent


class ReserveTest(unittest.TestCase):
    def test_flood_of_low_priorities_never_delays_membership_or_configuration(self) -> None:
        budget = ControlBudget(NODE, 0.0)
        number, now = 0, 0.0
        while now < 30.0:
            for priority in (Priority.REPLICA, Priority.STATUS, Priority.CACHE):
                number += 1
                budget.submit(filler(priority, number, 200, f"peer-{number}"), now)
            budget.release(now)
            if number % 30 == 0:
                for urgent in (Priority.MEMBERSHIP, Priority.CONFIGURATION):
                    budget.submit(filler(urgent, number, 300, f"peer-{number}"), now)
                budget.release(now)
                queues = budget.snapshot().priorities
                self.assertEqual(queues[Priority.MEMBERSHIP].queued_messages, 0)
                self.assertEqual(queues[Priority.CONFIGURATION].queued_messages, 0)
            now += 0.05
        queues = budget.snapshot().priorities
        self.assertGreater(queues[Priority.CACHE].queued_messages, 0)
        self.assertGreater(queues[Priority.CACHE].sent_messages, 0)


class ControlBudgetTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(st.floats(0, 3), st.sampled_from(list(Priority)), st.integers(0, 1200)),
            max_size=120,
        )
    )
    def test_no_window_carries_more_than_its_average(
        self, script: list[tuple[float, Priority, int]]
    ) -> None:
        budget, keys, now = ControlBudget(NODE, 0.0), KeyRing((b"k" * 16,)), 0.0
        sent: list[tuple[float, int]] = []
        for number, (pause, priority, size) in enumerate(script):
            budget.submit(filler(priority, number, size, f"node-{number % 3}"), now)
            batches = run_to(budget, now, now + pause)
            for moment, batch in batches:
                datagram = encode_datagram(keys, NODE, 2**40, 2**42, batch.messages)
                self.assertLessEqual(len(datagram) + NETWORK_HEADER_SIZE, batch.charged_bytes)
                sent.append((moment, batch.charged_bytes))
            now += pause
        for start, _ in sent:
            window = [size for moment, size in sent if start <= moment <= start + WINDOW_SECONDS]
            self.assertLessEqual(sum(window), 4096 * WINDOW_SECONDS)

    def test_flood_of_membership_starves_no_priority(self) -> None:
        budget = ControlBudget(NODE, 0.0)
        for number in range(400):
            budget.submit(filler(Priority.MEMBERSHIP, number, 900, "a"), 0.0)
        for priority in list(Priority)[1:]:
            budget.submit(filler(priority, 0, 300, priority.name), 0.0)
        sent = run_to(budget, 0.0, 30.0)
        for priority in Priority:
            self.assertGreater(budget.snapshot().priorities[priority].sent_messages, 0, priority)
        membership = [batch for _, batch in sent if batch.destination == "a"]
        self.assertGreater(len(membership), len(sent) * 0.8)

    def test_only_cache_is_dropped_and_identical_messages_are_sent_once(self) -> None:
        budget = ControlBudget(NODE, 0.0)
        for number in range(40):
            budget.submit(filler(Priority.CACHE, number, 1000), 0.0)
            budget.submit(filler(Priority.REPLICA, number, 1000), 0.0)
            budget.submit(filler(Priority.REPLICA, number, 1000), 0.0)
        run_to(budget, 0.0, 100.0)
        counters = budget.snapshot().priorities
        self.assertEqual(counters[Priority.REPLICA].sent_messages, 40)
        self.assertEqual(counters[Priority.REPLICA].coalesced_messages, 40)
        self.assertGreater(counters[Priority.REPLICA].longest_delay, 1.0)
        self.assertGreater(counters[Priority.CACHE].dropped_messages, 0)
        dropped, sent = counters[Priority.CACHE].dropped_messages, counters[Priority.CACHE]
        self.assertEqual(dropped + sent.sent_messages, 40)

    def test_messages_for_one_destination_share_a_datagram(self) -> None:
        budget = ControlBudget(NODE, 0.0)
        for priority in Priority:
            budget.submit(filler(priority, 1, 50), 0.0)
        (batch,) = budget.release(0.0)
        self.assertEqual(len(batch.messages), len(Priority))
        self.assertIsNone(budget.next_timer())
