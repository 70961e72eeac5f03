"""Experiment files: TOML files that define sweeps, checked with all faults reported at once."""

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

NameList = Annotated[tuple[str, ...], Field(strict=False, min_length=1)]
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
    """`[[sweeps]]`: runs every combination of scenario, placement, seed and number of nodes.

    With a duration of zero each run lasts as long as its scenario defines.
    """

    scenarios: NameList
    placements: NameList
    seeds: Seeds
    nodes: NodeCounts
    flows: int = Field(ge=0, le=MAXIMUM_FLOWS)
    duration_seconds: float = Field(default=0.0, ge=0.0)


class ForwardingTable(FileModel):
    """`[forwarding]`: measures the cost of a forwarding decision at each number of open flows."""

    open_flows: FlowCounts = ()


class ExperimentFile(FileModel):
    """The root table of an experiment file."""

    name: Name
    sweeps: Annotated[tuple[SweepTable, ...], Field(strict=False, min_length=1)]
    forwarding: ForwardingTable = ForwardingTable()


def load_experiment(path: Path) -> ExperimentFile:
    """Read and check a file; raises an ExceptionGroup with a SettingsFileError for each fault."""
    try:
        source = load_toml(path)
    except SettingsFileError as fault:
        raise ExceptionGroup("the experiment file has faults", [fault]) from None
    return check_experiment(source)


def check_experiment(source: TomlSource) -> ExperimentFile:
    """Return the checked file; raises an ExceptionGroup with a SettingsFileError for each fault."""
    reading = read_tables(ExperimentFile, source)
    raise_faults([*reading.faults, *_find_faults(source, reading.tables)])
    return reading.tables


def _find_faults(source: TomlSource, tables: ExperimentFile) -> Iterator[SettingsFileError]:
    cells = 0
    for index, sweep in enumerate(tables.sweeps):
        path: KeyPath = ("sweeps", index)
        scenarios, placements = sweep.scenarios or (), sweep.placements or ()
        known = tuple(Placement)
        yield from _find_unknown(source, (*path, "scenarios"), scenarios, tuple(SCENARIOS))
        yield from _find_unknown(source, (*path, "placements"), placements, known)
        for name in ("scenarios", "placements", "seeds", "nodes"):
            yield from _find_repeated(source, (*path, name), getattr(sweep, name) or ())
        cells += len(scenarios) * len(placements) * len(sweep.seeds or ()) * len(sweep.nodes or ())
    if cells > MAXIMUM_CELLS:
        reason = f"{cells} runs exceed the limit of {MAXIMUM_CELLS}"
        yield fault_at(source, ("sweeps", 0), reason, "reduce the sweeps or split the file")


def _find_unknown(
    source: TomlSource, path: KeyPath, names: tuple[str, ...], known: tuple[str, ...]
) -> Iterator[SettingsFileError]:
    for name in names:
        if name not in known:
            remedy = f"choose from {', '.join(known)}"
            yield fault_at(source, path, f"{name!r} does not exist", remedy)


def _find_repeated(
    source: TomlSource, path: KeyPath, values: tuple[object, ...]
) -> Iterator[SettingsFileError]:
    if len(set(values)) < len(values):
        yield fault_at(source, path, "a value is given twice", "give each value once")
