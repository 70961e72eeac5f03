"""The runs of an experiment in order, and their division into parts."""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from beamloom.experiments.definition import ExperimentFile, SweepTable
from beamloom.experiments.errors import PartError

_PART_PATTERN = re.compile(r"([1-9]\d{0,4})/([1-9]\d{0,4})")


@dataclass(frozen=True, slots=True)
class SimulationCell:
    """One run of the simulator; `duration` is in seconds, and 0 selects that of the scenario."""

    scenario: str
    placement: str
    nodes: int
    seed: int
    flows: int
    duration: float


@dataclass(frozen=True, slots=True)
class ForwardingCell:
    """One measurement of the forwarding decision with a number of open flows."""

    open_flows: int


Cell = SimulationCell | ForwardingCell


@dataclass(frozen=True, slots=True)
class Part:
    """Part `number` of `count`, both counted from 1."""

    number: int = 1
    count: int = 1

    @classmethod
    def parse(cls, text: str) -> Part:
        """Parse `K/N`; raises PartError."""
        match = _PART_PATTERN.fullmatch(text)
        if match is None or int(match[1]) > int(match[2]):
            raise PartError(text)
        return cls(int(match[1]), int(match[2]))

    @property
    def file_name(self) -> str:
        """The name of the file with the part's results."""
        return f"part-{self.number}-of-{self.count}.jsonl"

    def select(self, cells: Sequence[Cell]) -> list[Cell]:
        """Return the cells of this part: every `count`-th one, from position `number`."""
        return list(cells[self.number - 1 :: self.count])


def cells_of(experiment: ExperimentFile) -> list[Cell]:
    """Return the cells of all tables without duplicates, in the order of the file."""
    cells: dict[Cell, None] = {}
    for sweep in experiment.sweeps:
        cells.update(dict.fromkeys(_simulation_cells(sweep)))
    cells.update(dict.fromkeys(map(ForwardingCell, experiment.forwarding.open_flows)))
    return list(cells)


def _simulation_cells(sweep: SweepTable) -> Iterator[SimulationCell]:
    sweeps = itertools.product(sweep.scenarios, sweep.placements, sweep.nodes, sweep.seeds)
    for scenario, placement, nodes, seed in sweeps:
        yield SimulationCell(scenario, placement, nodes, seed, sweep.flows, sweep.duration_seconds)
