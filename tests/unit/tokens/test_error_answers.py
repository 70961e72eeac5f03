"""Unusually short answers, and how nodes avoid the backends that send them."""

import random
import unittest

from beamloom.protocol.view_messages import ViewDigest
from beamloom.routing.tokens.answer_sizes import MINIMUM_ANSWERS, AnswerSizes
from beamloom.routing.tokens.backend_table import MAXIMUM_FAILING_FRACTION
from beamloom.routing.tokens.packets import ForwardPacket
from beamloom.routing.tokens.placement import MINIMUM_UNDOUBTED_FRACTION
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
NUMBERS = range(1, 11)


class SizesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.sizes = AnswerSizes()
        self.rng = random.Random(1)

    def add_usual(self, count: int) -> int:
        """Add answers of usual sizes; return how many counted as short."""
        drawn = (250 + round(self.rng.lognormvariate(6.7, 0.6)) for _ in range(count))
        return sum(self.sizes.note(DESTINATION, size) for size in drawn)

    def test_an_error_is_short_after_enough_answers(self) -> None:
        self.assertFalse(self.sizes.note(DESTINATION, ERROR_BYTES))
        self.add_usual(200)
        self.assertTrue(self.sizes.note(DESTINATION, ERROR_BYTES))

    def test_nothing_is_short_before_enough_answers(self) -> None:
        self.add_usual(MINIMUM_ANSWERS - 2)
        self.assertFalse(self.sizes.note(DESTINATION, ERROR_BYTES))

    def test_usual_answers_rarely_count_as_short(self) -> None:
        self.add_usual(200)
        self.assertLess(self.add_usual(5000) / 5000, 0.01)

    def test_each_destination_has_its_own_threshold(self) -> None:
        self.add_usual(200)
        for _ in range(200):
            self.sizes.note(OTHER_DESTINATION, ERROR_BYTES)
        self.assertFalse(self.sizes.note(OTHER_DESTINATION, ERROR_BYTES))

    def test_short_answers_are_not_unusual_if_there_are_many(self) -> None:
        self.add_usual(200)
        short = 0
        for _ in range(2000):
            size = ERROR_BYTES if self.rng.random() < 0.5 else 1000
            short += self.sizes.note(DESTINATION, size)
        self.assertLess(short, 100)


class FlowTest(unittest.TestCase):
    def test_the_size_of_an_answer_is_what_the_client_acknowledges(self) -> None:
        router = make_router(backend(1))
        reported: list[int] = []
        router.flows.on_short_answer = lambda held, now: reported.append(held.record.identity)
        command = router.handle(opening(1), START)
        assert isinstance(command, ForwardPacket)
        acknowledged, now = 0xFFFF_FFF0, START
        for number in range(60):
            now += 0.1
            size = ERROR_BYTES if number == 50 else 900
            token = command.token
            request = packet(
                1, token=token, sequence=number, acknowledged=acknowledged, data_length=9
            )
            router.handle(request, now)
            acknowledged = (acknowledged + size) & 0xFFFF_FFFF
            router.handle(packet(1, token=token, acknowledged=acknowledged), now + 0.02)
            self.assertEqual(len(reported), int(number >= 50))


class AvoidanceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.core = make_core(ALL_MECHANISMS, *(backend(number) for number in NUMBERS))
        self.core.join_peers("10.0.0.1", ())
        self.client = 0

    def report_failing(self, *numbers: int, reporters: str = "ab") -> None:
        entries = [(backend(number).name, who, 0) for number in numbers for who in reporters]
        digest = ViewDigest([], [], [], failing=entries)
        self.core.handle_message("10.0.0.2", digest, START + 1.0)

    def identities(self) -> set[int]:
        found = set()
        for _ in NUMBERS:
            self.client += 1
            command = self.core.router.handle(opening(self.client), START + 1.1)
            assert isinstance(command, ForwardPacket)
            found.add(command.identity)
        return found

    def test_a_backend_reported_by_two_nodes_is_avoided(self) -> None:
        self.report_failing(7)
        self.assertNotIn(7, self.identities())

    def test_a_report_of_one_node_is_not_enough(self) -> None:
        put_terms_in_force(self.core, RouteTerms(kind=RequestKind.SAFE))
        self.report_failing(7, reporters="a")
        self.assertIn(7, self.identities())

    def test_a_report_of_one_node_is_enough_for_unrepeatable_requests(self) -> None:
        self.report_failing(7, reporters="a")
        self.assertNotIn(7, self.identities())

    def test_reports_of_one_node_on_most_of_a_service_are_ignored(self) -> None:
        most = NUMBERS[: int(len(NUMBERS) * MINIMUM_UNDOUBTED_FRACTION) + 1]
        self.report_failing(*most, reporters="a")
        self.assertLess(set(most), self.identities())

    def test_at_most_a_fraction_of_a_service_is_avoided(self) -> None:
        self.report_failing(*NUMBERS)
        self.assertEqual(
            len(self.identities()), len(NUMBERS) - int(MAXIMUM_FAILING_FRACTION * len(NUMBERS))
        )

    def test_open_flows_stay_at_a_failing_backend(self) -> None:
        command = self.core.router.handle(opening(99), START + 0.5)
        assert isinstance(command, ForwardPacket)
        self.report_failing(command.identity)
        data = packet(99, token=command.token, data_length=9)
        after = self.core.router.handle(data, START + 1.2)
        assert isinstance(after, ForwardPacket)
        self.assertEqual(after.identity, command.identity)
        self.assertEqual(len(self.core.router.resets), 0)
