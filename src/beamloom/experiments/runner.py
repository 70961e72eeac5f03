"""Runs cells of an experiment."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable, Iterator
from dataclasses import asdict

from beamloom.bench.forwarding import measure_decision
from beamloom.experiments.plan import Cell, ForwardingCell, SimulationCell
from beamloom.experiments.results import CellResult
from beamloom.simulation.baselines import Placement, core_factory
from beamloom.simulation.scenarios import SCENARIOS
from beamloom.simulation.simulation import RunOptions, simulate


def run_cells(cells: Iterable[Cell]) -> Iterator[CellResult]:
    """Run the cells one after the other and yield their results."""
    for cell in cells:
        yield CellResult(cell, _run(cell))


def _run(cell: Cell) -> dict[str, object]:
    if isinstance(cell, ForwardingCell):
        microseconds = asyncio.run(measure_decision(cell.open_flows))
        return {"decision_microseconds": round(microseconds, 3)}
    return _simulate(cell)


def _simulate(cell: SimulationCell) -> dict[str, object]:
    placement = Placement(cell.placement)
    options = RunOptions(
        seed=cell.seed,
        nodes=cell.nodes,
        flows=cell.flows,
        duration=cell.duration,
        placement=placement.value,
        core_factory=core_factory(placement),
    )
    result = simulate(SCENARIOS[cell.scenario], options)
    return {**asdict(result), "passed": result.passed}
