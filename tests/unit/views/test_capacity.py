"""Machine capacities from settings and peers, including missing and invalid values."""

import math
import random
import tomllib
import unittest

from beamloom.platform.errors import PlatformSettingsError
from beamloom.platform.node_settings import check_settings
from beamloom.protocol.view_messages import ViewDigest
from beamloom.settings.capacity import LEAST, Capacity, check_capacity, from_wire, to_wire
from tests.unit.tokens.test_settings import SETTINGS
from tests.unit.views.exchange_network import Network, Node

LARGE = Capacity(2.15, 100.0, 300.0, 4100.0)
SMALL = Capacity(0.116, 5.0, 152.0, 1024.0)


class CheckTest(unittest.TestCase):
    def test_invalid_values_are_reported_and_replaced_by_the_minimum(self) -> None:
        for invalid in (0, -1, math.nan, math.inf, 1e9, None, "many", True, 10**400):
            with self.subTest(cores=invalid):
                checked = check_capacity((invalid, *LARGE[1:]))
                self.assertEqual(checked.capacity, LARGE._replace(cores=LEAST.cores))
                self.assertEqual(checked.unusable, ("cores",))
        self.assertEqual(check_capacity(()).unusable, Capacity._fields)

    def test_wire_format_round_trips_and_invalid_values_give_the_minimum(self) -> None:
        self.assertEqual(from_wire(to_wire(SMALL)), (SMALL, ()))
        for invalid in ([10**400, 0, "x", math.nan], 7, None, {}, [[]]):
            self.assertEqual(from_wire(invalid).capacity, LEAST)

    def test_rank_and_weight_follow_the_capacity(self) -> None:
        self.assertEqual(LEAST.rank, 9)
        self.assertEqual(SMALL.rank, 9)
        self.assertEqual(LARGE.rank, 5)
        self.assertEqual(LARGE.weight, 16 * SMALL.weight)


class SettingsTest(unittest.TestCase):
    def limits(self, text: str) -> tuple[Capacity, tuple[str, ...]]:
        settings = check_settings(tomllib.loads(SETTINGS + "[limits]\n" + text), "node.toml")
        return settings.capacity, settings.unusable_limits

    def test_limits_are_read(self) -> None:
        limits = "cpu-share = 0.5\ncores = 4\nlink-mbps = 100\nmemory-mb = 300\nmax-fds = 4100"
        self.assertEqual(self.limits(limits), (Capacity(2.0, 100.0, 300.0, 4100.0), ()))

    def test_missing_and_invalid_limits_are_replaced_by_the_minimum(self) -> None:
        capacity, unusable = self.limits("cpu-share = 0\nlink-mbps = 1e9\nmemory-mb = nan")
        self.assertEqual(capacity, LEAST)
        self.assertEqual(unusable, Capacity._fields)

    def test_all_limits_that_are_no_numbers_are_reported_in_one_error(self) -> None:
        with self.assertRaises(PlatformSettingsError) as caught:
            self.limits('cpu-share = "half"\nmax-fds = []\nmemory-mb = true')
        for name in ("limits.cpu-share", "limits.max-fds", "limits.memory-mb", "correct the file"):
            self.assertIn(name, str(caught.exception))


class PeerCapacityTest(unittest.TestCase):
    def test_capacity_rank_reaches_all_nodes(self) -> None:
        network = Network(12, seed=4)
        hosts = list(network.nodes)
        network.nodes[hosts[0]].exchange.peers.capacity = LARGE
        network.run(8.0)
        for host in hosts[1:]:
            self.assertEqual(network.nodes[host].exchange.peers.rank_of(hosts[0]), LARGE.rank)

    def test_rest_of_a_digest_with_an_invalid_capacity_is_used(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        reported: list[tuple[str, tuple[str, ...]]] = []
        node.exchange.on_unusable_capacity = lambda host, fields: reported.append((host, fields))
        for values in ([0, 10, 152, 1024], [10**400, 10, 152, 1024]):
            digest = ViewDigest([], [], [("10.0.0.3", 5)], "west", capacity=values, ranks=["x"])  # type: ignore[list-item]
            node.exchange.handle("10.0.0.2", digest, 1.0)
        self.assertEqual(reported, [("10.0.0.2", ("cores",))])
        self.assertEqual(node.exchange.counters["unusable_capacities"], 2)
        self.assertEqual(len(node.exchange.peers), 2)
        capacity = node.exchange.peers.capacity_of("10.0.0.2")
        self.assertEqual(capacity, Capacity(LEAST.cores, 1.0, 152.0, 1024.0))

    def test_digest_of_an_earlier_version_without_capacity_is_accepted(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        node.exchange.handle("10.0.0.2", ViewDigest([], [], []), 1.0)
        self.assertIsNone(node.exchange.peers.rank_of("10.0.0.2"))
        self.assertEqual(node.exchange.counters["unusable_capacities"], 0)
