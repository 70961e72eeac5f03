"""The log line and metrics of a node's start, with a store that answers and one that fails."""

import asyncio
import unittest

from beamloom.platform.store_objects import BACKENDS_KIND
from tests.functional.token_node_case import METRICS_PORT, TokenNodeCase

EXPECTED_FIELDS = {
    "interpreter_ms",
    "settings_ms",
    "socket_ms",
    "modules_ms",
    "listening_ms",
    "key_ms",
    "configuration_ms",
    "first_backends_ms",
    "last_backends_ms",
    "readiness_asked_ms",
    "ready_ms",
    "readiness_answered_ms",
    "packet_read_ms",
    "packet_forwarded_ms",
    "modules_processor_ms",
    "ready_processor_ms",
    "packet_forwarded_processor_ms",
}


class StartTimelineTest(TokenNodeCase):
    network = "127.61.7"

    async def timeline(self) -> dict[str, float]:
        await self.wait_for_line(1, "StartTimeline")
        lines = [line for line in self.lines(1) if line["event"] == "StartTimeline"]
        self.assertEqual(len(lines), 1)
        return lines[0]  # type: ignore[return-value]

    async def test_each_moment_is_logged_once_a_packet_was_forwarded(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.start_node(1)
        await self.wait_until_ready(1)
        self.assertNotIn("StartTimeline", [line["event"] for line in self.lines(1)])
        await self.play(1, [self.new_flow(2000), self.new_flow(2001)])
        fields = await self.timeline()
        self.assertEqual(fields["outcome"], "forwarded")
        self.assertEqual(EXPECTED_FIELDS - set(fields), set())
        for earlier, later in (
            ("interpreter_ms", "settings_ms"),
            ("settings_ms", "socket_ms"),
            ("socket_ms", "modules_ms"),
            ("modules_ms", "listening_ms"),
            ("listening_ms", "key_ms"),
            ("first_backends_ms", "last_backends_ms"),
            ("last_backends_ms", "ready_ms"),
            ("configuration_ms", "ready_ms"),
            ("ready_ms", "readiness_answered_ms"),
            ("packet_read_ms", "packet_forwarded_ms"),
        ):
            self.assertLessEqual(fields[earlier], fields[later], (earlier, later))
        _, text = await self.get(1, METRICS_PORT, "/metrics")
        self.assertIn('beamloom_starts_total{event="forwarded"} 1.0', text)
        self.assertIn("beamloom_start_forwarded_seconds_count 1.0", text)
        self.assertIn("beamloom_start_processor_seconds_count 1.0", text)
        self.assertIn('beamloom_start_seconds{moment="last_backends"}', text)

    async def test_a_store_that_fails_halfway_shows_as_the_moment_that_is_late(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.store.faults.failing_kinds = {BACKENDS_KIND}
        self.start_node(1)
        await self.wait_for_line(1, "SecretKnown")
        await asyncio.sleep(0.5)
        self.assertEqual(await self.readiness(1), 503)
        self.store.faults.failing_kinds = set()
        await self.wait_until_ready(1)
        await self.play(1, [self.new_flow(2000)])
        fields = await self.timeline()
        self.assertEqual(fields["outcome"], "forwarded")
        self.assertGreater(fields["last_backends_ms"], fields["configuration_ms"] + 400)
        self.assertGreater(fields["last_backends_ms"], fields["key_ms"] + 400)
        self.assertLess(fields["readiness_asked_ms"], fields["readiness_answered_ms"])

    async def test_a_stop_before_the_backends_are_known_shows_what_was_missing(self) -> None:
        self.configure(1, "tracker")
        self.store.faults.failing_kinds = {BACKENDS_KIND}
        node = self.start_node(1)
        await self.wait_for_line(1, "SecretKnown")
        await self.wait_for_line(1, "ConfigurationInForce")
        self.stop(node)
        fields = await self.timeline()
        self.assertEqual(fields["outcome"], "stopped")
        self.assertIn("configuration_ms", fields)
        self.assertNotIn("last_backends_ms", fields)
        self.assertNotIn("ready_ms", fields)


if __name__ == "__main__":
    unittest.main()
