"""`beamloom trace`: the log lines of token nodes about one flow, ordered by time."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated

from cyclopts import App, Parameter

from beamloom.cli.errors import UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
from beamloom.telemetry.log_lines import LogLine, read_lines
from beamloom.units import MILLISECONDS

BACKEND_EVENTS = frozenset({"BackendChanged", "BackendGone", "OpeningUnanswered"})
NODE_EVENTS = frozenset(
    {
        "ConfigurationInForce",
        "DependencyLost",
        "DependencyRegained",
        "Ready",
        "SettingsRefused",
        "StartTimeline",
        "Stalled",
        "Started",
        "StopRequested",
        "Stopped",
    }
)
START_EVENT = "StartTimeline"
MILLISECONDS_SUFFIX = "_ms"
CONTEXT_SECONDS = 5.0
"""Lines about a flow's backends and nodes are shown this long before and after the flow's."""


def register(app: App) -> None:
    """Add the command."""
    app.command(trace)


def trace(
    flow: Annotated[str, Parameter(help="CLIENT:PORT, or CLIENT:PORT>DESTINATION:PORT.")],
    /,
    *logs: Annotated[Path, Parameter(help="Log files of nodes; by default standard input.")],
) -> ExitStatus:
    """Print the decisions of nodes on a flow, and events of its backends and nodes at that time.

    The logs of several nodes may be given, in any order. Exit status: 1 when no line is about the
    flow.

    Parameters
    ----------
    flow
        The client's address of the flow, as in the field `flow` of the log.
    logs
        Files of event logs; text before a line's first brace is ignored.

    """
    lines = sorted(_read_all(logs), key=lambda line: line.time)
    selected = list(select(lines, flow))
    if not selected:
        sys.stderr.write(
            f"no line is about {flow}; its lines may have been left out under load "
            "(left_out_before), or other nodes handled it: give their logs too\n"
        )
        return ExitStatus.FAILED
    for line in selected:
        write_line(line.describe(selected[0].time))
    return ExitStatus.SUCCESS


def select(lines: list[LogLine], flow: str) -> Iterator[LogLine]:
    """Yield the lines about a flow, and those about its backends and nodes around that time."""
    flow_lines = [line for line in lines if line.is_about(flow)]
    if not flow_lines:
        return
    backends = {line.fields["backend"] for line in flow_lines if "backend" in line.fields}
    services = {
        name for line in flow_lines for name in str(line.fields.get("services", "")).split(",")
    }
    nodes = {line.node for line in flow_lines}
    first, last = flow_lines[0].time - CONTEXT_SECONDS, flow_lines[-1].time + CONTEXT_SECONDS
    for line in lines:
        if line.is_about(flow) or (
            first <= line.time
            and _start_time(line) <= last
            and _is_context(line, backends | services, nodes)
        ):
            yield line


def _read_all(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    if not logs:
        yield from read_lines(sys.stdin)
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from read_lines(file)
        except OSError as error:
            raise UsageError(f"{path} cannot be read: {error.strerror}") from error


def _start_time(line: LogLine) -> float:
    """Return when the event of a line began; StartTimeline is logged after the start's end."""
    if line.event != START_EVENT:
        return line.time
    durations = [
        value
        for name, value in line.fields.items()
        if name.endswith(MILLISECONDS_SUFFIX) and isinstance(value, int | float)
    ]
    return line.time - max(durations, default=0.0) / MILLISECONDS


def _is_context(line: LogLine, names: set[str], nodes: set[str]) -> bool:
    """Whether a line of one of the nodes is about the node, or about a backend or service."""
    if line.node not in nodes:
        return False
    if line.event in BACKEND_EVENTS:
        return bool({line.fields.get("backend"), line.fields.get("service")} & names)
    return line.event in NODE_EVENTS
