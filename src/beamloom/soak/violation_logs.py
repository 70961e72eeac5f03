"""The log lines of a soak's nodes that concern its violations."""

from __future__ import annotations

import json
import re
from collections.abc import Collection, Iterator
from pathlib import Path
from typing import Any

from beamloom.simulation.tokens.oracle import Violation

FLOW_PATTERN = re.compile(r"\d+(?:\.\d+){3}:\d+")
BACKEND_EVENTS = frozenset({"BackendChanged", "BackendDown", "BackendGone", "BackendUp"})

Fields = dict[str, Any]


def lines_of_violations(violations: Collection[Violation], folder: Path) -> Iterator[str]:
    """Yield the lines about the flows of violations and about their backends, by time."""
    flows = {flow for one in violations for flow in FLOW_PATTERN.findall(one.detail)}
    lines = [line for log in sorted(folder.glob("*.log")) for line in _read_lines(log)]
    lines.sort(key=lambda line: float(line["time"]))
    backends = {line["backend"] for line in lines if _client(line) in flows and "backend" in line}
    for line in lines:
        about_backend = line.get("backend") in backends and line["event"] in BACKEND_EVENTS
        if about_backend or _client(line) in flows:
            yield json.dumps(line)


def _client(line: Fields) -> str:
    """Return the client's address and port of a line about a flow, else an empty string."""
    return str(line.get("flow", "")).partition(">")[0]


def _read_lines(log: Path) -> Iterator[Fields]:
    for text in log.read_text(errors="replace").splitlines():
        try:
            line = json.loads(text)
        except ValueError:
            continue  # a process that was killed left half a line, or an interpreter's message
        if isinstance(line, dict) and "event" in line and "time" in line:
            yield line
