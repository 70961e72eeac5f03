"""Mechanisms that only a whole node shows, each switched off by the variable that names it."""

import asyncio
import signal
import time
import unittest
from collections.abc import Mapping

from beamloom.settings.mechanisms import MECHANISMS_VARIABLE
from tests.functional.token_node_case import METRICS_PORT, TokenNodeCase

ASKING_SECONDS = 2.5
"""Longer than a node waits before it asks its peers for the key."""
STALL_SECONDS = 1.5
READING_SECONDS = 3.0
"""By then a node that is alone reads the store, and its watches wait."""
WATCH_DEADLINE_SECONDS = 2.9
"""Of bounds of 5 s: 0.75 times a staleness of 3 s, and the patience of 0.7 s."""
LATE_OPENINGS = 'event="dropped_late_opening"'
NO_KEY = 'event="dropped_no_key"'


class MechanismsTest(TokenNodeCase):
    network = "127.62.0"

    def off(self, *names: str) -> Mapping[str, str]:
        return {MECHANISMS_VARIABLE: ",".join(names)}

    async def dropped(self, number: int, reason: str) -> float:
        """Return how many packets a node has dropped for a reason."""
        _, text = await self.get(number, METRICS_PORT, "/metrics")
        values = [line.split()[-1] for line in text.splitlines() if reason in line]
        return sum(map(float, values))

    async def test_without_the_peers_key_a_start_waits_for_the_store(self) -> None:
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
        self.start_node(2, self.off("key_from_peers"))
        await asyncio.sleep(ASKING_SECONDS)
        self.assertNotEqual(await self.readiness(2), 200)

    async def test_opening_packets_that_waited_out_a_stall(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        for names, expected in (((), 1.0), (("discard_after_stall",), 0.0)):
            with self.subTest(off=names):
                node = self.start_node(1, self.off(*names))
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

    async def test_packets_that_come_before_a_node_is_ready(self) -> None:
        self.add_endpoint(1)
        self.store.faults.unavailable = True
        for names, expected in (((), 0.0), (("waiting_packets",), 1.0)):
            with self.subTest(off=names):
                node = self.start_node(1, self.off(*names))
                await self.wait_until_ready(1, status=503)
                self.send(1, self.new_flow(2100).advance(time.monotonic()))
                await asyncio.sleep(0.3)
                self.assertEqual(await self.dropped(1, NO_KEY), expected)
                node.kill()
                node.wait()

    async def test_a_connection_that_falls_silent_as_a_watch_begins(self) -> None:
        self.add_endpoint(1)
        self.configure(1, "tracker")
        self.bounds = {"config-apply-ms": 5000, "drain-ms": 5000, "contact-ms": 5000}
        proxy = await self.put_proxy_before_store()
        for names, noticed in (((), True), (("silence_probes",), False)):
            with self.subTest(off=names):
                node = self.start_node(1, self.off(*names))
                await self.wait_until_ready(1)
                await asyncio.sleep(READING_SECONDS)
                proxy.request_bytes = 0
                event = "ConnectionSilent" if noticed else "DependencyLost"
                await self.wait_for_line(1, event, seconds=2 * WATCH_DEADLINE_SECONDS)
                events = {line["event"] for line in self.lines(1)}
                node.kill()
                node.wait()
                self.assertEqual("DependencyLost" in events, not noticed)
                self.assertEqual("ConnectionSilent" in events, noticed)

    async def test_an_unknown_name_ends_the_start_with_a_remedy(self) -> None:
        node = self.start_node(1, self.off("haste"))
        self.assertEqual(await asyncio.to_thread(node.wait, 5.0), 2)
        self.assertIn("no such mechanism: haste; give some of", self.logs())


if __name__ == "__main__":
    unittest.main()
