"""The whole path on real sockets: platform, two balancers, backends, fabric and clients."""

import asyncio
import unittest

from beamloom.demo.run import run_demo
from beamloom.standins.load_profiles import ProfileName


class WholePathTest(unittest.TestCase):
    def test_every_flow_is_answered_and_none_breaks(self) -> None:
        for profile in ProfileName:
            with self.subTest(profile=profile.value):
                report = asyncio.run(run_demo(profile, balancers=2, duration=1.0, rate=40))
                self.assertEqual(report.load.broken_flows, 0)
                self.assertEqual(report.load.not_ended, 0)
                self.assertEqual(report.load.outcomes["answered"], report.load.flows)
