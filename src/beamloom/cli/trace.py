"""`beamloom trace`: what the logs of token nodes hold on one flow, in order of time."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

from cyclopts import App, Parameter

from beamloom.cli.errors import UsageError
from beamloom.cli.exit_status import ExitStatus
from beamloom.cli.output import write_line
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
END_OF_MOMENTS = "_ms"
AROUND_SECONDS = 5.0
"""How long before and after a flow's lines those on its backends and nodes are shown."""
HIDDEN_FIELDS = ("time", "node", "event")


@dataclass(frozen=True, slots=True)
class LogLine:
    """One line of an event log."""

    time: float
    node: str
    event: str
    fields: Mapping[str, Any]

    def describe(self, since: float) -> str:
        """Return the line as a person reads it, its time relative to `since`."""
        shown = " ".join(
            f"{name}={value}" for name, value in self.fields.items() if name not in HIDDEN_FIELDS
        )
        return f"{self.time - since:+9.3f} {self.node:20} {self.event:20} {shown}"


def register(app: App) -> None:
    """Add the command."""
    app.command(trace)


def trace(
    flow: Annotated[str, Parameter(help="CLIENT:PORT, or CLIENT:PORT>DESTINATION:PORT.")],
    /,
    *logs: Annotated[Path, Parameter(help="Log files of nodes; none: standard input.")],
) -> ExitStatus:
    """Print what nodes decided on a flow, and what they believed of its backends meanwhile.

    The logs of several nodes may be given, in any order. Exit status 1: no line is about the flow.

    Parameters
    ----------
    flow
        The client's end of the flow, as lines have it in `flow`.
    logs
        Files of event logs; text before a line's first brace is passed over.

    """
    lines = sorted(_read_all(logs), key=lambda line: line.time)
    story = list(select(lines, flow))
    if not story:
        sys.stderr.write(
            f"no line is about {flow}; its lines may have been left out under load "
            "(left_out_before), or it met other nodes: give their logs too\n"
        )
        return ExitStatus.FAILED
    for line in story:
        write_line(line.describe(story[0].time))
    return ExitStatus.SUCCESS


def select(lines: list[LogLine], flow: str) -> Iterator[LogLine]:
    """Yield the lines on a flow, and those around them on its backends and nodes."""
    own = [line for line in lines if _is_about(line, flow)]
    if not own:
        return
    backends = {line.fields["backend"] for line in own if "backend" in line.fields}
    services = {name for line in own for name in str(line.fields.get("services", "")).split(",")}
    nodes = {line.node for line in own}
    first, last = own[0].time - AROUND_SECONDS, own[-1].time + AROUND_SECONDS
    for line in lines:
        if _is_about(line, flow) or (
            first <= line.time
            and _began(line) <= last
            and _is_context(line, backends | services, nodes)
        ):
            yield line


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the event lines among lines of text; others are passed over."""
    for text in texts:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(text[start:])
            yield LogLine(float(fields["time"]), fields["node"], fields["event"], fields)
        except (ValueError, KeyError, TypeError):
            continue


def _read_all(logs: tuple[Path, ...]) -> Iterator[LogLine]:
    if not logs:
        yield from read_lines(sys.stdin)
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from read_lines(file)
        except OSError as error:
            raise UsageError(f"{path} cannot be read: {error.strerror}") from error


def _is_about(line: LogLine, flow: str) -> bool:
    known = str(line.fields.get("flow", ""))
    return known == flow or known.startswith(f"{flow}>")


def _began(line: LogLine) -> float:
    """Return when what a line tells began: a start's line comes up to ten seconds after it."""
    if line.event != START_EVENT:
        return line.time
    spans = [
        value
        for name, value in line.fields.items()
        if name.endswith(END_OF_MOMENTS) and isinstance(value, int | float)
    ]
    return line.time - max(spans, default=0.0) / MILLISECONDS


def _is_context(line: LogLine, names: set[str], nodes: set[str]) -> bool:
    """Whether a line is on one of the nodes, or there on one of the backends or services."""
    if line.node not in nodes:
        return False
    if line.event in BACKEND_EVENTS:
        return bool({line.fields.get("backend"), line.fields.get("service")} & names)
    return line.event in NODE_EVENTS
