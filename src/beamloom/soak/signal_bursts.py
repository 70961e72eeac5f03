"""Bursts of reload signals (SIGHUP) to nodes, also while they start or stop.

They have a generator of their own, so that they do not change the other faults of a seed. No signal
is sent while the interpreter itself starts, as no program can handle one then.
"""

from __future__ import annotations

import asyncio
import random
import signal

from beamloom.soak.harness import SoakHarness

MAXIMUM_PAUSE_SECONDS = 3.0
MAXIMUM_BURST_SECONDS = 0.6
"""Longer than a start, so that a burst can last until the node is ready."""
SIGNAL_INTERVAL_SECONDS = 0.002
RESTART_FRACTION = 0.4
"""Fraction of bursts that are sent to a node that was just stopped or killed."""


class SignalBursts:
    """Sends bursts to random nodes of a harness at random times."""

    def __init__(self, harness: SoakHarness, rng: random.Random) -> None:
        self._harness = harness
        self._rng = rng

    async def run(self, until: float) -> None:
        """Send bursts until a time of the event loop's clock."""
        while self._harness.now < until:
            await asyncio.sleep(self._rng.uniform(0.0, MAXIMUM_PAUSE_SECONDS))
            name = self._rng.choice(sorted(self._harness.nodes))
            await self._send_burst(name)

    async def _send_burst(self, name: str) -> None:
        """Send a burst to a node, sometimes after stopping or killing it."""
        if self._rng.random() < RESTART_FRACTION:
            end_node = self._rng.choice((self._harness.stop, self._harness.kill))
            end_node(name)
            await asyncio.sleep(self._rng.uniform(0.0, MAXIMUM_BURST_SECONDS))
        node = self._harness.nodes[name]
        end_at = self._harness.now + self._rng.uniform(0.0, MAXIMUM_BURST_SECONDS)
        while self._harness.now < end_at:
            if node.handles_signal(signal.SIGHUP):
                node.send(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
