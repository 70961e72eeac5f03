"""The runs of an experiment in their order, and which of them a part takes."""

from __future__ import annotations

import itertools
import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from beamloom.experiments.definition import ExperimentFile, SweepTable
from beamloom.experiments.errors import PartError

_PART = re.compile(r"([1-9]\d{0,4})/([1-9]\d{0,4})")


@dataclass(frozen=True, slots=True)
class SimulationCell:
    """One run of the simulator; zero for `duration` takes the scenario's own, in seconds."""

    scenario: str
    placement: str
    nodes: int
    seed: int
    flows: int
    duration: float


@dataclass(frozen=True, slots=True)
class ForwardingCell:
    """One measurement of a packet's decision with a number of open flows."""

    open_flows: int


Cell = SimulationCell | ForwardingCell


@dataclass(frozen=True, slots=True)
class Part:
    """Part `number` of `count`, both counted from 1."""

    number: int = 1
    count: int = 1

    @classmethod
    def parse(cls, text: str) -> Part:
        """Read `K/N`; raises PartError."""
        found = _PART.fullmatch(text)
        if found is None or int(found[1]) > int(found[2]):
            raise PartError(text)
        return cls(int(found[1]), int(found[2]))

    @property
    def file_name(self) -> str:
        """The file that holds the part's results."""
        return f"part-{self.number}-of-{self.count}.jsonl"

    def select(self, cells: Sequence[Cell]) -> list[Cell]:
        """Return the part's share of the cells: every `count`-th one."""
        return list(cells[self.number - 1 :: self.count])


def cells_of(experiment: ExperimentFile) -> list[Cell]:
    """Return every run once, in the order of the file."""
    cells: dict[Cell, None] = {}
    for sweep in experiment.sweeps:
        cells.update(dict.fromkeys(_simulations(sweep)))
    cells.update(dict.fromkeys(map(ForwardingCell, experiment.forwarding.open_flows)))
    return list(cells)


def _simulations(sweep: SweepTable) -> Iterator[SimulationCell]:
    sweeps = itertools.product(sweep.scenarios, sweep.placements, sweep.nodes, sweep.seeds)
    for scenario, placement, nodes, seed in sweeps:
        yield SimulationCell(scenario, placement, nodes, seed, sweep.flows, sweep.duration_seconds)
