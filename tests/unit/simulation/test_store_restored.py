"""A store that is restored from an older copy, below the revision that the nodes know.

Guards against nodes that list and watch in a tight loop, and miss changes, until the store has
assigned the lost revisions again.
"""

import random
import unittest
from collections.abc import Iterator
from unittest import mock

from beamloom.simulation.tokens.deployment import SERVICES, destination
from beamloom.simulation.tokens.fleet import TokenFleet
from beamloom.simulation.tokens.oracle import CONTACT_SECONDS
from beamloom.simulation.tokens.run import TokenRunOptions, run_tokens
from beamloom.simulation.tokens.store_restores import Writer
from beamloom.standins.token_client import FlowPlan

SETTLED_SECONDS = 6.0
AWAY_SECONDS = 2.5
MARGIN_SECONDS = 0.1
CHANGES = 12
"""Number of revisions that the restore loses; the tests write fewer after it."""
LATE_REWRITE_SECONDS = 9.0
"""Longer than a node in contact with the store may take to apply a change."""
LATE_REWRITE_SEEDS = range(25, 30)
RESTORED_SEEDS = range(300, 312)
UNREPORTED_ERA_SEEDS = range(312, 318)


class RestoredStoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = TokenFleet(seed=11)
        self.restores = self.fleet.make_restorable(random.Random(11))
        self.fleet.run(SETTLED_SECONDS)

    def lose_changes(self) -> None:
        """Restore the store without the last changes, and wait until nodes are in contact."""
        for _ in range(CHANGES):
            self.fleet.set_routes(self.fleet.routes)
            self.fleet.run(0.25)
        self.restores.restore(AWAY_SECONDS, copy_age_seconds=CHANGES * 0.25 + 0.5)
        self.fleet.run(AWAY_SECONDS + CONTACT_SECONDS + MARGIN_SECONDS)

    def serve(self, seconds: float) -> None:
        """Open flows at both addresses every 0.1 s."""
        for _ in range(int(seconds / 0.1)):
            for number in (1, 2):
                self.fleet.clients.open_flow(number, FlowPlan(requests=1, pause_seconds=0.0))
            self.fleet.run(0.1)

    def test_drain_after_a_restore_is_applied(self) -> None:
        self.lose_changes()
        self.fleet.drain_endpoint(self.fleet.running_endpoints(SERVICES[0])[0])
        self.serve(4.0)
        self.assertEqual(self.fleet.oracle.violations, [])

    def test_route_change_after_a_restore_is_applied(self) -> None:
        self.lose_changes()
        first, second = destination(1), destination(2)
        routes = self.fleet.routes
        self.fleet.set_routes({first: routes[second], second: routes[first]})
        self.serve(6.0)
        self.assertEqual(self.fleet.oracle.violations, [])

    def test_readers_do_not_call_the_store_in_a_loop(self) -> None:
        self.lose_changes()
        before = self.fleet.link.calls
        self.fleet.run(4.0)
        self.assertLess(self.fleet.link.calls - before, 100)

    def test_restarted_node_applies_no_older_version_than_its_peers(self) -> None:
        """Guards against a node that keeps the version in the restored copy.

        Its peers have a newer version at the same revision of the store. Operators write theirs
        again only LATE_REWRITE_SECONDS after the restore.
        """

        def late_writers(fleet: TokenFleet) -> Iterator[Writer]:
            yield Writer(fleet._rewrite_configuration, LATE_REWRITE_SECONDS, LATE_REWRITE_SECONDS)

        for seed in LATE_REWRITE_SEEDS:
            with self.subTest(seed=seed), mock.patch.object(TokenFleet, "writers", late_writers):
                self.fleet = TokenFleet(seed, join_seconds=0.4)
                restores = self.fleet.make_restorable(random.Random(seed))
                self.fleet.run(SETTLED_SECONDS)
                first, second = destination(1), destination(2)
                routes = self.fleet.routes
                self.fleet.set_routes({first: routes[second], second: routes[first]})
                self.fleet.run(0.6 + 0.1 * (seed % 5))
                restores.restore(1.0, copy_age_seconds=2.0)
                self.fleet.run(0.55)
                for name in sorted(self.fleet.nodes)[:3]:
                    self.fleet.kill_node(name)
                self.serve(LATE_REWRITE_SECONDS + 1.0)
                self.assertEqual(self.fleet.oracle.violations, [])

    def test_no_violation_with_restores_among_other_faults(self) -> None:
        self.assert_no_violations(RESTORED_SEEDS, reports_era=True)

    def test_no_violation_if_the_store_reports_no_era(self) -> None:
        self.assert_no_violations(UNREPORTED_ERA_SEEDS, reports_era=False)

    def test_no_violation_if_nodes_start_before_others_detect_a_restore_without_era(self) -> None:
        """Guards against a reset of flows at a live endpoint.

        It occurred when a node applied the entry of the former owner of the endpoint's address
        again; tests/unit/tokens/test_backend_restarts.py covers the cause.
        """
        options = TokenRunOptions(4023, faults=18, steady=False, restores=5, reports_era=False)
        self.assertEqual(run_tokens(options).violations, [])

    def assert_no_violations(self, seeds: range, *, reports_era: bool) -> None:
        for seed in seeds:
            with self.subTest(seed=seed):
                options = TokenRunOptions(
                    seed, faults=15, steady=seed % 2 == 0, restores=4, reports_era=reports_era
                )
                result = run_tokens(options)
                self.assertEqual(result.violations, [])
                self.assertGreater(result.flows["done"], 0.85 * 600)
