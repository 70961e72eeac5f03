"""Watches a node's own limits once it has been among its peers for a while.

What this takes is imported only then: a start has no time for it, and its load says nothing of
what comes after.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from beamloom.runtime.gradual_import import import_gradually

if TYPE_CHECKING:
    from collections.abc import Callable

    from beamloom.node.own_limits import OwnLimits
    from beamloom.node.token_core import TokenCore
    from beamloom.runtime.own_usage import UsageProbe
    from beamloom.settings.token_node import TokenNodeSettings

WATCH_AFTER_SECONDS = 10.0
"""A start of a whole fleet is over by then; the longest took 5 s at 300 nodes."""
LIMIT_MODULES = (
    "logging",
    "six",
    "transitions.core",
    "transitions",
    "beamloom.node.own_limits",
    "beamloom.runtime.own_usage",
)


class LimitWatch:
    """Samples what a node uses and lets its core shed roles; runs until cancelled.

    `on_fault` hears of an error of our own, after which nothing is watched any more: a node serves
    without this.
    """

    def __init__(
        self,
        core: TokenCore,
        settings: TokenNodeSettings,
        traffic: Callable[[], Counter[str]],
        on_fault: Callable[[Exception], None],
    ) -> None:
        self._on_fault = on_fault
        self.limits: OwnLimits | None = None
        self.probe: UsageProbe | None = None
        self._core = core
        self._settings = settings
        self._traffic = traffic

    @property
    def counters(self) -> Counter[str]:
        """Changes of state by limit, and figures that could not be read."""
        if self.limits is None or self.probe is None:
            return Counter()
        return self.limits.counters + self.probe.counters

    @property
    def level(self) -> int | None:
        """How much is given up, 0 being nothing; None before the first sample."""
        if self.limits is None:
            return None
        from beamloom.node.own_limits import STATES

        return STATES.index(self.limits.state)

    async def run(self) -> None:
        """Watch; an error ends the watch and not the node."""
        try:
            await self._watch()
        except Exception as error:
            self._on_fault(error)
            await asyncio.Event().wait()

    async def _watch(self) -> None:
        """Begin after WATCH_AFTER_SECONDS, then take a sample each second."""
        await asyncio.sleep(WATCH_AFTER_SECONDS)
        await import_gradually(LIMIT_MODULES)
        from beamloom.node.own_limits import SAMPLE_SECONDS, OwnLimits
        from beamloom.runtime.own_usage import UsageProbe

        settings = self._settings
        self.limits = OwnLimits(self._core.use_limits)
        self.probe = UsageProbe(settings.capacity, settings.unusable_limits, self._traffic)
        while True:
            self.limits.take(self.probe.sample(asyncio.get_running_loop().time()))
            await asyncio.sleep(SAMPLE_SECONDS)
