"""Reloads in series at every moment of a node's life, beside whatever else befalls it.

They are drawn from a chance of their own: each seed plays its other faults as it always did. While
the interpreter itself starts nothing is sent: no program can take a signal then.
"""

from __future__ import annotations

import asyncio
import random
import signal

from beamloom.soak.harness import SoakHarness

LONGEST_PAUSE_SECONDS = 3.0
LONGEST_BURST_SECONDS = 0.6
"""Longer than a start, so that a burst at one goes on until the node is ready."""
GAP_SECONDS = 0.002
SHARE_AT_RESTARTS = 0.4
"""How many bursts strike a node that is stopped or killed just then."""


class SignalBursts:
    """Bursts on a harness, drawn by chance."""

    def __init__(self, harness: SoakHarness, chance: random.Random) -> None:
        self._harness = harness
        self._chance = chance

    async def run(self, until: float) -> None:
        """Strike again and again until a moment of the loop's clock."""
        while self._harness.now < until:
            await asyncio.sleep(self._chance.uniform(0.0, LONGEST_PAUSE_SECONDS))
            name = self._chance.choice(sorted(self._harness.nodes))
            await self._strike(name)

    async def _strike(self, name: str) -> None:
        """Send a burst to a node, through its planned stop, its death or its start at times."""
        if self._chance.random() < SHARE_AT_RESTARTS:
            end = self._chance.choice((self._harness.stop, self._harness.kill))
            end(name)
            await asyncio.sleep(self._chance.uniform(0.0, LONGEST_BURST_SECONDS))
        node = self._harness.nodes[name]
        end_at = self._harness.now + self._chance.uniform(0.0, LONGEST_BURST_SECONDS)
        while self._harness.now < end_at:
            if node.holds(signal.SIGHUP):
                node.send(signal.SIGHUP)
            await asyncio.sleep(GAP_SECONDS)
