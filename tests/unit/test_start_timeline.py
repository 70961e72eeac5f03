"""The timeline of a start: each moment is recorded once, and the start reported once."""

import unittest

from beamloom.runtime.start_timeline import (
    MAXIMUM_INTERPRETER_SECONDS,
    MAXIMUM_START_SECONDS,
    StartLog,
    StartTimeline,
    begin_timeline,
)

BEGAN = 100.0


class StartTimelineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.timeline = StartTimeline(BEGAN)

    def test_only_the_first_occurrence_of_a_moment_is_recorded(self) -> None:
        self.timeline.record("readiness_asked", BEGAN + 0.25, 0.03)
        self.timeline.record("readiness_asked", BEGAN + 0.75, 0.06)
        fields = self.timeline.end()
        assert fields is not None
        self.assertEqual(fields["readiness_asked_ms"], 250.0)

    def test_moments_are_reported_in_order(self) -> None:
        for number, moment in enumerate(("key", "first_backends", "configuration")):
            self.timeline.record(moment, BEGAN + number, 0.0)
        fields = self.timeline.end()
        assert fields is not None
        self.assertEqual(
            list(fields), ["outcome", "key_ms", "first_backends_ms", "configuration_ms"]
        )

    def test_a_start_is_counted_in_its_histograms(self) -> None:
        self.timeline.record("ready", BEGAN + 0.4, 0.05)
        self.timeline.record("packet_forwarded", BEGAN + 0.5, 0.06)
        fields = self.timeline.end(stopped=True)
        assert fields is not None
        self.assertEqual((fields["outcome"], fields["ready_processor_ms"]), ("forwarded", 50.0))
        self.assertAlmostEqual(self.timeline.ready_seconds.total_seconds, 0.4)
        self.assertAlmostEqual(self.timeline.forwarded_seconds.total_seconds, 0.5)
        self.assertAlmostEqual(self.timeline.forwarded_processor_seconds.total_seconds, 0.06)
        self.assertIsNone(self.timeline.end(), "a start is reported once")
        self.assertEqual(len(self.timeline.ready_seconds), 1)

    def test_a_start_without_a_packet_shows_whether_the_node_was_ready(self) -> None:
        self.timeline.record("key", BEGAN + 0.4, 0.05)
        self.timeline.end()
        self.assertEqual(self.timeline.outcome, "not_ready")
        self.assertEqual(len(self.timeline.ready_seconds), 0)
        ready = StartTimeline(BEGAN)
        ready.record("ready", BEGAN + 0.4, 0.05)
        ready.end()
        self.assertEqual(ready.outcome, "no_packet")


class BeginTest(unittest.TestCase):
    def test_a_start_begins_with_the_interpreter(self) -> None:
        timeline = begin_timeline(BEGAN, 0.01)
        timeline.record("packet_forwarded", BEGAN + 0.1, 0.05)
        fields = timeline.end()
        assert fields is not None
        self.assertEqual((fields["interpreter_ms"], fields["packet_forwarded_ms"]), (10.0, 110.0))
        self.assertEqual(fields["packet_forwarded_processor_ms"], 50.0)

    def test_an_implausible_process_clock_is_ignored(self) -> None:
        """On some hosts the process clock is the host's, and starts seemed to take hours."""
        for clock in (0.0, MAXIMUM_INTERPRETER_SECONDS + 1, 50_000.0):
            with self.subTest(clock=clock):
                timeline = begin_timeline(BEGAN, clock)
                timeline.record("packet_forwarded", BEGAN + 0.1, clock + 0.1)
                self.assertFalse(timeline.is_overdue(BEGAN + 0.2))
                fields = timeline.end()
                assert fields is not None
                self.assertEqual(fields["interpreter_ms"], 0.0)
                self.assertEqual(fields["packet_forwarded_ms"], 100.0)
                self.assertNotIn("packet_forwarded_processor_ms", fields)
                self.assertEqual(len(timeline.forwarded_processor_seconds), 0)


class StartLogTest(unittest.TestCase):
    def test_a_start_without_a_packet_is_reported_after_the_limit(self) -> None:
        reported: list[dict[str, object]] = []
        start = StartLog(StartTimeline(BEGAN), lambda event, **fields: reported.append(fields))
        start.advance(BEGAN + MAXIMUM_START_SECONDS - 0.1)
        self.assertEqual(reported, [])
        start.advance(BEGAN + MAXIMUM_START_SECONDS)
        start.advance(BEGAN + MAXIMUM_START_SECONDS + 0.25)
        start.stop()
        self.assertEqual([fields["outcome"] for fields in reported], ["not_ready"])


if __name__ == "__main__":
    unittest.main()
