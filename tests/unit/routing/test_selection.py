"""Homes balance backends by their own flows alone, even if each home has few of them."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from beamloom.model.contracts import BackendOperatingStatus, PlacementPreference, ServicePolicy
from beamloom.routing.hashing import SLOT_COUNT
from beamloom.routing.hooks import StaticHealth
from beamloom.routing.selection import PlacementReason, choose_backend
from beamloom.routing.services import RouteTable
from tests.unit.routing.fleet import backend, service

BACKENDS = [backend(number) for number in range(1, 8)]
SEEDS = range(1, 6)


class Health(StaticHealth):
    """Reports some backends offline and a weight factor for backend 2."""

    def __init__(self, offline: frozenset[int] = frozenset(), factor: float = 1.0) -> None:
        self._offline = offline
        self._factor = factor

    def status(self, backend_number: int) -> BackendOperatingStatus:
        offline = backend_number in self._offline
        return BackendOperatingStatus.OFFLINE if offline else BackendOperatingStatus.ONLINE

    def weight_factor(self, backend_number: int) -> float:
        return self._factor if backend_number == 2 else 1.0


class Homes:
    """Several homes of one service, each unaware of the others' flows."""

    def __init__(self, count: int, preference: PlacementPreference, seed: int) -> None:
        self.random = random.Random(seed)
        self.reasons: Counter[PlacementReason] = Counter()
        self.flows: Counter[int] = Counter()
        policy = ServicePolicy(placement_prefer=preference)
        self.routes = [RouteTable() for _ in range(count)]
        for routes in self.routes:
            routes.update([service([BACKENDS], policy=policy)])

    def open(self, flows: int, health: StaticHealth) -> None:
        for _ in range(flows):
            routes = self.random.choice(self.routes)
            route = routes.by_service_number[1]
            choice = choose_backend(route, self.random.randrange(SLOT_COUNT), routes, health)
            number = choice.backend_number
            route.open_flows[number] = route.open_flows.get(number, 0) + 1
            self.flows[number] += 1
            self.reasons[choice.reason] += 1

    def imbalance(self) -> float:
        return max(self.flows.values()) * len(self.flows) / sum(self.flows.values())


class BalanceTest(unittest.TestCase):
    def assert_balanced(self, homes: int, flows: int, limit: float, health: Health) -> None:
        for preference in PlacementPreference:
            for seed in SEEDS:
                with self.subTest(preference, seed=seed):
                    fleet = Homes(homes, preference, seed)
                    fleet.open(flows, health)
                    self.assertLessEqual(fleet.imbalance(), limit)

    def test_open_flows_are_even(self) -> None:
        self.assert_balanced(6, 350, 1.06, Health())

    def test_ties_of_many_homes_are_spread_over_backends(self) -> None:
        self.assert_balanced(48, 350, 1.18, Health())

    def test_wrong_weight_factor_causes_bounded_imbalance(self) -> None:
        self.assert_balanced(6, 350, 1.15, Health(factor=1.125))

    def test_flows_of_an_offline_backend_are_spread_evenly(self) -> None:
        health = Health(offline=frozenset({1}))
        self.assert_balanced(6, 350, 1.06, health)

    def test_balance_bounds_more_tightly_than_stickiness(self) -> None:
        moved = {}
        for preference in PlacementPreference:
            fleet = Homes(2, preference, 1)
            fleet.open(3500, Health())
            moved[preference] = 3500 - fleet.reasons[PlacementReason.FIRST_CANDIDATE]
            if preference is PlacementPreference.BALANCE:
                self.assertLessEqual(fleet.imbalance(), 1.01)
        stickiness, balance = PlacementPreference.STICKINESS, PlacementPreference.BALANCE
        self.assertLess(moved[stickiness], moved[balance] / 2)
