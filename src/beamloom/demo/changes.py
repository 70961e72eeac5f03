"""Planned changes during the demo: drain one backend and replace every balancer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from beamloom.demo.fleet import LoopbackFleet
from beamloom.model.machines import NodeId

FIRST_CHANGE_SHARE = 0.15
"""Time of the first change, as a share of the demo's duration."""


@dataclass(slots=True)
class PlannedChanges:
    """The changes made so far: number of replaced balancers, and key of the drained backend."""

    replaced: int = 0
    drained: str = ""


async def make_changes(fleet: LoopbackFleet, duration: float, made: PlannedChanges) -> None:
    """Drain one backend, then replace the initial balancers one by one; record both in `made`."""
    await asyncio.sleep(duration * FIRST_CHANGE_SHARE)
    made.drained = fleet.drain_backend()
    for node_id in list(fleet.balancers):
        await replace_balancer(fleet, node_id)
        made.replaced += 1


async def replace_balancer(fleet: LoopbackFleet, node_id: NodeId) -> None:
    """Start a new balancer, wait until it is ready, and stop the old one as planned."""
    await fleet.start_balancer()
    await fleet.stop_balancer(node_id)
