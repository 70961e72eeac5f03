"""What machines can do, as settings and peers tell it: absurd and missing values among it."""

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
    def test_what_is_absurd_counts_as_the_least_and_is_named(self) -> None:
        for odd in (0, -1, math.nan, math.inf, 1e9, None, "many", True, 10**400):
            with self.subTest(cores=odd):
                checked = check_capacity((odd, *LARGE[1:]))
                self.assertEqual(checked.capacity, LARGE._replace(cores=LEAST.cores))
                self.assertEqual(checked.unusable, ("cores",))
        self.assertEqual(check_capacity(()).unusable, Capacity._fields)

    def test_the_wire_keeps_what_matters(self) -> None:
        self.assertEqual(from_wire(to_wire(SMALL)), (SMALL, ()))
        for told in ([10**400, 0, "x", math.nan], 7, None, {}, [[]]):
            self.assertEqual(from_wire(told).capacity, LEAST)

    def test_a_doubling_of_both_is_a_rank(self) -> None:
        self.assertEqual(LEAST.rank, 9)
        self.assertEqual(SMALL.rank, 9)
        self.assertEqual(LARGE.rank, 5)
        self.assertEqual(LARGE.weight, 16 * SMALL.weight)


class SettingsTest(unittest.TestCase):
    def limits(self, text: str) -> tuple[Capacity, tuple[str, ...]]:
        settings = check_settings(tomllib.loads(SETTINGS + "[limits]\n" + text), "node.toml")
        return settings.capacity, settings.unusable_limits

    def test_limits_are_read(self) -> None:
        told = "cpu-share = 0.5\ncores = 4\nlink-mbps = 100\nmemory-mb = 300\nmax-fds = 4100"
        self.assertEqual(self.limits(told), (Capacity(2.0, 100.0, 300.0, 4100.0), ()))

    def test_a_missing_or_absurd_limit_counts_as_the_least(self) -> None:
        capacity, unusable = self.limits("cpu-share = 0\nlink-mbps = 1e9\nmemory-mb = nan")
        self.assertEqual(capacity, LEAST)
        self.assertEqual(unusable, Capacity._fields)

    def test_what_is_no_number_is_refused_with_every_fault(self) -> None:
        with self.assertRaises(PlatformSettingsError) as caught:
            self.limits('cpu-share = "half"\nmax-fds = []\nmemory-mb = true')
        for name in ("limits.cpu-share", "limits.max-fds", "limits.memory-mb", "correct the file"):
            self.assertIn(name, str(caught.exception))


class ToldCapacityTest(unittest.TestCase):
    def test_peers_hear_it_and_pass_the_rank_on(self) -> None:
        network = Network(12, seed=4)
        hosts = list(network.nodes)
        network.nodes[hosts[0]].exchange.peers.capacity = LARGE
        network.run(8.0)
        for host in hosts[1:]:
            self.assertEqual(network.nodes[host].exchange.peers.rank_of(hosts[0]), LARGE.rank)

    def test_a_peers_absurd_capacity_loses_nothing_else(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        odd: list[tuple[str, tuple[str, ...]]] = []
        node.exchange.on_unusable_capacity = lambda host, fields: odd.append((host, fields))
        for told in ([0, 10, 152, 1024], [10**400, 10, 152, 1024]):
            digest = ViewDigest([], [], [("10.0.0.3", 5)], "west", capacity=told, ranks=["x"])  # type: ignore[list-item]
            node.exchange.handle("10.0.0.2", digest, 1.0)
        self.assertEqual(odd, [("10.0.0.2", ("cores",))])
        self.assertEqual(node.exchange.counters["unusable_capacities"], 2)
        self.assertEqual(len(node.exchange.peers), 2)
        capacity = node.exchange.peers.capacity_of("10.0.0.2")
        self.assertEqual(capacity, Capacity(LEAST.cores, 1.0, 152.0, 1024.0))

    def test_a_node_of_an_earlier_version_tells_none(self) -> None:
        node = Node("10.0.0.1", [], random.Random(1))
        node.exchange.handle("10.0.0.2", ViewDigest([], [], []), 1.0)
        self.assertIsNone(node.exchange.peers.rank_of("10.0.0.2"))
        self.assertEqual(node.exchange.counters["unusable_capacities"], 0)
