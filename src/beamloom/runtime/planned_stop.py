"""When a node that was asked to stop may end: once the routers have turned to other nodes.

Routers ask a node whether it is ready and turn away after MISSES_NEEDED answers that it is not. The
node answers them itself, so it knows when they have; forwarding longer only means that it is still
away when the next node of its zone is stopped. Before it says that it is not ready it waits for its
turn (`replication/stop_turns.py`), as far as the time that it has allows. A node that was never
ready holds no flow, and no router has turned to it: it waits for nobody.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

MISSES_NEEDED = 2
SHORTEST_PROBE_GAP_SECONDS = 0.3
"""Routers ask twice a second; answers that are closer together went to two of them."""
LATE_PACKETS_SECONDS = 0.15
"""Packets that were under way when the routers turned away."""
LONGEST_FORWARD_SECONDS = 2.5
"""How long to forward where nobody asks."""
TURN_WAIT_FRACTION = 0.4
FORWARDING_FRACTION = 0.5
"""How much of the time until the node is killed may go by waiting and by forwarding. Routers must
have turned away within two thirds of it (docs/QUESTIONS.md).
"""
POLL_SECONDS = 0.02


class PlannedStop:
    """The stop of one node, which has `grace_seconds` from being asked to being killed.

    `may_go` returns whether it is the node's turn; `on_away` is called when its routers are to turn
    to others, from when on it is `away`. `forwards` is off only to measure what it is worth.
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
        self._forward_seconds = min(LONGEST_FORWARD_SECONDS, forward_seconds)
        self._requested = asyncio.Event()
        self._routers_left = asyncio.Event()
        self._misses = 0
        self._missed_at = float("-inf")

    def request(self, *, in_use: bool = True) -> None:
        """Note that the node was asked to stop; one that is not `in_use` was never ready."""
        if not in_use:
            self._forwards = False
            self._turn_seconds = 0.0
        self._requested.set()

    def record_miss(self, now: float) -> None:
        """Note that a router was told that the node is not ready."""
        if not self.away or now - self._missed_at < SHORTEST_PROBE_GAP_SECONDS:
            return
        self._missed_at = now
        self._misses += 1
        if self._misses >= MISSES_NEEDED:
            self._routers_left.set()

    async def wait(self) -> None:
        """Return when a stop was asked for and no more packets are to be expected."""
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
        await asyncio.sleep(LATE_PACKETS_SECONDS)


async def _within(seconds: float, steps: Coroutine[None, None, None]) -> None:
    """Take steps, but no longer than this."""
    try:
        async with asyncio.timeout(seconds):
            await steps
    except TimeoutError:
        return
