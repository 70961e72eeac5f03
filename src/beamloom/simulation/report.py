"""The result of a run, its JSON form and its table."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from statistics import median

from rich.table import Table

from beamloom.simulation.oracle import Violation


@dataclass(frozen=True, slots=True)
class InForceSeconds:
    """Seconds from the acceptance of a revision until it was in force, for all balancers."""

    p50: float
    p99: float
    max: float


@dataclass(frozen=True, slots=True)
class ControlBytesPerSecond:
    """Control bytes per second that a balancer sent, over all balancers and 10 s windows."""

    median: float
    max: float


@dataclass(frozen=True, slots=True)
class GoalOutcome:
    """One goal of the scenario and whether the run met it."""

    goal: str
    met: bool


@dataclass(frozen=True, slots=True)
class SimulationResult:
    """Result of a run; `imbalance` is the largest max/mean of open flows per backend of a service.

    `imbalance_services` is the number of services with enough open flows to compute it; if there
    are none, `imbalance` is 1.0.
    """

    scenario: str
    seed: int
    placement: str
    nodes: int
    duration: float
    flows: int
    broken_flows: int
    refused_flows: int
    imbalance: float
    imbalance_services: int
    violations: tuple[Violation, ...]
    config_in_force_seconds: InForceSeconds
    control_bytes_per_second: ControlBytesPerSecond
    goals: tuple[GoalOutcome, ...]
    packets: int
    digest: str

    @property
    def passed(self) -> bool:
        """Whether nothing was violated and every goal was met."""
        return not self.violations and all(outcome.met for outcome in self.goals)


def in_force_summary(seconds: Sequence[float]) -> InForceSeconds:
    """Return percentiles of the times; all zero if there are none."""
    if not seconds:
        return InForceSeconds(0.0, 0.0, 0.0)
    ordered = sorted(seconds)
    rank = min(len(ordered) - 1, int(len(ordered) * 0.99))
    return InForceSeconds(round(median(ordered), 6), round(ordered[rank], 6), round(ordered[-1], 6))


def control_summary(windows: Sequence[float]) -> ControlBytesPerSecond:
    """Return median and maximum of the windows; zero if there are none."""
    if not windows:
        return ControlBytesPerSecond(0.0, 0.0)
    return ControlBytesPerSecond(round(median(windows), 1), round(max(windows), 1))


def to_json(result: SimulationResult) -> str:
    """Return the result as one line of JSON."""
    return json.dumps({**asdict(result), "passed": result.passed})


def _imbalance_text(result: SimulationResult) -> str:
    if not result.imbalance_services:
        return "not computed: no service had enough open flows"
    return f"{result.imbalance:.3f} over {result.imbalance_services} services"


def to_table(result: SimulationResult) -> Table:
    """Return the result as a table."""
    table = Table(title=f"{result.scenario}, seed {result.seed}, {result.placement}")
    table.add_column("Measure")
    table.add_column("Value")
    in_force = result.config_in_force_seconds
    control = result.control_bytes_per_second
    rows = [
        ("flows", f"{result.flows}"),
        ("broken flows", f"{result.broken_flows}"),
        ("refused flows", f"{result.refused_flows}"),
        ("imbalance (max/mean)", _imbalance_text(result)),
        ("in force p50 / p99 / max", f"{in_force.p50} / {in_force.p99} / {in_force.max} s"),
        ("control median / max", f"{control.median} / {control.max} bytes/s"),
        ("packets forwarded", f"{result.packets}"),
        ("digest", result.digest),
    ]
    rows += [(f"goal: {item.goal}", "met" if item.met else "MISSED") for item in result.goals]
    rows += [
        (f"violation of {item.invariant}", f"{item.time:.3f} s, {item.subject}: {item.detail}")
        for item in result.violations
    ]
    for name, value in rows:
        table.add_row(name, value)
    return table
