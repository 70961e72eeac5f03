"""Experiment files: what to sweep, read from TOML with all faults told at once."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from pydantic import Field

from beamloom.settings.file_faults import SettingsFileError
from beamloom.settings.file_models import FileModel, Name, fault_at, raise_faults, read_tables
from beamloom.settings.toml_source import KeyPath, TomlSource, load_toml
from beamloom.simulation.baselines import Placement
from beamloom.simulation.scenarios import SCENARIOS

MAXIMUM_NODES = 250
MAXIMUM_FLOWS = 1_000_000
MAXIMUM_CELLS = 100_000

Texts = Annotated[tuple[str, ...], Field(strict=False, min_length=1)]
Seeds = Annotated[
    tuple[Annotated[int, Field(ge=0)], ...],
    Field(strict=False, min_length=1),
]
NodeCounts = Annotated[
    tuple[Annotated[int, Field(ge=1, le=MAXIMUM_NODES)], ...],
    Field(strict=False, min_length=1),
]
FlowCounts = Annotated[
    tuple[Annotated[int, Field(ge=1, le=MAXIMUM_FLOWS)], ...], Field(strict=False)
]


class SweepTable(FileModel):
    """`[[sweeps]]`: every scenario with every placement, seed and number of nodes.

    A duration of zero takes the scenario's own.
    """

    scenarios: Texts
    placements: Texts
    seeds: Seeds
    nodes: NodeCounts
    flows: int = Field(ge=0, le=MAXIMUM_FLOWS)
    duration_seconds: float = Field(default=0.0, ge=0.0)


class ForwardingTable(FileModel):
    """`[forwarding]`: the cost of a packet's decision at each number of open flows."""

    open_flows: FlowCounts = ()


class ExperimentFile(FileModel):
    """The whole file."""

    name: Name
    sweeps: Annotated[tuple[SweepTable, ...], Field(strict=False, min_length=1)]
    forwarding: ForwardingTable = ForwardingTable()


def load_experiment(path: Path) -> ExperimentFile:
    """Read and check a file; raises an ExceptionGroup of SettingsFileErrors."""
    try:
        source = load_toml(path)
    except SettingsFileError as fault:
        raise ExceptionGroup("the experiment file has faults", [fault]) from None
    return check_experiment(source)


def check_experiment(source: TomlSource) -> ExperimentFile:
    """Return a checked file; raises an ExceptionGroup of SettingsFileErrors, all at once."""
    reading = read_tables(ExperimentFile, source)
    raise_faults([*reading.faults, *_faults(source, reading.tables)])
    return reading.tables


def _faults(source: TomlSource, tables: ExperimentFile) -> Iterator[SettingsFileError]:
    cells = 0
    for index, sweep in enumerate(tables.sweeps):
        path: KeyPath = ("sweeps", index)
        scenarios, placements = sweep.scenarios or (), sweep.placements or ()
        known = tuple(Placement)
        yield from _unknown(source, (*path, "scenarios"), scenarios, tuple(SCENARIOS))
        yield from _unknown(source, (*path, "placements"), placements, known)
        for name in ("scenarios", "placements", "seeds", "nodes"):
            yield from _repeated(source, (*path, name), getattr(sweep, name) or ())
        cells += len(scenarios) * len(placements) * len(sweep.seeds or ()) * len(sweep.nodes or ())
    if cells > MAXIMUM_CELLS:
        reason = f"{cells} runs are more than {MAXIMUM_CELLS}"
        yield fault_at(source, ("sweeps", 0), reason, "sweep less, or write several files")


def _unknown(
    source: TomlSource, path: KeyPath, names: tuple[str, ...], known: tuple[str, ...]
) -> Iterator[SettingsFileError]:
    for name in names:
        if name not in known:
            remedy = f"give some of {', '.join(known)}"
            yield fault_at(source, path, f"there is no {name!r}", remedy)


def _repeated(
    source: TomlSource, path: KeyPath, values: tuple[object, ...]
) -> Iterator[SettingsFileError]:
    if len(set(values)) < len(values):
        yield fault_at(source, path, "a value is given twice", "give each value once")
