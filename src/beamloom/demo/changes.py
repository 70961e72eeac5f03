"""The planned changes that go on during the demo: every balancer replaced, a backend drained."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from beamloom.demo.fleet import LoopbackFleet
from beamloom.model.machines import NodeId

FIRST_CHANGE_SHARE = 0.15
"""Share of the demo's duration that passes before the first change."""


@dataclass(slots=True)
class PlannedChanges:
    """What has been changed so far."""

    replaced: int = 0
    drained: str = ""


async def make_changes(fleet: LoopbackFleet, duration: float, done: PlannedChanges) -> None:
    """Drain one backend, then replace the balancers one by one; ends when cancelled or done."""
    await asyncio.sleep(duration * FIRST_CHANGE_SHARE)
    done.drained = fleet.drain_backend()
    for node_id in list(fleet.balancers):
        await replace_balancer(fleet, node_id)
        done.replaced += 1


async def replace_balancer(fleet: LoopbackFleet, node_id: NodeId) -> None:
    """Start a new balancer, wait until it is ready, and stop the old one as planned."""
    await fleet.start_balancer()
    await fleet.stop_balancer(node_id)
