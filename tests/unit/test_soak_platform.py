"""The platform's side of a soak: faults that overlap end with the last of them."""

import unittest
from collections.abc import Callable

from beamloom.simulation.tokens.oracle import TokenOracle
from beamloom.soak.platform_side import SoakPlatform


class OverlappingFaultsTest(unittest.TestCase):
    def test_a_fault_that_strikes_twice_ends_with_the_last_stroke(self) -> None:
        """Soak seed 3764041940: after two strokes the store stayed unavailable."""
        waiting: list[tuple[float, Callable[[], object]]] = []

        def later(seconds: float, act: Callable[[], object]) -> None:
            waiting.append((seconds, act))

        platform = SoakPlatform("127.64", TokenOracle(), lambda: 0.0, later)
        platform.disturb_store("unavailable", True, 4.0)
        platform.disturb_store("unavailable", True, 4.0)
        waiting[0][1]()
        self.assertTrue(platform.server.faults.unavailable)
        waiting[1][1]()
        self.assertFalse(platform.server.faults.unavailable)
