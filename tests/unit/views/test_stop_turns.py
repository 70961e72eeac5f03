"""Planned stops of a zone's nodes are staggered, without waiting for nodes that do not return."""

import unittest

from beamloom.replication.stop_turns import (
    ANNOUNCEMENT_DELAY_SECONDS,
    AWAY_TIMEOUT_SECONDS,
    StopState,
    StopTurns,
)

ZONE_OF_THREE = 3
SOON = ANNOUNCEMENT_DELAY_SECONDS + 0.01


class StopTurnsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.turns = StopTurns("10.0.0.2")

    def test_single_stop_is_allowed_after_the_initial_delay(self) -> None:
        self.turns.request_stop(10.0)
        self.assertIs(self.turns.state, StopState.WAITING)
        self.assertFalse(self.turns.may_stop(ZONE_OF_THREE, 10.0))
        self.assertTrue(self.turns.may_stop(ZONE_OF_THREE, 10.0 + SOON))
        self.turns.start_stop()
        self.assertIs(self.turns.state, StopState.AWAY)

    def test_node_waits_until_the_one_that_is_away_returns(self) -> None:
        self.turns.note_peer("10.0.0.9", StopState.AWAY, 9.0)
        self.turns.request_stop(10.0)
        self.assertFalse(self.turns.may_stop(ZONE_OF_THREE, 11.0))
        self.turns.note_peer("10.0.0.9", StopState.SERVING, 11.0)
        self.assertTrue(self.turns.may_stop(ZONE_OF_THREE, 11.0))

    def test_node_that_does_not_return_blocks_only_until_a_timeout(self) -> None:
        self.turns.note_peer("10.0.0.9", StopState.AWAY, 9.0)
        self.turns.note_peer("10.0.0.9", StopState.AWAY, 12.0)
        self.turns.request_stop(10.0)
        self.assertFalse(self.turns.may_stop(ZONE_OF_THREE, 8.9 + AWAY_TIMEOUT_SECONDS))
        self.assertTrue(self.turns.may_stop(ZONE_OF_THREE, 9.1 + AWAY_TIMEOUT_SECONDS))

    def test_number_of_nodes_away_depends_on_the_size_of_the_zone(self) -> None:
        self.turns.note_peer("10.0.0.9", StopState.AWAY, 9.9)
        self.turns.request_stop(10.0)
        for nodes, expected in ((2, False), (3, False), (4, True), (29, True)):
            with self.subTest(nodes=nodes):
                self.assertEqual(self.turns.may_stop(nodes, 10.0 + SOON), expected)

    def test_of_two_nodes_asked_at_the_same_time_the_lower_host_stops_first(self) -> None:
        other = StopTurns("10.0.0.7")
        for turns in (self.turns, other):
            turns.request_stop(10.0)
        self.turns.note_peer("10.0.0.7", StopState.WAITING, 10.001)
        other.note_peer("10.0.0.2", StopState.WAITING, 10.001)
        self.assertTrue(self.turns.may_stop(ZONE_OF_THREE, 10.0 + SOON))
        self.assertFalse(other.may_stop(ZONE_OF_THREE, 10.0 + SOON))

    def test_node_that_was_asked_earlier_stops_first(self) -> None:
        self.turns.note_peer("10.0.0.7", StopState.WAITING, 9.0)
        self.turns.request_stop(10.0)
        self.assertFalse(self.turns.may_stop(ZONE_OF_THREE, 10.0 + SOON))
        later = StopTurns("10.0.0.7")
        later.request_stop(9.0)
        later.note_peer("10.0.0.2", StopState.WAITING, 10.0)
        self.assertTrue(later.may_stop(ZONE_OF_THREE, 10.0 + SOON))


if __name__ == "__main__":
    unittest.main()
