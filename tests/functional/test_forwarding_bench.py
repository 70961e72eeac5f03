"""The forwarding measurement runs end to end on real sockets; speeds are not checked."""

import asyncio
import unittest

from beamloom.bench.forwarding import bench_forwarding


class ForwardingBenchTest(unittest.TestCase):
    def test_a_small_run_measures_balancer_and_relay(self) -> None:
        report = asyncio.run(bench_forwarding(flows=1024, seconds=0.01))
        self.assertEqual(report.flows, 1024)
        self.assertGreater(report.packets_per_second, 0)
        self.assertGreater(report.relay_packets_per_second, 0)
        self.assertGreater(report.bytes_per_flow, 0)
