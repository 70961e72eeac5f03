"""Limits of new flows at cold backends, for one node and for a fleet."""

import random
import unittest
from collections import Counter, defaultdict

from beamloom.replication.fleet_share import SETTLING_SECONDS, FleetShare
from beamloom.replication.peer_table import PeerTable
from beamloom.routing.tokens.cold_starts import (
    DISAGREEMENT_FACTOR,
    SENDERS_PER_BACKEND,
    ColdStartGate,
)
from beamloom.routing.tokens.packets import DropPacket, DropReason, ForwardPacket, ResetFlow
from beamloom.routing.tokens.placement import Placement, PlacementSettings
from beamloom.routing.tokens.records import RoutingConfiguration, ServiceWarmUp
from beamloom.routing.tokens.router import TokenRouter
from beamloom.routing.tokens.token import TokenCodec
from beamloom.settings.token_node import ColdStartLimits
from tests.unit.tokens.builders import (
    KEY,
    ZONE,
    backend,
    configuration,
    forwarded_to,
    opening,
    settled_share,
)

LIMITS = ColdStartLimits(excess_factor=1.5, slack_requests=5.0)
START = 10.0
RATES = (0.0, 4.0, 10.0, 40.0)
"""Requests per second that a cold backend can take."""


def make_router(*numbers: int, warm_up: float = 2.0, rate: float = 0.0) -> TokenRouter:
    """Return a router with cold backends of these numbers that may open flows at all of them."""
    gate = ColdStartGate(LIMITS)
    gate.is_sender = lambda identity, now: True
    gate.set_rates([ServiceWarmUp("tracker", 2.0, rate)])
    placement = Placement(ZONE, PlacementSettings(), random.Random(1), gate)
    router = TokenRouter(placement)
    router.codec = TokenCodec(KEY)
    routes = configuration(1, "tracker").routes
    warm_ups = (ServiceWarmUp("tracker", 2.0, rate),)
    router.activate(RoutingConfiguration(1, routes, warm_ups=warm_ups))
    for number in numbers:
        router.backends.update(backend(number, warm_up=warm_up), number, START)
    return router


class PlacementTest(unittest.TestCase):
    def test_warm_backends_get_all_new_flows_while_they_have_room(self) -> None:
        router = make_router(1, 2)
        router.backends.update(backend(3, zone="east", slots=30), 9, START)
        chosen = {forwarded_to(router.handle(opening(n), START)) for n in range(20)}
        self.assertEqual(chosen, {3})

    def test_a_warm_backend_without_room_shares_with_cold_ones(self) -> None:
        router = make_router(1)
        router.backends.update(backend(3, slots=2), 9, START)
        chosen = Counter(forwarded_to(router.handle(opening(n), START)) for n in range(20))
        self.assertEqual(chosen[1], 1)

    def test_a_backend_is_warm_after_its_warm_up(self) -> None:
        router = make_router(1)
        for client in range(20):
            command = router.handle(opening(client), START + 2.1)
            self.assertIsInstance(command, ForwardPacket)

    def test_an_opening_is_dropped_until_a_copy_if_all_backends_are_cold(self) -> None:
        router = make_router(1)
        self.assertIsInstance(router.handle(opening(1), START), ForwardPacket)
        command = router.handle(opening(2), START)
        assert isinstance(command, DropPacket)
        self.assertIs(command.reason, DropReason.COLD_BACKENDS)
        self.assertIsInstance(router.handle(opening(2, 1), START + 1.3), ForwardPacket)

    def test_the_last_copy_is_refused_at_once(self) -> None:
        router = make_router(1)
        router.may_refuse = True
        router.handle(opening(1), START)
        self.assertIsInstance(router.handle(opening(2), START), DropPacket)
        self.assertIsInstance(router.handle(opening(2, 2), START + 0.6), ResetFlow)

    def test_backends_are_presumed_cold_after_an_evacuation(self) -> None:
        router = make_router(1, 2, warm_up=0.0)
        router.backends.evacuate(frozenset({ZONE}), START)
        router.backends.evacuate(frozenset(), START + 8.0)
        router.backends.update(backend(3, zone="east", slots=30), 9, START)
        self.assertEqual(forwarded_to(router.handle(opening(1), START + 9.9)), 3)
        self.assertNotEqual(forwarded_to(router.handle(opening(2), START + 10.1)), 3)

    def test_copies_count_against_the_limit(self) -> None:
        router = make_router(1, rate=4.0)
        self.assertIsInstance(router.handle(opening(1), START), ForwardPacket)
        self.assertIsInstance(router.handle(opening(1), START + 0.01), ForwardPacket)
        self.assertIsInstance(router.handle(opening(2), START + 0.02), DropPacket)


class FleetTest(unittest.TestCase):
    """All nodes open as many flows as they may, with different views of the fleet."""

    def most_in_a_second(self, nodes: int, missing: float, rate: float, seed: int) -> int:
        rng = random.Random(seed)
        hosts = [f"10.0.{number // 250}.{number % 250 + 1}" for number in range(nodes)]
        gates = []
        for host in hosts:
            known_hosts = [other for other in hosts if rng.random() >= missing]
            gate = ColdStartGate(LIMITS)
            gate.is_sender = settled_share(host, known_hosts, SENDERS_PER_BACKEND).is_assigned
            gate.set_rates([ServiceWarmUp("tracker", 2.0, rate)])
            gates.append(gate)
        router = make_router(*range(1, 5))
        cold = router.backends.of_service("tracker")
        sent: dict[str, list[float]] = defaultdict(list)
        for tick in range(40):
            now = START + tick * 0.05
            for gate in gates:
                for held in cold:
                    if gate.allows(held, now):
                        gate.note_opening(held, now)
                        sent[held.record.name].append(now + rng.uniform(0.0, 0.1))
        return max(
            sum(at <= other < at + 1.0 for other in times)
            for times in sent.values()
            for at in times
        )

    def test_no_second_exceeds_the_limit(self) -> None:
        for nodes, rates in ((7, RATES), (74, RATES), (300, (0.0, 4.0))):
            for rate in rates:
                allowed = rate * LIMITS.excess_factor + LIMITS.slack_requests
                for seed in range(2 if nodes < 100 else 1):
                    with self.subTest(nodes=nodes, rate=rate, seed=seed):
                        most = self.most_in_a_second(nodes, 0.05, rate, seed)
                        self.assertLessEqual(most, allowed)

    def test_at_least_one_node_opens_flows(self) -> None:
        for nodes in (1, 7, 74):
            self.assertGreater(self.most_in_a_second(nodes, 0.0, 0.0, 1), 0)

    def test_a_node_that_has_just_joined_holds_no_key(self) -> None:
        share = FleetShare(PeerTable("10.0.0.1", (), random.Random(1)), 2, START)
        self.assertFalse(share.is_assigned(7, START + SETTLING_SECONDS - 0.1))
        self.assertTrue(share.is_assigned(7, START + SETTLING_SECONDS))

    def test_a_key_belongs_to_the_given_number_of_nodes(self) -> None:
        hosts = [f"10.0.0.{number}" for number in range(1, 40)]
        for key in range(50):
            holders = sum(settled_share(host, hosts, 2).is_assigned(key, START) for host in hosts)
            self.assertEqual(holders, 2)

    def test_the_share_of_a_node_allows_for_different_views(self) -> None:
        self.assertGreaterEqual(SENDERS_PER_BACKEND * DISAGREEMENT_FACTOR, 4)
