"""Mechanisms that need a whole node to test, each compared with a node that has it disabled."""

import asyncio
import signal
import time
import unittest
from collections.abc import Mapping

from beamloom.settings.mechanisms import MECHANISMS_VARIABLE
from tests.functional.token_node_case import METRICS_PORT, TokenNodeCase

PEER_REQUEST_SECONDS = 2.5
"""Longer than a node waits before it asks its peers for the key."""
STALL_SECONDS = 1.5
READER_STARTED_SECONDS = 3.0
"""After this time a node without peers is a reader, and its watches wait for changes."""
WATCH_DEADLINE_SECONDS = 2.9
"""With bounds of 5 s: wait of 2.2 s (see `store_call_times`) plus CALL_TIMEOUT_SECONDS (0.7 s)."""
LATE_OPENINGS = 'event="dropped_late_opening"'
NO_KEY = 'event="dropped_no_key"'


class MechanismsTest(TokenNodeCase):
    network = "127.62.0"

    def environment_without(self, *names: str) -> Mapping[str, str]:
        return {MECHANISMS_VARIABLE: ",".join(names)}

    async def dropped(self, number: int, reason: str) -> float:
        """Return how many packets a node has dropped for a reason."""
        _, text = await self.get(number, METRICS_PORT, "/metrics")
        values = [line.split()[-1] for line in text.splitlines() if reason in line]
        return sum(map(float, values))

    async def test_without_key_from_peers_a_start_needs_the_store(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.start_node(1)
        second = self.start_node(2)
        for number in (1, 2):
            await self.wait_until_ready(number)
        await asyncio.sleep(2.0)
        self.store.faults.unavailable = True
        second.kill()
        second.wait()
        self.start_node(2, self.environment_without("key_from_peers"))
        await asyncio.sleep(PEER_REQUEST_SECONDS)
        self.assertNotEqual(await self.readiness(2), 200)

    async def test_opening_packets_queued_during_a_stall_are_dropped(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        for names, expected in (((), 1.0), (("discard_after_stall",), 0.0)):
            with self.subTest(off=names):
                node = self.start_node(1, self.environment_without(*names))
                await self.wait_until_ready(1)
                await asyncio.sleep(0.5)
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(0.1)
                self.send(1, self.new_flow(2000).advance(time.monotonic()))
                await asyncio.sleep(STALL_SECONDS)
                node.send_signal(signal.SIGCONT)
                await asyncio.sleep(0.5)
                self.assertEqual(await self.dropped(1, LATE_OPENINGS), expected)
                node.kill()
                node.wait()

    async def test_packets_before_readiness_wait_in_the_socket(self) -> None:
        self.add_endpoint(1)
        self.store.faults.unavailable = True
        for names, expected in (((), 0.0), (("waiting_packets",), 1.0)):
            with self.subTest(off=names):
                node = self.start_node(1, self.environment_without(*names))
                await self.wait_until_ready(1, status=503)
                self.send(1, self.new_flow(2100).advance(time.monotonic()))
                await asyncio.sleep(0.3)
                self.assertEqual(await self.dropped(1, NO_KEY), expected)
                node.kill()
                node.wait()

    async def test_a_connection_that_goes_silent_as_a_watch_begins_is_detected(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.bounds = {"config-apply-ms": 5000, "drain-ms": 5000, "contact-ms": 5000}
        proxy = await self.start_store_proxy()
        for names, detected in (((), True), (("silence_probes",), False)):
            with self.subTest(off=names):
                node = self.start_node(1, self.environment_without(*names))
                await self.wait_until_ready(1)
                await asyncio.sleep(READER_STARTED_SECONDS)
                proxy.request_bytes = 0
                event = "ConnectionSilent" if detected else "DependencyLost"
                await self.wait_for_line(1, event, seconds=2 * WATCH_DEADLINE_SECONDS)
                events = {line["event"] for line in self.lines(1)}
                node.kill()
                node.wait()
                self.assertEqual("DependencyLost" in events, not detected)
                self.assertEqual("ConnectionSilent" in events, detected)

    async def test_an_unknown_mechanism_fails_the_start_with_a_remedy(self) -> None:
        node = self.start_node(1, self.environment_without("haste"))
        self.assertEqual(await asyncio.to_thread(node.wait, 5.0), 2)
        self.assertIn("no such mechanism: haste; give some of", self.logs())


if __name__ == "__main__":
    unittest.main()
