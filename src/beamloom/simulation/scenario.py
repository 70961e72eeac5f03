"""Scenarios: a schedule of operations and faults, and the goals of the run."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from beamloom.simulation.deployment import VAKATALE, Site
from beamloom.simulation.faults import FaultInjector
from beamloom.simulation.fleet import Fleet
from beamloom.simulation.operations import Operations
from beamloom.simulation.report import SimulationResult
from beamloom.simulation.workload import Workload


@dataclass(frozen=True, slots=True)
class ScenarioContext:
    """The parts of a run that a schedule uses; `duration` is in seconds."""

    fleet: Fleet
    operations: Operations
    faults: FaultInjector
    workload: Workload
    duration: float
    rng: random.Random

    def at(self, share: float, action: Callable[[], object]) -> None:
        """Call `action` when `share` (0 to 1) of the run's duration has passed."""
        self.fleet.clock.call_at(share * self.duration, action)

    def random_node(self) -> str:
        """Return the name of a random balancer that runs and is not leaving."""
        return self.rng.choice(self.fleet.running_nodes()).name


@dataclass(frozen=True, slots=True)
class Goal:
    """A condition that the result of a run must satisfy."""

    name: str
    met: Callable[[SimulationResult], bool]


@dataclass(frozen=True, slots=True)
class Scenario:
    """A named scenario; `duration` is its default duration in seconds."""

    name: str
    summary: str
    schedule: Callable[[ScenarioContext], None]
    goals: tuple[Goal, ...] = ()
    sites: tuple[Site, ...] = (VAKATALE,)
    duration: float = 120.0


def broken_share_at_most(share: float) -> Goal:
    """Return the goal that at most `share` of the flows are broken."""
    return Goal(
        f"broken flows <= {share:.2%}", lambda result: result.broken_flows <= share * result.flows
    )


def imbalance_at_most(limit: float) -> Goal:
    """Return the goal that no backend has more than `limit` times its service's mean of open flows.

    The goal is missed if no service had enough open flows for the figure to be computed.
    """
    return Goal(
        f"imbalance <= {limit:.2f}",
        lambda result: result.imbalance_services > 0 and result.imbalance <= limit,
    )


NO_BROKEN_FLOW = broken_share_at_most(0.0)
CONTROL_BUDGET = Goal(
    "control <= 4096 bytes/s", lambda result: result.control_bytes_per_second.max <= 4096
)
