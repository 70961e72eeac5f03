"""Differences between configuration versions, and the history of a node."""

import unittest

from beamloom.routing.tokens.configuration_history import (
    MAXIMUM_KEPT_VERSIONS,
    ConfigurationHistory,
    apply_difference,
    difference_between,
)
from beamloom.routing.tokens.records import RoutingConfiguration
from tests.unit.tokens.builders import many_routes


class DifferenceTest(unittest.TestCase):
    def test_a_difference_holds_the_changes_and_gives_the_target(self) -> None:
        base = many_routes(1, 100)
        target = RoutingConfiguration(2, many_routes(2, 110, 3).routes[:50], 7.0)
        difference = difference_between(base, target)
        assert difference is not None
        self.assertEqual(len(difference.changed), 3)
        self.assertEqual(len(difference.removed), 50)
        self.assertEqual(apply_difference(base, difference), target)

    def test_new_routes_are_appended(self) -> None:
        base, target = many_routes(1, 10), many_routes(2, 14)
        difference = difference_between(base, target)
        assert difference is not None
        self.assertEqual(apply_difference(base, difference), target)

    def test_there_is_none_if_it_would_not_give_the_exact_target(self) -> None:
        base = many_routes(1, 10)
        reversed_order = RoutingConfiguration(2, tuple(reversed(base.routes)))
        self.assertIsNone(difference_between(base, reversed_order))
        twice = RoutingConfiguration(2, base.routes + base.routes[:1])
        self.assertIsNone(difference_between(base, twice))


class HistoryTest(unittest.TestCase):
    def test_it_keeps_the_last_versions(self) -> None:
        history = ConfigurationHistory()
        self.assertIsNone(history.newest_version)
        for version in range(MAXIMUM_KEPT_VERSIONS + 5):
            history.note(many_routes(version, 3))
        self.assertEqual(history.newest_version, MAXIMUM_KEPT_VERSIONS + 4)
        self.assertIsNone(history.find(4))
        kept = history.find(5)
        assert kept is not None
        self.assertEqual(kept.version, 5)

    def test_versions_share_their_routes(self) -> None:
        history = ConfigurationHistory()
        history.note(many_routes(1, 10))
        history.note(many_routes(2, 10, 1))
        first, second = history.find(1), history.find(2)
        assert first is not None
        assert second is not None
        self.assertIsNot(first.routes[0], second.routes[0])
        self.assertIs(first.routes[5], second.routes[5])
