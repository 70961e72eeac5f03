"""Backends that nodes have found silent, as they tell each other."""

import unittest
from collections.abc import Callable

from beamloom.replication.down_reports import TELLING_SECONDS
from beamloom.replication.view_exchange import FORWARD_PEERS
from tests.unit.views.exchange_network import Network


class SilentBackendsTest(unittest.TestCase):
    """Found by incident inc-6391: each of 74 nodes found out for itself, and clients waited."""

    def setUp(self) -> None:
        self.network = Network(80, seed=8, loss=0.01)
        self.suspected: dict[str, set[str]] = {}
        for node in self.network.nodes.values():
            node.exchange.reports.on_silent = self.make_hook(node.host)
        self.network.run(6.0)

    def make_hook(self, host: str) -> Callable[[str, float, float], None]:
        def note(backend: str, _at: float, _now: float) -> None:
            self.suspected.setdefault(backend, set()).add(host)

        return note

    def test_what_two_nodes_found_all_know_within_two_seconds(self) -> None:
        first, second = list(self.network.nodes.values())[10:12]
        first.exchange.reports.note_silent("dead", self.network.now)
        self.network.run(1.0)
        self.assertEqual(self.suspected, {})
        second.exchange.reports.note_silent("dead", self.network.now)
        self.network.run(2.0)
        self.assertGreaterEqual(len(self.suspected["dead"]), 79)

    def test_it_costs_a_few_datagrams_a_node(self) -> None:
        self.network.run(3.0)
        before = self.network.sent
        self.network.run(3.0)
        quiet = self.network.sent - before
        for node in list(self.network.nodes.values())[10:40]:
            node.exchange.reports.note_silent("dead", self.network.now)
        before = self.network.sent
        self.network.run(3.0)
        extra = self.network.sent - before - quiet
        self.assertLess(extra / len(self.network.nodes), 20.0)

    def test_where_everything_fails_what_nodes_tell_stays_bounded(self) -> None:
        """Found on a grown site: reports were passed on one by one, and nodes of a fourteenth of a
        core did nothing else."""
        before = self.network.sent
        for _ in range(4):
            for node in self.network.nodes.values():
                for number in range(100):
                    node.exchange.reports.note_silent(f"dead-{number}", self.network.now)
            self.network.run(1.0)
        rate = (self.network.sent - before) / len(self.network.nodes) / 4
        self.assertLess(rate, 20.0)


class DownReportsTest(unittest.TestCase):
    """Backends that nodes have found dead: all hear at once, at a bounded cost."""

    def setUp(self) -> None:
        self.network = Network(80, seed=9, loss=0.01)
        self.heard: dict[str, set[str]] = {}
        for node in self.network.nodes.values():
            node.exchange.reports.on_down = self.make_hook(node.host)
        self.network.run(6.0)

    def make_hook(self, host: str) -> Callable[[str, float], None]:
        def note(backend: str, _now: float) -> None:
            self.heard.setdefault(backend, set()).add(host)

        return note

    def test_nearly_all_hear_within_half_a_second(self) -> None:
        node = list(self.network.nodes.values())[10]
        node.exchange.note_down("dead", self.network.now)
        self.network.flush(node)
        self.network.run(0.5)
        self.assertGreaterEqual(len(self.heard["dead"]), 74)

    def test_where_everything_dies_what_nodes_tell_stays_bounded(self) -> None:
        before, began_at = self.network.sent, self.network.now
        for number in range(100):
            for node in list(self.network.nodes.values())[:20]:
                node.exchange.note_down(f"dead-{number}", self.network.now)
                self.network.flush(node)
            self.network.run(0.01)
        self.network.run(1.0)
        self.assertEqual(len(self.heard), 100)
        seconds = self.network.now - began_at
        rate = (self.network.sent - before) / len(self.network.nodes) / seconds
        self.assertLess(rate, FORWARD_PEERS / TELLING_SECONDS)
