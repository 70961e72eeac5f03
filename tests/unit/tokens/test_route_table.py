"""Weighted round robin over the parts of a route, at one node and in a fleet."""

import random
import unittest
from collections import Counter

from beamloom.routing.tokens.records import RoutePart, RouteRecord, RoutingConfiguration
from beamloom.routing.tokens.route_table import RouteTable
from tests.unit.tokens.builders import DESTINATION

NODES = 300


def split_configuration(version: int, **weights: float) -> RoutingConfiguration:
    parts = tuple(RoutePart(service, weight) for service, weight in weights.items())
    return RoutingConfiguration(version, (RouteRecord("route", DESTINATION, parts),))


def shares(tables: list[RouteTable], flows: int) -> dict[str, float]:
    """Return each part's share of the flows, where each node gets `flows` of them."""
    taken: Counter[str] = Counter()
    for table in tables:
        route = table.find(DESTINATION)
        assert route is not None
        for _ in range(flows):
            taken[route.next_parts()[0].service] += 1
    return {service: count / taken.total() for service, count in taken.items()}


class SharesTest(unittest.TestCase):
    def make_tables(self, count: int, **weights: float) -> list[RouteTable]:
        tables = [RouteTable(random.Random(number)) for number in range(count)]
        for table in tables:
            table.activate(split_configuration(1, **weights))
        return tables

    def test_one_node_keeps_to_the_weights(self) -> None:
        found = shares(self.make_tables(1, a=7, b=2, c=1), 100)
        self.assertEqual(found, {"a": 0.7, "b": 0.2, "c": 0.1})

    def test_a_fleet_keeps_to_the_weights_with_few_flows_per_node(self) -> None:
        """Guards against a common start, which sent the first flows of all nodes to one part."""
        for flows in (1, 2, 3):
            with self.subTest(flows=flows):
                found = shares(self.make_tables(NODES, a=7, b=3), flows)
                self.assertAlmostEqual(found["a"], 0.7, delta=0.06)

    def test_a_new_version_keeps_the_round_robin_state(self) -> None:
        tables = self.make_tables(1, a=1, b=1)
        route = tables[0].find(DESTINATION)
        assert route is not None
        first = route.next_parts()[0].service
        tables[0].activate(split_configuration(2, a=1, b=1))
        after = tables[0].find(DESTINATION)
        assert after is not None
        self.assertNotEqual(after.next_parts()[0].service, first)

    def test_a_part_without_weight_comes_last(self) -> None:
        for table in self.make_tables(20, a=0, b=1, c=3):
            route = table.find(DESTINATION)
            assert route is not None
            for _ in range(8):
                self.assertEqual(route.next_parts()[-1].service, "a")
