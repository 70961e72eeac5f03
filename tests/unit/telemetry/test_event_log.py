"""The event log has bounded memory, never blocks, and counts the lines that it drops."""

import json
import unittest

from beamloom.telemetry.event_log import (
    BURST_SECONDS,
    MAXIMUM_EVENTS,
    MAXIMUM_UNWRITTEN_BYTES,
    EventLog,
)


class Reader:
    """A pipe that accepts `room` bytes per write; with None it is full and raises."""

    def __init__(self) -> None:
        self.room: int | None = 1 << 30
        self.data = b""

    def write(self, data: bytes) -> int:
        if self.room is None:
            raise BlockingIOError
        taken = data[: self.room]
        self.data += taken
        return len(taken)

    def lines(self) -> list[dict[str, object]]:
        return [json.loads(line) for line in self.data.splitlines()]


class EventLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 0.0
        self.reader = Reader()
        self.log = EventLog(
            "n1",
            self.reader.write,
            clock=lambda: self.now,
            time_of_day=lambda: 1000.0 + self.now,
            lines_per_second=10.0,
        )

    def test_a_line_has_time_node_event_and_fields(self) -> None:
        self.log.record("Started", {"zone": "west"})
        self.log.flush()
        line = {"time": 1000.0, "node": "n1", "event": "Started", "zone": "west"}
        self.assertEqual(self.reader.lines(), [line])

    def test_the_rate_is_bounded_and_dropped_lines_are_counted(self) -> None:
        burst = int(10 * BURST_SECONDS)
        for _ in range(burst + 30):
            self.log.record("FlowPlaced", {})
        self.log.record("Stopped", {})
        self.now = 1.0
        self.log.record("FlowPlaced", {})
        self.log.flush()
        lines = self.reader.lines()
        self.assertEqual(len(lines), burst + 2)
        self.assertEqual(lines[-1]["left_out_before"], 30)
        self.assertEqual(self.log.counters["left_out"], 30)

    def test_memory_is_bounded(self) -> None:
        for number in range(MAXIMUM_EVENTS + 50):
            self.log.record(f"Event{number}", {})
        self.log.flush()
        self.assertEqual(len(self.reader.lines()), MAXIMUM_EVENTS)

    def test_what_does_not_fit_is_written_later_and_nothing_waits(self) -> None:
        """Regression: the line for a ready node was lost after 150 lines of backends."""
        for room in (None, 70):
            with self.subTest(room=room):
                self.setUp()
                for name in ("A", "B", "C"):
                    self.log.record(name, {})
                self.reader.room = room
                self.log.flush()
                self.reader.room = 1 << 30
                self.log.record("D", {})
                self.log.flush()
                self.assertEqual([line["event"] for line in self.reader.lines()], list("ABCD"))
                self.assertEqual(self.log.counters["left_out"], 0)

    def test_a_blocked_reader_costs_lines_and_bounded_memory(self) -> None:
        text = "x" * 1000
        self.reader.room = None
        rounds, each = 40, 10
        for number in range(rounds):
            self.now = float(number)
            for _ in range(each):
                self.log.record("Repeated", {"text": text, "number": number})
            self.log.flush()
        self.reader.room = 1 << 30
        self.log.flush()
        lines = self.reader.lines()
        self.assertLess(len(lines) * len(text), MAXIMUM_UNWRITTEN_BYTES)
        self.assertGreater(len(lines) * len(text), 0.8 * MAXIMUM_UNWRITTEN_BYTES)
        self.assertEqual(self.log.counters["left_out"], rounds * each - len(lines))

    def test_a_partially_written_line_is_completed_when_others_are_dropped(self) -> None:
        for number in range(150):
            self.log.record(f"Long{number}", {"text": "x" * 1000})
        self.log.record("Last", {})
        self.reader.room = 70
        self.log.flush()
        self.reader.room = 1 << 30
        self.log.record("Next", {})
        self.log.flush()
        events = [line["event"] for line in self.reader.lines()]
        self.assertEqual((events[0], events[-1]), ("Long0", "Next"))
        self.assertNotIn("Last", events)

    def test_a_closed_pipe_raises_nothing(self) -> None:
        def broken(_data: bytes) -> int:
            raise BrokenPipeError

        log = EventLog("n1", broken)
        log.record("Started", {})
        log.flush()
        self.assertEqual(log.counters["write_failed"], 1)
