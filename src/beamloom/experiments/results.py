"""Results of cells as JSON lines: one file per part, which are joined into one list."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

from beamloom.experiments.errors import ResultsIncompleteError
from beamloom.experiments.plan import Cell, ForwardingCell, SimulationCell

PART_PATTERN = "part-*.jsonl"
JOINED_FILE = "results.jsonl"


@dataclass(frozen=True, slots=True)
class CellResult:
    """The result of a cell: the simulator's report, or the microseconds of a decision."""

    cell: Cell
    figures: Mapping[str, Any]

    def to_line(self) -> str:
        """Return the result as a line of JSON, without a newline."""
        kind = "forwarding" if isinstance(self.cell, ForwardingCell) else "simulation"
        row = {kind: asdict(self.cell), "figures": dict(self.figures)}
        return json.dumps(row, separators=(",", ":"), sort_keys=True)

    @classmethod
    def from_line(cls, line: str) -> CellResult:
        """Parse a line of JSON; raises ValueError, KeyError or TypeError."""
        row = json.loads(line)
        if "forwarding" in row:
            return cls(ForwardingCell(**row["forwarding"]), row["figures"])
        return cls(SimulationCell(**row["simulation"]), row["figures"])


def write_results(path: Path, results: Iterable[CellResult]) -> None:
    """Write one line per result, as soon as `results` yields it."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", encoding="utf-8") as file:
        for result in results:
            file.write(result.to_line() + "\n")
            file.flush()


def join_results(directory: Path, cells: Sequence[Cell]) -> list[CellResult]:
    """Return the results of all parts in the order of the cells.

    Raises ResultsIncompleteError unless there is exactly one result for each cell.
    """
    found: list[CellResult] = []
    for path in sorted(directory.glob(PART_PATTERN)):
        found.extend(_read_part(directory, path))
    by_cell = {result.cell: result for result in found}
    duplicated = sum(count > 1 for count in Counter(result.cell for result in found).values())
    missing = sum(cell not in by_cell for cell in cells)
    unexpected = len(by_cell.keys() - set(cells))
    if duplicated or missing or unexpected:
        detail = f"{missing} missing, {duplicated} given twice, {unexpected} of another experiment"
        raise ResultsIncompleteError(str(directory), detail)
    return [by_cell[cell] for cell in cells]


def _read_part(directory: Path, path: Path) -> list[CellResult]:
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
        return [CellResult.from_line(line) for line in lines]
    except (ValueError, KeyError, TypeError) as error:
        detail = f"{path.name} cannot be read: {type(error).__name__}"
        raise ResultsIncompleteError(str(directory), detail) from error
