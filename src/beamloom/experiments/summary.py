"""Rows of the report's tables, computed from the results of cells."""

from __future__ import annotations

from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass
from statistics import mean, median
from typing import Any, TypeVar

from beamloom.experiments.plan import ForwardingCell, SimulationCell
from beamloom.experiments.results import CellResult

PRODUCT_PLACEMENT = "home"
Figures = Mapping[str, Any]
Key = TypeVar("Key", bound=Hashable)


@dataclass(frozen=True, slots=True)
class PlacementRow:
    """One scenario with one placement, over all seeds and numbers of nodes."""

    scenario: str
    placement: str
    runs: int
    flows: int
    broken_flows: int
    violations: int
    mean_imbalance: float
    worst_imbalance: float

    @property
    def broken_per_thousand(self) -> float:
        """Broken flows per thousand flows, or 0 without flows."""
        return 1000 * self.broken_flows / self.flows if self.flows else 0.0


@dataclass(frozen=True, slots=True)
class NodesRow:
    """Fleets of one size with the product's placement, over scenarios and seeds.

    `in_force` is in seconds, `control` in bytes per second and node.
    """

    nodes: int
    runs: int
    broken_flows: int
    in_force_median: float
    in_force_worst: float
    control_median: float
    control_worst: float


@dataclass(frozen=True, slots=True)
class DecisionRow:
    """The cost of a forwarding decision with a number of open flows."""

    open_flows: int
    microseconds: float


def placement_rows(results: Sequence[CellResult]) -> list[PlacementRow]:
    """Return one row for each scenario and placement, in the order of the results.

    A scenario's numbers of nodes that did not run with each of its placements are left out.
    """
    comparable = _with_every_placement(results)
    groups = _group_figures(comparable, lambda cell: (cell.scenario, cell.placement))
    return [
        PlacementRow(
            scenario,
            placement,
            len(group),
            sum(figures["flows"] for figures in group),
            sum(figures["broken_flows"] for figures in group),
            sum(len(figures["violations"]) for figures in group),
            mean(figures["imbalance"] for figures in group),
            max(figures["imbalance"] for figures in group),
        )
        for (scenario, placement), group in groups.items()
    ]


def nodes_rows(results: Sequence[CellResult]) -> list[NodesRow]:
    """Return one row for each number of nodes, for the product's placement only.

    Only scenarios that ran with every number of nodes are included, so that rows are comparable.
    """
    own = [result for result in results if _placement(result) == PRODUCT_PLACEMENT]
    common = _scenarios_at_every_size(own)
    groups = _group_figures(
        [result for result in own if result.figures["scenario"] in common],
        lambda cell: cell.nodes,
    )
    return [_nodes_row(nodes, groups[nodes]) for nodes in sorted(groups)]


def _nodes_row(nodes: int, group: Sequence[Figures]) -> NodesRow:
    in_force = [figures["config_in_force_seconds"] for figures in group]
    control = [figures["control_bytes_per_second"] for figures in group]
    return NodesRow(
        nodes,
        len(group),
        sum(figures["broken_flows"] for figures in group),
        median(item["p50"] for item in in_force),
        max(item["max"] for item in in_force),
        median(item["median"] for item in control),
        max(item["max"] for item in control),
    )


def decision_rows(results: Sequence[CellResult]) -> list[DecisionRow]:
    """Return the costs of a forwarding decision, sorted by number of open flows."""
    rows = [
        DecisionRow(result.cell.open_flows, result.figures["decision_microseconds"])
        for result in results
        if isinstance(result.cell, ForwardingCell)
    ]
    return sorted(rows, key=lambda row: row.open_flows)


def _with_every_placement(results: Sequence[CellResult]) -> list[CellResult]:
    placements_by_scenario: dict[str, set[str]] = {}
    placements_by_size: dict[tuple[str, int], set[str]] = {}
    for cell in (result.cell for result in results):
        if isinstance(cell, SimulationCell):
            placements_by_scenario.setdefault(cell.scenario, set()).add(cell.placement)
            placements_by_size.setdefault((cell.scenario, cell.nodes), set()).add(cell.placement)
    return [
        result
        for result in results
        if isinstance(result.cell, SimulationCell)
        and placements_by_size[result.cell.scenario, result.cell.nodes]
        == placements_by_scenario[result.cell.scenario]
    ]


def _scenarios_at_every_size(results: Sequence[CellResult]) -> set[str]:
    sizes: dict[int, set[str]] = {}
    for result in results:
        if isinstance(result.cell, SimulationCell):
            sizes.setdefault(result.cell.nodes, set()).add(result.cell.scenario)
    return set.intersection(*sizes.values()) if sizes else set()


def _placement(result: CellResult) -> str:
    return result.cell.placement if isinstance(result.cell, SimulationCell) else ""


def _group_figures(
    results: Sequence[CellResult], key: Callable[[SimulationCell], Key]
) -> dict[Key, list[Figures]]:
    groups: dict[Key, list[Figures]] = {}
    for result in results:
        if isinstance(result.cell, SimulationCell):
            groups.setdefault(key(result.cell), []).append(result.figures)
    return groups
