"""Spreading reports of silent and of dead backends through a fleet."""

import unittest
from collections.abc import Callable

from beamloom.replication.down_reports import SEND_INTERVAL_SECONDS
from beamloom.replication.view_exchange import FORWARD_PEERS
from tests.unit.views.exchange_network import Network


class SilentBackendsTest(unittest.TestCase):
    """Without reports each node detects a silent backend by itself, while clients wait."""

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

    def test_reports_of_two_nodes_reach_all_within_two_seconds(self) -> None:
        first, second = list(self.network.nodes.values())[10:12]
        first.exchange.reports.note_silent("dead", self.network.now)
        self.network.run(1.0)
        self.assertEqual(self.suspected, {})
        second.exchange.reports.note_silent("dead", self.network.now)
        self.network.run(2.0)
        self.assertGreaterEqual(len(self.suspected["dead"]), 79)

    def test_reports_cost_few_datagrams_per_node(self) -> None:
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

    def test_messages_stay_bounded_if_all_backends_are_silent(self) -> None:
        """Forwarding each report by itself would overload small machines."""
        before = self.network.sent
        for _ in range(4):
            for node in self.network.nodes.values():
                for number in range(100):
                    node.exchange.reports.note_silent(f"dead-{number}", self.network.now)
            self.network.run(1.0)
        rate = (self.network.sent - before) / len(self.network.nodes) / 4
        self.assertLess(rate, 20.0)


class DownReportsTest(unittest.TestCase):
    """Reports of dead backends reach all nodes at once, at a bounded cost."""

    def setUp(self) -> None:
        self.network = Network(80, seed=9, loss=0.01)
        self.reported: dict[str, set[str]] = {}
        for node in self.network.nodes.values():
            node.exchange.reports.on_down = self.make_hook(node.host)
        self.network.run(6.0)

    def make_hook(self, host: str) -> Callable[[str, float], None]:
        def note(backend: str, _now: float) -> None:
            self.reported.setdefault(backend, set()).add(host)

        return note

    def test_a_report_reaches_nearly_all_within_half_a_second(self) -> None:
        node = list(self.network.nodes.values())[10]
        node.exchange.note_down("dead", self.network.now)
        self.network.flush(node)
        self.network.run(0.5)
        self.assertGreaterEqual(len(self.reported["dead"]), 74)

    def test_messages_stay_bounded_if_all_backends_die(self) -> None:
        before, began_at = self.network.sent, self.network.now
        for number in range(100):
            for node in list(self.network.nodes.values())[:20]:
                node.exchange.note_down(f"dead-{number}", self.network.now)
                self.network.flush(node)
            self.network.run(0.01)
        self.network.run(1.0)
        self.assertEqual(len(self.reported), 100)
        seconds = self.network.now - began_at
        rate = (self.network.sent - before) / len(self.network.nodes) / seconds
        self.assertLess(rate, FORWARD_PEERS / SEND_INTERVAL_SECONDS)
