"""The failures that are injected during one phase of a scale run."""

from __future__ import annotations

import random

from beamloom.bench.scale_fleet import HollowFleet
from beamloom.bench.scale_nodes import HollowNode
from beamloom.model.machines import NodeId
from beamloom.simulation.network import split

MACHINE_FAILURES = 3
REPLACEMENTS = 4
RACK_SHARE = 0.02
SPLIT_SECONDS = 6.0


class FailurePlan:
    """Schedules crashes, replacements, a rack failure, a region partition and a zone failure.

    The times are proportional to the length of the phase. A replacement starts a node and stops the
    oldest one when the new one is ready.
    """

    def __init__(self, fleet: HollowFleet, rng: random.Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._join_seconds: list[float] = []
        self._joins = 0
        self._crashed = 0

    def schedule(self, seconds: float) -> None:
        """Schedule all failures of a phase that starts now."""
        call_later = self._fleet.clock.call_later
        for number in range(MACHINE_FAILURES):
            call_later(seconds * (0.05 + 0.05 * number), self._crash_some, 1)
        for number in range(REPLACEMENTS):
            call_later(seconds * (0.02 + 0.1 * number), self._start_replacement)
        rack = max(1, round(len(self._fleet.running()) * RACK_SHARE))
        call_later(seconds * 0.3, self._crash_some, rack)
        call_later(seconds * 0.45, self._split_regions)
        call_later(seconds * 0.75, self._lose_zone)

    def figures(self) -> dict[str, float]:
        """Return the counts of crashes and joins and the longest join."""
        return {
            "nodes_crashed": self._crashed,
            "joins_begun": self._joins,
            "joins_ready": len(self._join_seconds),
            "longest_join_seconds": round(max(self._join_seconds, default=0.0), 1),
        }

    def _crash_some(self, count: int) -> None:
        names = [NodeId(node.name) for node in self._fleet.running()]
        chosen = self._rng.sample(names, min(count, len(names) - 1))
        self._crash(chosen)

    def _crash(self, names: list[NodeId]) -> None:
        self._crashed += len(names)
        self._fleet.crash_nodes(names)

    def _split_regions(self) -> None:
        regions = sorted({zone.region for zone in self._fleet.zones})
        if len(regions) < 2:
            return
        blocks = split(regions[0], regions[1])
        self._fleet.network.block(*blocks)
        self._fleet.clock.call_later(SPLIT_SECONDS, self._fleet.network.unblock, *blocks)

    def _lose_zone(self) -> None:
        zone = self._fleet.zones[-1]
        names = [
            NodeId(node.name)
            for node in self._fleet.running()
            if node.machine.zone.name == zone.name
        ]
        self._crash(names)

    def _start_replacement(self) -> None:
        self._joins += 1
        node = self._fleet.start_node()
        self._poll_join(node, self._fleet.clock.now)

    def _poll_join(self, node: HollowNode, started: float) -> None:
        if not node.host.running:
            return
        if not node.core.ready:
            self._fleet.clock.call_later(0.25, self._poll_join, node, started)
            return
        self._join_seconds.append(self._fleet.clock.now - started)
        self._fleet.stop_node(NodeId(self._fleet.running()[0].name))
