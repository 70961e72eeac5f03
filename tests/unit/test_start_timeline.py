"""The moments of a start: noted once, told once, with the outcome that they show."""

import unittest

from beamloom.runtime.start_timeline import (
    LONGEST_INTERPRETER_SECONDS,
    LONGEST_START_SECONDS,
    StartLog,
    StartTimeline,
    begin_timeline,
)

BEGAN = 100.0


class StartTimelineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timeline = StartTimeline(BEGAN)

    def test_the_first_of_several_moments_of_a_kind_stays(self) -> None:
        self.timeline.note("readiness_asked", BEGAN + 0.25, 0.03)
        self.timeline.note("readiness_asked", BEGAN + 0.75, 0.06)
        fields = self.timeline.end()
        assert fields is not None
        self.assertEqual(fields["readiness_asked_ms"], 250.0)

    def test_moments_are_told_in_the_order_in_which_they_happened(self) -> None:
        for number, moment in enumerate(("key", "first_backends", "configuration")):
            self.timeline.note(moment, BEGAN + number, 0.0)
        fields = self.timeline.end()
        assert fields is not None
        self.assertEqual(
            list(fields), ["outcome", "key_ms", "first_backends_ms", "configuration_ms"]
        )

    def test_a_start_is_counted_with_what_it_reached(self) -> None:
        self.timeline.note("ready", BEGAN + 0.4, 0.05)
        self.timeline.note("packet_forwarded", BEGAN + 0.5, 0.06)
        fields = self.timeline.end(stopped=True)
        assert fields is not None
        self.assertEqual((fields["outcome"], fields["ready_processor_ms"]), ("forwarded", 50.0))
        self.assertAlmostEqual(self.timeline.ready_seconds.total_seconds, 0.4)
        self.assertAlmostEqual(self.timeline.forwarded_seconds.total_seconds, 0.5)
        self.assertAlmostEqual(self.timeline.forwarded_processor_seconds.total_seconds, 0.06)
        self.assertIsNone(self.timeline.end(), "a start is told once")
        self.assertEqual(len(self.timeline.ready_seconds), 1)

    def test_a_start_without_a_packet_tells_whether_the_node_was_ready(self) -> None:
        self.timeline.note("key", BEGAN + 0.4, 0.05)
        self.timeline.end()
        self.assertEqual(self.timeline.outcome, "not_ready")
        self.assertEqual(len(self.timeline.ready_seconds), 0)
        ready = StartTimeline(BEGAN)
        ready.note("ready", BEGAN + 0.4, 0.05)
        ready.end()
        self.assertEqual(ready.outcome, "no_packet")


class BeginTest(unittest.TestCase):
    def test_a_start_begins_with_the_interpreter(self) -> None:
        timeline = begin_timeline(BEGAN, 0.01)
        timeline.note("packet_forwarded", BEGAN + 0.1, 0.05)
        fields = timeline.end()
        assert fields is not None
        self.assertEqual((fields["interpreter_ms"], fields["packet_forwarded_ms"]), (10.0, 110.0))
        self.assertEqual(fields["packet_forwarded_processor_ms"], 50.0)

    def test_a_process_clock_that_counts_something_else_is_left_out(self) -> None:
        """Found where the process clock went on with the host's: starts took hours."""
        for clock in (0.0, LONGEST_INTERPRETER_SECONDS + 1, 50_000.0):
            with self.subTest(clock=clock):
                timeline = begin_timeline(BEGAN, clock)
                timeline.note("packet_forwarded", BEGAN + 0.1, clock + 0.1)
                self.assertFalse(timeline.is_overdue(BEGAN + 0.2))
                fields = timeline.end()
                assert fields is not None
                self.assertEqual(fields["interpreter_ms"], 0.0)
                self.assertEqual(fields["packet_forwarded_ms"], 100.0)
                self.assertNotIn("packet_forwarded_processor_ms", fields)
                self.assertEqual(len(timeline.forwarded_processor_seconds), 0)


class StartLogTest(unittest.TestCase):
    def test_a_start_that_comes_to_nothing_is_told_within_its_bound(self) -> None:
        told: list[dict[str, object]] = []
        start = StartLog(StartTimeline(BEGAN), lambda event, **fields: told.append(fields))
        start.advance(BEGAN + LONGEST_START_SECONDS - 0.1)
        self.assertEqual(told, [])
        start.advance(BEGAN + LONGEST_START_SECONDS)
        start.advance(BEGAN + LONGEST_START_SECONDS + 0.25)
        start.stop()
        self.assertEqual([fields["outcome"] for fields in told], ["not_ready"])


if __name__ == "__main__":
    unittest.main()
