"""Whether a node is ready to take packets, and if not, why."""

from __future__ import annotations

from dataclasses import dataclass

from beamloom.runtime.balancer import BalancerProcess
from beamloom.runtime.machine_list import MachineList


@dataclass(frozen=True, slots=True)
class Readiness:
    """`reason` is empty where `ready`."""

    ready: bool
    reason: str = ""


def readiness_of(balancer: BalancerProcess, machines: MachineList) -> Readiness:
    """Return the node's readiness now."""
    core = balancer.core
    if balancer.failure is not None:
        return Readiness(False, str(balancer.failure))
    if core.ready:
        return Readiness(True)
    if core.replica.ready:
        return Readiness(False, "the node is stopping")
    if machines.last_failure is not None:
        return Readiness(False, f"waiting for the configuration: {machines.last_failure}")
    return Readiness(False, "waiting for the configuration from peers or the platform's store")
