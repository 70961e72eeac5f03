"""Answers that are much shorter than usual, and what nodes make of them."""

import random
import unittest

from beamloom.protocol.view_messages import ViewDigest
from beamloom.routing.tokens.answer_sizes import MIN_ANSWERS, AnswerSizes
from beamloom.routing.tokens.backend_table import MAX_FAILING_FRACTION
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.routing.tokens.placement import MIN_UNDOUBTED_FRACTION
from beamloom.routing.tokens.records import RequestKind, RouteTerms
from beamloom.settings.mechanisms import ALL_MECHANISMS
from tests.unit.tokens.builders import (
    DESTINATION,
    OTHER_DESTINATION,
    backend,
    make_core,
    make_router,
    opening,
    packet,
    put_terms_in_force,
)

START = 10.0
ERROR_BYTES = 210
SOME = range(1, 11)


class SizesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sizes = AnswerSizes()
        self.chance = random.Random(1)

    def usual(self, count: int) -> int:
        """Note usual answers; return how many counted as short."""
        drawn = (250 + round(self.chance.lognormvariate(6.7, 0.6)) for _ in range(count))
        return sum(self.sizes.note(DESTINATION, size) for size in drawn)

    def test_an_error_is_short_once_enough_is_known(self) -> None:
        self.assertFalse(self.sizes.note(DESTINATION, ERROR_BYTES))
        self.usual(200)
        self.assertTrue(self.sizes.note(DESTINATION, ERROR_BYTES))

    def test_a_new_node_judges_nothing(self) -> None:
        self.usual(MIN_ANSWERS - 2)
        self.assertFalse(self.sizes.note(DESTINATION, ERROR_BYTES))

    def test_usual_answers_hardly_ever_count_as_short(self) -> None:
        self.usual(200)
        self.assertLess(self.usual(5000) / 5000, 0.01)

    def test_each_destination_has_its_own_measure(self) -> None:
        self.usual(200)
        for _ in range(200):
            self.sizes.note(OTHER_DESTINATION, ERROR_BYTES)
        self.assertFalse(self.sizes.note(OTHER_DESTINATION, ERROR_BYTES))

    def test_where_many_are_short_it_says_nothing(self) -> None:
        self.usual(200)
        told = 0
        for _ in range(2000):
            size = ERROR_BYTES if self.chance.random() < 0.5 else 1000
            told += self.sizes.note(DESTINATION, size)
        self.assertLess(told, 100)


class FlowTest(unittest.TestCase):
    def test_what_a_client_acknowledges_tells_the_size(self) -> None:
        router = make_router(backend(1))
        heard: list[int] = []
        router.flows.on_short_answer = lambda held, now: heard.append(held.record.identity)
        command = router.handle(opening(1), START)
        assert isinstance(command, ForwardPacket)
        acknowledged, now = 0xFFFF_FFF0, START
        for number in range(60):
            now += 0.1
            size = ERROR_BYTES if number == 50 else 900
            token = command.token
            asked = packet(
                1, token=token, sequence=number, acknowledged=acknowledged, data_length=9
            )
            router.handle(asked, now)
            acknowledged = (acknowledged + size) & 0xFFFF_FFFF
            router.handle(packet(1, token=token, acknowledged=acknowledged), now + 0.02)
            self.assertEqual(len(heard), int(number >= 50))


class AvoidanceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = make_core(ALL_MECHANISMS, *(backend(number) for number in SOME))
        self.core.join_peers("10.0.0.1", ())
        self.client = 0

    def tell(self, *numbers: int, reporters: str = "ab") -> None:
        entries = [(backend(number).name, who, 0) for number in numbers for who in reporters]
        digest = ViewDigest([], [], [], failing=entries)
        self.core.handle_message("10.0.0.2", digest, START + 1.0)

    def identities(self) -> set[int]:
        found = set()
        for _ in SOME:
            self.client += 1
            command = self.core.router.handle(opening(self.client), START + 1.1)
            assert isinstance(command, ForwardPacket)
            found.add(command.identity)
        return found

    def test_what_answers_two_nodes_with_errors_is_passed_over(self) -> None:
        self.tell(7)
        self.assertNotIn(7, self.identities())

    def test_one_node_is_not_enough(self) -> None:
        put_terms_in_force(self.core, RouteTerms(kind=RequestKind.SAFE))
        self.tell(7, reporters="a")
        self.assertIn(7, self.identities())

    def test_one_node_is_enough_for_what_may_not_run_twice(self) -> None:
        self.tell(7, reporters="a")
        self.assertNotIn(7, self.identities())

    def test_one_node_does_not_turn_such_flows_from_most_of_a_service(self) -> None:
        most = SOME[: int(len(SOME) * MIN_UNDOUBTED_FRACTION) + 1]
        self.tell(*most, reporters="a")
        self.assertLess(set(most), self.identities())

    def test_never_more_than_a_share_of_a_service(self) -> None:
        self.tell(*SOME)
        self.assertEqual(len(self.identities()), len(SOME) - int(MAX_FAILING_FRACTION * len(SOME)))

    def test_open_flows_stay(self) -> None:
        command = self.core.router.handle(opening(99), START + 0.5)
        assert isinstance(command, ForwardPacket)
        self.tell(command.identity)
        data = packet(99, token=command.token, data_length=9)
        after = self.core.router.handle(data, START + 1.2)
        assert isinstance(after, ForwardPacket)
        self.assertEqual(after.identity, command.identity)
        self.assertEqual(len(self.core.router.resets), 0)
