"""Exchanging configurations of many routes."""

import unittest

from beamloom.node.view_codecs import ConfigurationCodec
from beamloom.protocol.view_messages import ViewPart, ViewRequest
from beamloom.replication.view_transfer import pack
from tests.unit.tokens.builders import many_routes
from tests.unit.views.exchange_network import Network


class LargeConfigurationTest(unittest.TestCase):
    """Many versions of a large configuration must not delay each other on a lossy network."""

    def setUp(self) -> None:
        self.network = Network(30, seed=4, loss=0.03)
        self.network.run(5.0)
        self.first = next(iter(self.network.nodes.values()))

    def test_many_versions_reach_all_nodes_as_differences(self) -> None:
        self.network.configure(self.first, many_routes(1, 1500), revision=10)
        self.network.run(2.0)
        self.assertEqual(self.network.versions(), {1})
        self.network.part_bytes = 0
        for version in range(2, 22):
            self.network.configure(self.first, many_routes(version, 1500, 5), 10 * version)
            self.network.run(0.1)
        self.network.run(2.0)
        self.assertEqual(self.network.versions(), {21})
        by_node = self.network.part_bytes / len(self.network.nodes) / 20
        self.assertLess(by_node, 1000)

    def test_nodes_that_skipped_different_versions_still_get_differences(self) -> None:
        """A single base per request is often unknown to the peer, which then sends the whole."""
        first, second = list(self.network.nodes.values())[:2]
        for node, revisions in ((first, (10, 20, 40, 60)), (second, (10, 20, 30, 50))):
            for revision in revisions:
                self.network.configure(node, many_routes(revision, 1500, 5), revision)
        request = ViewRequest(1, 50, versions=ConfigurationCodec(second.history).bases)
        first.exchange.take_sends()
        first.exchange.handle(second.host, request, self.network.now)
        parts = [send.message for send in first.exchange.take_sends()]
        self.assertEqual([type(part) for part in parts], [ViewPart])
        second.exchange.handle(first.host, parts[0], self.network.now)
        self.assertEqual(second.history.newest_version, 60)

    def test_a_node_does_not_fetch_a_whole_view_repeatedly(self) -> None:
        """A request must not be repeated while its answer is in transit."""
        self.network.delay = 0.12
        self.network.configure(self.first, many_routes(1, 1500), revision=10)
        self.network.run(6.0)
        self.assertEqual(self.network.versions(), {1})
        view = self.first.configuration
        delta = view.since(-1)
        assert delta is not None
        whole = len(pack(ConfigurationCodec(self.first.history).encode(delta, -1)))
        others = len(self.network.nodes) - 1
        self.assertLess(self.network.part_bytes, 1.4 * others * whole)

    def test_a_peer_whose_version_is_unknown_gets_the_whole(self) -> None:
        lone = list(self.network.nodes.values())[-1]
        self.network.configure(lone, many_routes(3, 40, 7), revision=3)
        lone_base = lone.history.newest_version
        self.network.configure(self.first, many_routes(9, 40, 7), revision=10)
        self.assertIsNone(self.first.history.find(lone_base or 0))
        self.network.run(3.0)
        self.assertEqual(self.network.versions(), {9})
