"""Watches a node's own limits, from some time after its start.

Its modules are imported only then, to keep the start short; the load of a start says nothing about
later load.
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
"""Longer than the start of a whole fleet takes: 5 s at 300 nodes."""
LIMIT_MODULES = (
    "logging",
    "six",
    "transitions.core",
    "transitions",
    "beamloom.node.own_limits",
    "beamloom.runtime.own_usage",
)


class LimitWatch:
    """Samples a node's usage and has its core shed roles; runs until cancelled.

    An unexpected error is passed to `on_fault` and ends the watch; the node continues to serve.
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
        """State changes by limit, and failed readings of the usage."""
        if self.limits is None or self.probe is None:
            return Counter()
        return self.limits.counters + self.probe.counters

    @property
    def level(self) -> int | None:
        """Index of the current state in STATES, 0 if no role is shed; None before the watch."""
        if self.limits is None:
            return None
        from beamloom.node.own_limits import STATES

        return STATES.index(self.limits.state)

    async def run(self) -> None:
        """Watch until cancelled, or do nothing more after an error."""
        try:
            await self._watch()
        except Exception as error:
            self._on_fault(error)
            await asyncio.Event().wait()

    async def _watch(self) -> None:
        """Wait for WATCH_AFTER_SECONDS, then take a sample every SAMPLE_SECONDS."""
        await asyncio.sleep(WATCH_AFTER_SECONDS)
        await import_gradually(LIMIT_MODULES)
        from beamloom.node.own_limits import SAMPLE_SECONDS, OwnLimits
        from beamloom.runtime.own_usage import UsageProbe

        settings = self._settings
        self.limits = OwnLimits(self._core.apply_limit_state)
        self.probe = UsageProbe(settings.capacity, settings.unusable_limits, self._traffic)
        while True:
            self.limits.add_sample(self.probe.sample(asyncio.get_running_loop().time()))
            await asyncio.sleep(SAMPLE_SECONDS)
