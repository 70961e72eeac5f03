"""End-to-end requests on real sockets: platform, balancers, backends, fabric and clients."""

import asyncio
import unittest

from beamloom.demo.run import DemoOptions, run_demo
from beamloom.demo.tenants import demo_deployment
from beamloom.standins.load_profiles import client_address, first_client_of


class WholePathTest(unittest.TestCase):
    def test_every_flow_is_answered_without_breaking(self) -> None:
        options = DemoOptions(tenants=2, balancers=2, duration=1.0, rate=40)
        report = asyncio.run(run_demo(options))
        for item in report.loads:
            with self.subTest(tenant=item.tenant):
                self.assertEqual(item.load.broken_flows, 0)
                self.assertEqual(item.load.not_ended, 0)
                self.assertEqual(item.load.outcomes["answered"], item.load.flows)
        self.assertTrue(report.drained_backend)
        self.assertTrue(report.control_traffic)

    def test_additional_tenants_get_their_own_addresses(self) -> None:
        _, tenants = demo_deployment(5)
        addresses = [address for tenant in tenants for address in tenant.services.values()]
        self.assertEqual(len(set(addresses)), len(addresses))
        self.assertEqual(len({tenant.name for tenant in tenants}), 5)

    def test_groups_of_clients_share_no_host(self) -> None:
        hosts = [client_address(first_client_of(group), 4).host for group in range(50)]
        self.assertEqual(len(set(hosts)), len(hosts))
        last = client_address(first_client_of(1) - 1, 4).host
        self.assertNotEqual(last, hosts[1])
