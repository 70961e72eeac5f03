"""The report of an experiment: one Markdown page and its plots."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from beamloom.experiments.definition import ExperimentFile
from beamloom.experiments.plan import SimulationCell
from beamloom.experiments.plots import (
    broken_flows_plot,
    control_bytes_plot,
    decision_plot,
    imbalance_plot,
    in_force_plot,
)
from beamloom.experiments.results import CellResult
from beamloom.experiments.summary import (
    DecisionRow,
    NodesRow,
    PlacementRow,
    decision_rows,
    nodes_rows,
    placement_rows,
)

PAGE_NAME = "REPORT.md"


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the page with a table and plots; `plots` maps file names to SVG."""

    title: str
    text: str
    table: tuple[str, ...]
    plots: dict[str, str]


def write_report(
    directory: Path, experiment: ExperimentFile, results: Sequence[CellResult], command: str
) -> None:
    """Write the page and its plots; `command` is the command line that reproduces them."""
    directory.mkdir(parents=True, exist_ok=True)
    sections = list(_sections(results))
    for section in sections:
        for name, svg in section.plots.items():
            (directory / name).write_text(svg, encoding="utf-8")
    page = "\n".join(_page_lines(experiment, results, sections, command))
    (directory / PAGE_NAME).write_text(page, encoding="utf-8")


def _sections(results: Sequence[CellResult]) -> Iterator[Section]:
    placements = placement_rows(results)
    yield Section(
        "Broken flows and imbalance per placement",
        "Over seeds and the sizes that ran with every placement. A broken flow's backend lives; "
        "imbalance is the largest max/mean of open flows over a service's backends at the end of "
        "a run.",
        _placement_table(placements),
        {
            "broken-flows.svg": broken_flows_plot(placements),
            "imbalance.svg": imbalance_plot(placements),
        },
    )
    nodes = nodes_rows(results)
    if nodes:
        yield Section(
            "Time in force and control traffic against nodes",
            "The product's placement, over seeds and the scenarios that ran at every size. Worst "
            "is the largest value of any run; control bytes are what one node sends in a second, "
            "over windows of 10 s.",
            _nodes_table(nodes),
            {
                "in-force.svg": in_force_plot(nodes),
                "control-bytes.svg": control_bytes_plot(nodes),
            },
        )
    decisions = decision_rows(results)
    if decisions:
        yield Section(
            "Cost of a packet against open flows",
            "Processor time of the core's decision for a packet of a known flow, without sockets. "
            "The one figure here that depends on the machine and on its other work.",
            _decision_table(decisions),
            {"decision.svg": decision_plot(decisions)},
        )


def _page_lines(
    experiment: ExperimentFile,
    results: Sequence[CellResult],
    sections: Sequence[Section],
    command: str,
) -> Iterator[str]:
    yield f"# Experiment {experiment.name}"
    yield ""
    yield f"Made by `{command}`; not edited by hand."
    yield "Each run is one line of `results.jsonl` and is replayed by `beamloom simulate` with the"
    yield "scenario, placement, nodes, seed, flows and duration that the line names."
    yield ""
    yield from _total_lines(results)
    for section in sections:
        yield ""
        yield f"## {section.title}"
        yield ""
        yield section.text
        yield ""
        yield from section.table
        for name in section.plots:
            yield ""
            yield f"![{section.title}]({name})"
    yield ""


def _total_lines(results: Sequence[CellResult]) -> Iterator[str]:
    runs = [result for result in results if isinstance(result.cell, SimulationCell)]
    flows = sum(result.figures["flows"] for result in runs)
    yield f"{len(runs)} runs with {flows} flows."
    violated = [result for result in runs if result.figures["violations"]]
    by_placement: dict[str, int] = {}
    for result in violated:
        placement = str(result.figures["placement"])
        by_placement[placement] = by_placement.get(placement, 0) + 1
    if not violated:
        yield "The oracle saw no violation."
        return
    counts = ", ".join(f"{count} with {name}" for name, count in by_placement.items())
    yield f"The oracle saw violations in {len(violated)} runs: {counts}."


def _placement_table(rows: Sequence[PlacementRow]) -> tuple[str, ...]:
    head = (
        "scenario",
        "placement",
        "runs",
        "flows",
        "broken",
        "broken of 1,000",
        "violations",
        "imbalance, mean",
        "imbalance, worst",
    )
    cells = [
        (
            row.scenario,
            row.placement,
            f"{row.runs}",
            f"{row.flows}",
            f"{row.broken_flows}",
            f"{row.broken_per_thousand:.2f}",
            f"{row.violations}",
            f"{row.mean_imbalance:.3f}",
            f"{row.worst_imbalance:.3f}",
        )
        for row in rows
    ]
    return _table(head, cells)


def _nodes_table(rows: Sequence[NodesRow]) -> tuple[str, ...]:
    head = (
        "nodes",
        "runs",
        "broken",
        "in force, median s",
        "in force, worst s",
        "control, median B/s",
        "control, worst B/s",
    )
    cells = [
        (
            f"{row.nodes}",
            f"{row.runs}",
            f"{row.broken_flows}",
            f"{row.in_force_median:.3f}",
            f"{row.in_force_worst:.3f}",
            f"{row.control_median:.0f}",
            f"{row.control_worst:.0f}",
        )
        for row in rows
    ]
    return _table(head, cells)


def _decision_table(rows: Sequence[DecisionRow]) -> tuple[str, ...]:
    cells = [(f"{row.open_flows}", f"{row.microseconds:.2f}") for row in rows]
    return _table(("open flows", "microseconds per packet"), cells)


def _table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> tuple[str, ...]:
    lines = [header, ["---"] * len(header), *rows]
    return tuple(f"| {' | '.join(line)} |" for line in lines)
