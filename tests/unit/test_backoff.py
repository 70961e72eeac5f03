import random
import unittest

from beamloom.replication.backoff import MAXIMUM_DELAY, Backoff
from beamloom.simulation.oracle import IN_FORCE_LIMIT


class BackoffTest(unittest.TestCase):
    def test_longest_delay_is_below_the_time_to_put_a_change_in_force(self) -> None:
        backoff = Backoff(random.Random(1))
        delays = [backoff.next_delay() for _ in range(200)]
        self.assertLess(max(delays), IN_FORCE_LIMIT)
        self.assertGreaterEqual(min(delays[10:]), MAXIMUM_DELAY / 2)

    def test_reset_restarts_from_the_shortest_delay(self) -> None:
        backoff = Backoff(random.Random(1))
        for _ in range(10):
            backoff.next_delay()
        backoff.reset()
        self.assertLess(backoff.next_delay(), MAXIMUM_DELAY / 2)
