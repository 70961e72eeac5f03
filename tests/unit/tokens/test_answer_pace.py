"""Average answer times of backends, and their effect on placement."""

import unittest

from beamloom.routing.tokens.answer_pace import (
    HALF_LIFE_SECONDS,
    MAXIMUM_SLOWDOWN,
    MINIMUM_SAMPLES,
    AnswerPace,
    typical_seconds,
)
from beamloom.routing.tokens.backend_table import Backend
from beamloom.routing.tokens.packets import ForwardPacket, PacketKind
from beamloom.routing.tokens.router import TokenRouter
from tests.unit.tokens.builders import backend, make_router, opening, packet

TYPICAL_SECONDS = 0.05


def pace_of(*seconds: float, now: float = 0.0) -> AnswerPace:
    pace = AnswerPace()
    for value in seconds:
        pace.note(value, now)
    return pace


class AnswerPaceTest(unittest.TestCase):
    def test_few_answers_give_no_slowdown(self) -> None:
        pace = pace_of(*[1.0] * (MINIMUM_SAMPLES - 1))
        self.assertEqual(pace.slowdown(TYPICAL_SECONDS, 0.0), 1.0)

    def test_normal_variation_is_not_slow(self) -> None:
        pace = pace_of(0.03, 0.08, 0.06, 0.04, 0.09)
        self.assertEqual(pace.slowdown(TYPICAL_SECONDS, 0.0), 1.0)

    def test_slowdown_is_bounded_and_decays(self) -> None:
        pace = pace_of(*[10 * TYPICAL_SECONDS] * 5)
        self.assertEqual(pace.slowdown(TYPICAL_SECONDS, 0.0), MAXIMUM_SLOWDOWN)
        later = pace.slowdown(TYPICAL_SECONDS, HALF_LIFE_SECONDS)
        self.assertAlmostEqual(later, 1.0 + (MAXIMUM_SLOWDOWN - 1.0) / 2)

    def test_the_typical_time_is_the_median_of_the_known_averages(self) -> None:
        slow = pace_of(*[1.0] * 5)
        usual = [pace_of(*[TYPICAL_SECONDS] * 5) for _ in range(2)]
        self.assertEqual(typical_seconds([slow, *usual, AnswerPace()]), TYPICAL_SECONDS)
        self.assertEqual(typical_seconds([slow, usual[0]]), TYPICAL_SECONDS)
        self.assertEqual(typical_seconds([AnswerPace()]), 0.0)


class SlowBackendTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router = make_router(backend(1), backend(2, zone="far"), backend(3, zone="far"))
        self.near, *self.far = self.router.backends.of_service("tracker")

    def record_answers(self, held: Backend, seconds: float) -> None:
        for _ in range(MINIMUM_SAMPLES):
            held.pace.note(seconds, 0.0)

    def chosen(self, router: TokenRouter) -> int:
        command = router.handle(opening(1), 0.0)
        assert isinstance(command, ForwardPacket)
        return command.identity

    def test_new_flows_avoid_a_slow_backend_in_the_own_zone(self) -> None:
        for held in self.far:
            self.record_answers(held, TYPICAL_SECONDS)
        self.record_answers(self.near, 6 * TYPICAL_SECONDS)
        self.assertIn(self.chosen(self.router), (2, 3))

    def test_a_backend_in_warm_up_is_compared_by_answer_times_only(self) -> None:
        for near_seconds, expected in ((TYPICAL_SECONDS, 1), (6 * TYPICAL_SECONDS, 2)):
            router = make_router(backend(1, warm_up=5.0), backend(2, zone="far"))
            near, far = router.backends.of_service("tracker")
            self.record_answers(far, TYPICAL_SECONDS)
            self.record_answers(near, near_seconds)
            self.assertEqual(self.chosen(router), expected)

    def test_answers_are_timed_by_acknowledgements_and_by_the_end_of_the_flow(self) -> None:
        command = self.router.handle(opening(1), 0.0)
        assert isinstance(command, ForwardPacket)
        token = command.token
        data = packet(1, token=token, sequence=5, acknowledged=7, data_length=100)
        self.router.handle(data, 1.0)
        self.router.handle(packet(1, token=token, sequence=6, acknowledged=9), 1.2)
        self.assertEqual(self.near.pace.count, 1)
        self.assertAlmostEqual(self.near.pace.seconds, 0.2)
        self.router.handle(data._replace(sequence=8), 2.0)
        self.router.handle(packet(1, PacketKind.END, token=token), 2.4)
        self.assertEqual(self.near.pace.count, 2)
        self.router.handle(packet(1, PacketKind.END, token=token), 2.5)
        self.assertEqual(self.near.pace.count, 2)


if __name__ == "__main__":
    unittest.main()
