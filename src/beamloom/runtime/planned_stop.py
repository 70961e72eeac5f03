"""A planned stop: a node keeps forwarding until the routers have stopped sending it packets.

Routers probe a node's readiness and stop using it after MISSES_NEEDED negative answers. The node
counts its own answers, so it knows when that is the case; to forward for longer would only delay
the stop of the next node of its zone. Before it reports that it is not ready, it waits for its turn
(`replication/stop_turns.py`), for a part of its grace period at most. A node that was never ready
has no flows and no routers that use it, so it stops without waiting.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

MISSES_NEEDED = 2
MINIMUM_PROBE_GAP_SECONDS = 0.3
"""Each router probes twice a second, so answers closer together went to different routers."""
IN_TRANSIT_SECONDS = 0.15
"""Time for packets in transit when the routers stopped using the node."""
MAXIMUM_FORWARD_SECONDS = 2.5
"""How long to keep forwarding at most, for example if no router probes."""
TURN_WAIT_FRACTION = 0.4
FORWARDING_FRACTION = 0.5
"""Maximum fractions of the grace period for waiting and for forwarding. The routers must have
stopped using the node within two thirds of the period (docs/QUESTIONS.md).
"""
POLL_SECONDS = 0.02


class PlannedStop:
    """The stop of one node, which is killed `grace_seconds` after the request to stop.

    `is_turn` returns whether it is the node's turn. `on_away` is called when the node becomes
    `away`: from then on it reports that it is not ready. Without `forwards` the node stops then.
    """

    def __init__(
        self,
        grace_seconds: float,
        is_turn: Callable[[], bool],
        on_away: Callable[[], None],
        *,
        forwards: bool = True,
    ) -> None:
        self._forwards = forwards
        self.away = False
        self._is_turn = is_turn
        self._on_away = on_away
        self._turn_seconds = TURN_WAIT_FRACTION * grace_seconds
        forward_seconds = FORWARDING_FRACTION * grace_seconds
        self._forward_seconds = min(MAXIMUM_FORWARD_SECONDS, forward_seconds)
        self._requested = asyncio.Event()
        self._routers_left = asyncio.Event()
        self._misses = 0
        self._missed_at = float("-inf")

    def request(self, *, in_use: bool = True) -> None:
        """Request the stop; a node that is not `in_use` was never ready."""
        if not in_use:
            self._forwards = False
            self._turn_seconds = 0.0
        self._requested.set()

    def record_miss(self, now: float) -> None:
        """Record a negative answer to a readiness probe; counts only while `away`."""
        if not self.away or now - self._missed_at < MINIMUM_PROBE_GAP_SECONDS:
            return
        self._missed_at = now
        self._misses += 1
        if self._misses >= MISSES_NEEDED:
            self._routers_left.set()

    async def wait(self) -> None:
        """Wait for a request to stop, then for the turn, then for the routers."""
        await self._requested.wait()
        await _within(self._turn_seconds, self._wait_for_turn())
        self.away = True
        self._on_away()
        if self._forwards:
            await _within(self._forward_seconds, self._wait_for_routers())

    async def _wait_for_turn(self) -> None:
        while not self._is_turn():
            await asyncio.sleep(POLL_SECONDS)

    async def _wait_for_routers(self) -> None:
        await self._routers_left.wait()
        await asyncio.sleep(IN_TRANSIT_SECONDS)


async def _within(seconds: float, steps: Coroutine[None, None, None]) -> None:
    """Run a coroutine, cancelled after `seconds`."""
    try:
        async with asyncio.timeout(seconds):
            await steps
    except TimeoutError:
        return
