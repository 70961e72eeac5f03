"""`beamloom experiment`: run a sweep of simulations, whole or in parts, and write its report."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

from beamloom.cli.errors import UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.experiments.definition import load_experiment
from beamloom.experiments.plan import Cell, Part, cells_of
from beamloom.experiments.report import PAGE_NAME, write_report
from beamloom.experiments.results import JOINED_FILE, CellResult, join_results, write_results
from beamloom.experiments.runner import run_cells


def register(app: App) -> None:
    """Add the command."""
    app.command(experiment)


def experiment(
    file: Path,
    /,
    *,
    output: Annotated[Path, Parameter(help="Where results and report are written.")],
    part: Annotated[str, Parameter(help="Run the K-th of N parts, given as K/N.")] = "",
    join: Annotated[bool, Parameter(negative="", help="Only join the parts' results.")] = False,
) -> int:
    """Sweep scenarios, placements, seeds and fleet sizes, and write the report.

    Without --part and --join the whole sweep runs in this process and the report is written.
    With --part only that part's results are written; run every part, then --join.
    """
    if part and join:
        raise UsageError("give --part or --join, not both.")
    definition = load_experiment(file)
    cells = cells_of(definition)
    if not join:
        chosen = Part.parse(part) if part else Part()
        selected = chosen.select(cells)
        results = run_cells(selected)
        write_results(output / chosen.file_name, _with_progress(results, selected))
    if join or not part:
        joined = join_results(output, cells)
        write_results(output / JOINED_FILE, joined)
        command = f"beamloom experiment {file.as_posix()} --output DIR"
        write_report(output, definition, joined, command)
        write_line(f"{len(joined)} results, see {output / PAGE_NAME}")
    return ExitStatus.SUCCESS


def _with_progress(results: Iterator[CellResult], cells: Sequence[Cell]) -> Iterator[CellResult]:
    """Yield the results and show their number as a progress bar on standard error."""
    columns = (
        TextColumn("runs"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeRemainingColumn(),
    )
    with Progress(*columns, console=Console(stderr=True)) as progress:
        task = progress.add_task("runs", total=len(cells))
        for result in results:
            yield result
            progress.advance(task)
