"""SVG plots of the report; equal input gives identical bytes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from io import StringIO
from typing import Any

import matplotlib
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

from beamloom.experiments.summary import DecisionRow, NodesRow, PlacementRow

HASH_SALT = "beamloom experiments"
SIZE_INCHES = (8.0, 4.5)
GROUP_WIDTH = 0.8
"""Width of a scenario's group of bars; adjacent scenarios are 1 apart."""


def broken_flows_plot(rows: Sequence[PlacementRow]) -> str:
    """Return a bar chart of broken flows per thousand, by scenario and placement."""
    return _bar_chart(rows, "broken flows of a thousand", lambda row: row.broken_per_thousand)


def imbalance_plot(rows: Sequence[PlacementRow]) -> str:
    """Return a bar chart of the mean imbalance, by scenario and placement."""
    return _bar_chart(rows, "imbalance (max/mean of open flows)", lambda row: row.mean_imbalance)


def in_force_plot(rows: Sequence[NodesRow]) -> str:
    """Return a plot of the time until a change is in force against the number of nodes."""
    lines = {
        "median": [row.in_force_median for row in rows],
        "worst": [row.in_force_worst for row in rows],
    }
    return _line_chart([row.nodes for row in rows], lines, "nodes", "seconds until in force")


def control_bytes_plot(rows: Sequence[NodesRow]) -> str:
    """Return a plot of the control bytes per second of a node against the number of nodes."""
    lines = {
        "median": [row.control_median for row in rows],
        "worst 10 s": [row.control_worst for row in rows],
    }
    return _line_chart(
        [row.nodes for row in rows], lines, "nodes", "control bytes a second per node"
    )


def decision_plot(rows: Sequence[DecisionRow]) -> str:
    """Return a plot of the cost of a forwarding decision against the number of open flows."""
    lines = {"decision": [row.microseconds for row in rows]}
    flows = [row.open_flows for row in rows]
    return _line_chart(flows, lines, "open flows", "microseconds per packet", scale="log")


def _bar_chart(
    rows: Sequence[PlacementRow], y_label: str, measure: Callable[[PlacementRow], float]
) -> str:
    figure, axes = _new_figure()
    scenarios = list(dict.fromkeys(row.scenario for row in rows))
    placements = list(dict.fromkeys(row.placement for row in rows))
    width = GROUP_WIDTH / len(placements)
    for number, placement in enumerate(placements):
        chosen = [row for row in rows if row.placement == placement]
        positions = [scenarios.index(row.scenario) + number * width for row in chosen]
        axes.bar(positions, [measure(row) for row in chosen], width, label=placement)
    middle = (GROUP_WIDTH - width) / 2
    ticks = [index + middle for index in range(len(scenarios))]
    axes.set_xticks(ticks, scenarios, rotation=20, ha="right")
    axes.set_ylabel(y_label)
    axes.legend(title="placement")
    return _to_svg(figure)


def _line_chart(
    x_values: Sequence[float],
    lines: dict[str, list[float]],
    x_label: str,
    y_label: str,
    scale: str = "linear",
) -> str:
    figure, axes = _new_figure()
    for name, values in lines.items():
        axes.plot(x_values, values, marker="o", label=name)
    axes.set_xscale(scale)
    axes.set_xlabel(x_label)
    axes.set_ylabel(y_label)
    axes.set_ylim(bottom=0)
    axes.legend()
    return _to_svg(figure)


def _new_figure() -> tuple[Any, Any]:
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    axes = figure.subplots()
    axes.grid(axis="y", alpha=0.3)
    return figure, axes


def _to_svg(figure: Any) -> str:  # noqa: ANN401
    """Return the figure as SVG, without a date and with ids that depend only on its content."""
    text = StringIO()
    canvas: Any = FigureCanvasSVG(figure)
    with matplotlib.rc_context({"svg.hashsalt": HASH_SALT}):
        canvas.print_svg(text, metadata={"Date": None, "Creator": None})
    return "\n".join(line.rstrip() for line in text.getvalue().splitlines()) + "\n"
