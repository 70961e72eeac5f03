"""The log lines of a soak's nodes that concern its violations."""

from __future__ import annotations

import json
import re
from collections.abc import Collection, Iterator
from pathlib import Path

from beamloom.simulation.tokens.oracle import Violation
from beamloom.telemetry.log_lines import read_lines

FLOW_PATTERN = re.compile(r"\d+(?:\.\d+){3}:\d+")
BACKEND_EVENTS = frozenset({"BackendChanged", "BackendDown", "BackendGone", "BackendUp"})


def lines_of_violations(violations: Collection[Violation], folder: Path) -> Iterator[str]:
    """Yield the lines about the flows of violations and about their backends, by time."""
    flows = {flow for one in violations for flow in FLOW_PATTERN.findall(one.detail)}
    texts = (log.read_text(errors="replace").splitlines() for log in sorted(folder.glob("*.log")))
    lines = sorted((line for text in texts for line in read_lines(text)), key=lambda one: one.time)
    about_flows = [any(map(line.is_about, flows)) for line in lines]
    backends = {
        line.fields["backend"]
        for line, is_own in zip(lines, about_flows, strict=True)
        if is_own and "backend" in line.fields
    }
    for line, is_own in zip(lines, about_flows, strict=True):
        about_backend = line.event in BACKEND_EVENTS and line.fields.get("backend") in backends
        if is_own or about_backend:
            yield json.dumps(line.fields)
