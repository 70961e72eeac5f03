import unittest

from beamloom.simulation.clock import LocalClock, VirtualClock


class VirtualClockTest(unittest.TestCase):
    def test_calls_run_in_order_of_time_and_then_of_scheduling(self) -> None:
        clock = VirtualClock()
        calls: list[tuple[str, float]] = []
        for name, delay in (("third", 2.0), ("first", 1.0), ("second", 1.0)):
            clock.call_later(delay, lambda name=name: calls.append((name, clock.now)))
        clock.run_until(5.0)
        self.assertEqual(calls, [("first", 1.0), ("second", 1.0), ("third", 2.0)])
        self.assertEqual(clock.now, 5.0)

    def test_cancelled_call_is_not_made(self) -> None:
        clock = VirtualClock()
        clock.call_later(1.0, self.fail).cancel()
        clock.run_until(2.0)

    def test_call_at_past_time_is_made_at_once(self) -> None:
        clock = VirtualClock()
        clock.run_until(3.0)
        calls: list[float] = []
        clock.call_at(1.0, lambda: calls.append(clock.now))
        clock.run_until(4.0)
        self.assertEqual(calls, [3.0])


class LocalClockTest(unittest.TestCase):
    def test_change_of_rate_does_not_change_the_time(self) -> None:
        clock = VirtualClock()
        local = LocalClock(clock, offset=100.0, rate=1.5)
        clock.run_until(10.0)
        self.assertEqual(local.now, 115.0)
        self.assertEqual(local.delay_until(118.0), 2.0)
        local.change_rate(0.5)
        self.assertEqual(local.now, 115.0)
        clock.run_until(12.0)
        self.assertEqual(local.now, 116.0)


if __name__ == "__main__":
    unittest.main()
